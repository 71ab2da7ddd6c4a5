//! Memory that a call to the platform or to a cache store takes. The only test of its process, as it
//! measures the memory of the process.

use anvilgw_core::SystemClock;
use anvilgw_gateway::http_client::HttpClient;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Longest answer that is read, as the documentation of the answer states.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Memory that a call may take beyond the answer's: a buffer of its size while it grows, and the
/// buffers of the connection.
const CALL_MEMORY_MAX_KB: u64 = 3 * 8 * 1024;
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
const CHUNKS_PER_WRITE: usize = 1024;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    chunk_bytes: usize,
    /// Length of the body. `None` if it has no end.
    body_bytes: Option<usize>,
}

/// Returns the largest resident memory that this process has had.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.expect("memory").parse().expect("number")
}

async fn start_server(case: Case) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    spawn_local(async move {
        let (stream, _) = listener.accept().await.expect("connection");
        // The caller closes the connection of an answer without an end.
        let _ = send_chunks(stream, case).await;
    });
    address
}

async fn send_chunks(mut stream: TcpStream, case: Case) -> std::io::Result<()> {
    // The request is short, so it arrives at once.
    let _ = stream.read(&mut [0; 4096]).await?;
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    let size = case.chunk_bytes;
    let chunks = format!("{size:x}\r\n{}\r\n", "a".repeat(size)).repeat(CHUNKS_PER_WRITE);
    let writes_max = case.body_bytes.map(|bytes| bytes / size / CHUNKS_PER_WRITE);
    let mut writes = 0;
    while writes_max.is_none_or(|writes_max| writes < writes_max) {
        stream.write_all(chunks.as_bytes()).await?;
        writes += 1;
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Guards against answers in small chunks that take many times their length: cache stores that sent
/// chunks without end made daemons exceed their memory again and again.
#[test]
fn a_call_takes_little_more_memory_than_its_answer() {
    let cases = [
        Case {
            name: "small chunks",
            chunk_bytes: 8,
            body_bytes: Some(ANSWER_MAX_BYTES),
        },
        Case {
            name: "small chunks without end",
            chunk_bytes: 10,
            body_bytes: None,
        },
        Case {
            name: "large chunks without end",
            chunk_bytes: 4096,
            body_bytes: None,
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, async {
        for case in cases {
            let client = HttpClient::new(start_server(case).await, Arc::new(SystemClock));
            let before_kb = peak_memory_kb();
            let request = Request::new(Full::<Bytes>::default());
            let answer = client.call(request, CALL_TIMEOUT).await;
            let taken_kb = peak_memory_kb() - before_kb;
            let length = answer.as_ref().map(|answer| answer.body.len()).ok();
            assert_eq!(length, case.body_bytes, "{}", case.name);
            assert!(
                taken_kb <= CALL_MEMORY_MAX_KB,
                "{}: {taken_kb} kB",
                case.name
            );
        }
    });
}
