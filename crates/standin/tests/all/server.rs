//! Tests of the address of a stand-in that is started, disconnected and restored.

use anvilgw_standin::{LogConfig, LogStandin};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, TcpStream};

/// Guards against another process getting the port of a stand-in that is down. Callers of the
/// stand-in would then reach that process.
#[tokio::test]
async fn port_stays_reserved_while_standin_is_down() {
    let any: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    let standin = LogStandin::start(LogConfig::default(), any).await.unwrap();
    let addr = standin.addr();
    let in_use = || async {
        TcpListener::bind(addr)
            .await
            .map(drop)
            .map_err(|e| e.kind())
    };
    assert_eq!(in_use().await, Err(ErrorKind::AddrInUse));
    let second = LogStandin::start(LogConfig::default(), addr).await;
    assert_eq!(second.err().map(|e| e.kind()), Some(ErrorKind::AddrInUse));
    standin.disconnect();
    while TcpStream::connect(addr).await.is_ok() {}
    assert_eq!(in_use().await, Err(ErrorKind::AddrInUse));
    standin.restore();
    while TcpStream::connect(addr).await.is_err() {}
}
