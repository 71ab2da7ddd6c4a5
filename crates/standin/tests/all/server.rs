//! Tests of the address of a stand-in that is started, disconnected and restored.

use anvilgw_standin::{ConnectionFaults, LogConfig, LogStandin, ServiceConfig, ServiceStandin};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
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

/// Guards against a paused stand-in that answers during the pause, or that does not go on after it.
/// Tests of silent servers would then show nothing.
#[tokio::test]
async fn paused_standin_answers_after_the_pause() {
    const PAUSE_MS: u64 = 200;
    let any: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    let standin = ServiceStandin::start(ServiceConfig::default(), any);
    let standin = standin.await.unwrap();
    let started = Instant::now();
    standin.set_connection_faults(&ConnectionFaults {
        pause_ms: PAUSE_MS,
        ..ConnectionFaults::default()
    });
    let mut connection = TcpStream::connect(standin.addr()).await.unwrap();
    let request = b"GET /status HTTP/1.1\r\nhost: service\r\n\r\n";
    connection.write_all(request).await.unwrap();
    let mut first_byte = [0];
    connection.read_exact(&mut first_byte).await.unwrap();
    assert!(started.elapsed() >= Duration::from_millis(PAUSE_MS));
}
