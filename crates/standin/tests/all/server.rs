//! Start, stop and addresses of stand-ins.

use anvilgw_standin::{LogConfig, LogStandin};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, TcpStream};

/// Guards against another process being given the port of a stand-in that is down, whose callers
/// would then talk to a stranger.
#[tokio::test]
async fn port_is_kept_while_down() {
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
