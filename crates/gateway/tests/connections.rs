//! How long a connection waits for a peer that falls silent.

use anvilgw_gateway::connection::{Connection, OpenCount, SendError};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use socket2::{SockFilter, SockRef};
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// End of each request's body.
const END: u8 = b'!';
/// Time from the opening of a connection to the request, in which the peer falls silent.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// How a peer falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// Its process does not read. Its kernel acknowledges what fits into its receive buffer.
    Process,
    /// Its machine stands still before it has received the request: nothing is acknowledged.
    MachineBeforeRequest,
    /// Its machine stands still when it has received the whole request.
    MachineAfterRequest,
}

/// Accepts a connection, falls silent, goes on after `silence` and answers the request. Without
/// `silence`, it stays silent for good.
async fn serve(listener: TcpListener, kind: Silence, silence: Option<Duration>) {
    let (mut stream, _) = listener.accept().await.expect("connection");
    match kind {
        Silence::Process => {}
        Silence::MachineBeforeRequest => set_receiving(&stream, false),
        Silence::MachineAfterRequest => {
            if read_request(&mut stream).await.is_none() {
                return;
            }
            set_receiving(&stream, false);
        }
    }
    match silence {
        Some(silence) => sleep(SETTLING_TIME + silence).await,
        None => std::future::pending().await,
    }
    if kind != Silence::Process {
        set_receiving(&stream, true);
    }
    if kind != Silence::MachineAfterRequest && read_request(&mut stream).await.is_none() {
        return;
    }
    // The gateway may have closed the connection.
    let _ = stream.write_all(ANSWER).await;
    let _ = stream.read_u8().await;
}

/// Reads a request up to the last byte of its body. Returns `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut buffer = [0; 64 * 1024];
    loop {
        let length = stream.read(&mut buffer).await.ok()?;
        if *buffer[..length].last()? == END {
            return Some(());
        }
    }
}

/// Makes the kernel discard all packets that arrive for a connection, or receive them again.
fn set_receiving(stream: &TcpStream, is_receiving: bool) {
    let socket = SockRef::from(stream);
    let result = if is_receiving {
        socket.detach_filter()
    } else {
        /// Ends the filter, with the number of bytes of a packet that are kept.
        const RETURN: u16 = 0x06;
        socket.attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)])
    };
    result.expect("socket filter");
}

fn request(body_bytes: usize) -> Request<Full<Bytes>> {
    let mut body = vec![b'x'; body_bytes];
    body.push(END);
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    request
}

/// Sends a request to a peer that falls silent, and returns the body of its answer.
async fn exchange(
    body_bytes: usize,
    kind: Silence,
    silence: Option<Duration>,
) -> Result<Bytes, SendError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    spawn_local(serve(listener, kind, silence));
    let open = OpenCount::new(&std::rc::Rc::default());
    let limit = Duration::from_millis(300);
    let mut connection = Connection::open(address, limit, open).await?;
    sleep(SETTLING_TIME).await;
    let answer = connection.send(request(body_bytes)).await?;
    let body = answer.into_body().collect().await.expect("body");
    Ok(body.to_bytes())
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}

struct SilenceCase {
    name: &'static str,
    body_bytes: usize,
    kind: Silence,
    silence_ms: u64,
}

const SILENCES: [SilenceCase; 7] = [
    SilenceCase {
        name: "the process does not read a long body for 1.9 s",
        body_bytes: 3_000_000,
        kind: Silence::Process,
        silence_ms: 1900,
    },
    SilenceCase {
        name: "the process does not read a long body for 3 s",
        body_bytes: 3_000_000,
        kind: Silence::Process,
        silence_ms: 3000,
    },
    SilenceCase {
        name: "the process does not answer a short request for 3 s",
        body_bytes: 100,
        kind: Silence::Process,
        silence_ms: 3000,
    },
    SilenceCase {
        name: "the machine stands still before a short request, 1 s",
        body_bytes: 100,
        kind: Silence::MachineBeforeRequest,
        silence_ms: 1000,
    },
    SilenceCase {
        name: "the machine stands still before a long request, 1 s",
        body_bytes: 3_000_000,
        kind: Silence::MachineBeforeRequest,
        silence_ms: 1000,
    },
    SilenceCase {
        name: "the machine stands still after a request, 1 s",
        body_bytes: 100,
        kind: Silence::MachineAfterRequest,
        silence_ms: 1000,
    },
    SilenceCase {
        name: "the machine stands still before a long request, 2 s",
        body_bytes: 3_000_000,
        kind: Silence::MachineBeforeRequest,
        silence_ms: 2000,
    },
];

/// Guards against requests that are lost because a sound peer was silent for a second or so while
/// it had the request.
#[test]
fn a_peer_that_falls_silent_and_goes_on_answers_on_the_same_connection() {
    run(async {
        let exchanges = SILENCES.map(|case| async move {
            let silence = Duration::from_millis(case.silence_ms);
            let result = exchange(case.body_bytes, case.kind, Some(silence)).await;
            (case.name, result)
        });
        let results = futures_util::future::join_all(exchanges).await;
        for (name, result) in results {
            assert_eq!(result.as_deref(), Ok(&b"ok"[..]), "{name}");
        }
    });
}

struct DeadPeerCase {
    name: &'static str,
    body_bytes: usize,
    kind: Silence,
    noticed_after_max: Duration,
}

const DEAD_PEERS: [DeadPeerCase; 3] = [
    DeadPeerCase {
        name: "before a short request",
        body_bytes: 100,
        kind: Silence::MachineBeforeRequest,
        noticed_after_max: Duration::from_millis(3000),
    },
    DeadPeerCase {
        name: "before a long request",
        body_bytes: 3_000_000,
        kind: Silence::MachineBeforeRequest,
        noticed_after_max: Duration::from_millis(6000),
    },
    DeadPeerCase {
        name: "after a request",
        body_bytes: 100,
        kind: Silence::MachineAfterRequest,
        noticed_after_max: Duration::from_millis(3000),
    },
];

/// Guards against requests that wait for a peer that has lost power or is cut off. It sends no
/// reset, so only missing acknowledgements tell.
#[test]
fn a_peer_that_acknowledges_nothing_for_good_is_noticed() {
    run(async {
        let exchanges = DEAD_PEERS.map(|case| async move {
            let started_at = Instant::now();
            let sent = exchange(case.body_bytes, case.kind, None);
            let result = timeout(Duration::from_secs(30), sent).await;
            assert!(
                matches!(result, Ok(Err(SendError::OutcomeUnknown(_)))),
                "{}",
                case.name
            );
            assert!(
                started_at.elapsed() < case.noticed_after_max,
                "{}",
                case.name
            );
        });
        futures_util::future::join_all(exchanges).await;
    });
}
