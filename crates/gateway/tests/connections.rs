//! How long a connection waits for a peer that falls silent.

use anvilgw_gateway::connection::{Connection, OpenCount, SendError, describe};
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

/// What a peer does that begins to answer before it has read the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlyAnswer {
    /// Sends an event at each interval until it reads on.
    Events,
    /// Sends the head and nothing more until it reads on.
    Head,
    /// Sends nothing until it reads on.
    Nothing,
}

/// A peer that reads only the beginning of a request before it answers.
#[derive(Clone, Copy, Debug)]
struct LateReader {
    early_answer: EarlyAnswer,
    /// Time until it reads on.
    reads_after: Duration,
    /// Time from the beginning of the answer to a stand-still of its machine of one second.
    stands_still_after: Option<Duration>,
    /// Time from the beginning of the answer until its machine loses power.
    loses_power_after: Option<Duration>,
}

const EARLY_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const EARLY_EVENT: &[u8] = b"1\r\ne\r\n";
const EARLY_END: &[u8] = b"3\r\nend\r\n0\r\n\r\n";
const EARLY_EVENT_INTERVAL: Duration = Duration::from_millis(250);
const STAND_STILL: Duration = Duration::from_millis(1000);

impl LateReader {
    async fn serve(self, listener: TcpListener) {
        let (mut stream, _) = listener.accept().await.expect("connection");
        let began_at = Instant::now();
        stream.peek(&mut [0]).await.expect("request");
        if self.early_answer != EarlyAnswer::Nothing {
            let _ = stream.write_all(EARLY_HEAD).await;
        }
        while began_at.elapsed() < self.reads_after {
            sleep(EARLY_EVENT_INTERVAL).await;
            self.disturb(&stream, began_at.elapsed()).await;
            if self.early_answer == EarlyAnswer::Events {
                let _ = stream.write_all(EARLY_EVENT).await;
            }
        }
        if read_request(&mut stream).await.is_none() {
            return;
        }
        if self.early_answer == EarlyAnswer::Nothing {
            let _ = stream.write_all(EARLY_HEAD).await;
        }
        let _ = stream.write_all(EARLY_END).await;
        let _ = stream.read_u8().await;
    }

    /// Lets the machine stand still or lose power if it is time.
    async fn disturb(self, stream: &TcpStream, elapsed: Duration) {
        let is_due = |at: Option<Duration>| {
            at.is_some_and(|at| elapsed >= at && elapsed < at + EARLY_EVENT_INTERVAL)
        };
        if is_due(self.loses_power_after) {
            set_receiving(stream, false);
            std::future::pending::<()>().await;
        }
        if is_due(self.stands_still_after) {
            set_receiving(stream, false);
            sleep(STAND_STILL).await;
            set_receiving(stream, true);
        }
    }

    /// Sends a request to the peer. Returns the body of the answer, or when and how it ended.
    async fn exchange(self, body_bytes: usize) -> Result<Bytes, BrokenAnswer> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        spawn_local(self.serve(listener));
        let open = OpenCount::new(&std::rc::Rc::default());
        let opened = Connection::open(address, Duration::from_millis(300), open).await;
        let mut connection = opened.expect("connection");
        let started_at = Instant::now();
        let broken = |connection: &Connection, reason: String| BrokenAnswer {
            reason,
            after: started_at.elapsed(),
            is_peer_unreachable: connection.is_peer_unreachable(),
        };
        let answer = match connection.send(request(body_bytes)).await {
            Ok(answer) => answer,
            Err(error) => return Err(broken(&connection, error.to_string())),
        };
        match answer.into_body().collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) => Err(broken(&connection, describe(&error))),
        }
    }
}

/// An answer that ended early.
#[derive(Clone, Debug, PartialEq, Eq)]
struct BrokenAnswer {
    reason: String,
    after: Duration,
    is_peer_unreachable: bool,
}

/// Sizes of bodies that fit into a receive buffer, that fill it, and that fill the send buffer too.
const EARLY_BODIES_BYTES: [usize; 4] = [1000, 100_000, 512 * 1024, 4_000_000];

/// Guards against answers that are cut because their servers do not read on for long. The kernel
/// counts a closed window as missing acknowledgements, whatever the server sends meanwhile.
#[test]
fn a_peer_that_reads_on_late_answers_on_the_same_connection() {
    const READ_PAUSES_MS: [u64; 4] = [1800, 3500, 5000, 9000];
    run(async {
        let mut exchanges = Vec::new();
        for early_answer in [EarlyAnswer::Events, EarlyAnswer::Head, EarlyAnswer::Nothing] {
            for body_bytes in EARLY_BODIES_BYTES {
                for pause_ms in READ_PAUSES_MS {
                    let peer = LateReader {
                        early_answer,
                        reads_after: Duration::from_millis(pause_ms),
                        stands_still_after: None,
                        loses_power_after: None,
                    };
                    exchanges.push(async move {
                        let answer = peer.exchange(body_bytes).await;
                        (
                            format!("{early_answer:?}, {body_bytes} B, {pause_ms} ms"),
                            answer,
                        )
                    });
                }
            }
        }
        let results = futures_util::future::join_all(exchanges).await;
        let is_whole = |answer: &Result<Bytes, BrokenAnswer>| {
            answer.as_ref().is_ok_and(|body| body.ends_with(b"end"))
        };
        let cut: Vec<_> = results
            .iter()
            .filter(|(_, answer)| !is_whole(answer))
            .collect();
        assert!(
            cut.is_empty(),
            "{} of {}: {cut:#?}",
            cut.len(),
            results.len()
        );
    });
}

/// Guards against answers that are cut because this process gets no processor time for more than a
/// second while a server does not read: the kernel closed the connection before it was told to wait.
#[test]
fn a_process_that_is_stopped_keeps_connections_with_a_closed_window() {
    const STOPPED_AFTER: Duration = Duration::from_millis(2500);
    const STOPPED_FOR: Duration = Duration::from_millis(1800);
    run(async {
        let peer = LateReader {
            early_answer: EarlyAnswer::Events,
            reads_after: Duration::from_millis(6000),
            stands_still_after: None,
            loses_power_after: None,
        };
        spawn_local(async {
            sleep(STOPPED_AFTER).await;
            // Blocks the only thread of the runtime.
            std::thread::sleep(STOPPED_FOR);
        });
        let answer = peer.exchange(512 * 1024).await;
        assert!(answer.is_ok(), "{answer:?}");
    });
}

/// Guards against answers that are cut because a machine stands still for a second while its
/// process does not read: window probes are unanswered for longer than that.
#[test]
fn a_machine_that_stands_still_with_a_closed_window_goes_on() {
    run(async {
        let mut exchanges = Vec::new();
        for begin_ms in (500..=3500).step_by(250) {
            let peer = LateReader {
                early_answer: EarlyAnswer::Head,
                reads_after: Duration::from_millis(6000),
                stands_still_after: Some(Duration::from_millis(begin_ms)),
                loses_power_after: None,
            };
            exchanges.push(async move { (begin_ms, peer.exchange(512 * 1024).await) });
        }
        for (begin_ms, answer) in futures_util::future::join_all(exchanges).await {
            assert!(
                answer.is_ok(),
                "stands still after {begin_ms} ms: {answer:?}"
            );
        }
    });
}

/// Guards against requests that wait for a server that loses power while it does not read: the
/// window is closed, so no data is on its way whose acknowledgement could be missing.
#[test]
fn a_peer_that_loses_power_with_a_closed_window_is_noticed() {
    const NOTICED_AFTER_MAX: Duration = Duration::from_millis(3000);
    run(async {
        let mut exchanges = Vec::new();
        for early_answer in [EarlyAnswer::Events, EarlyAnswer::Head, EarlyAnswer::Nothing] {
            for body_bytes in [512 * 1024, 4_000_000] {
                for power_ms in [500, 1500, 2500, 4000] {
                    let loses_power_after = Duration::from_millis(power_ms);
                    let peer = LateReader {
                        early_answer,
                        reads_after: Duration::from_secs(60),
                        stands_still_after: None,
                        loses_power_after: Some(loses_power_after),
                    };
                    exchanges.push(async move {
                        let name = format!("{early_answer:?}, {body_bytes} B, {power_ms} ms");
                        let exchange = timeout(Duration::from_secs(20), peer.exchange(body_bytes));
                        (name, loses_power_after, exchange.await)
                    });
                }
            }
        }
        for (name, lost_after, answer) in futures_util::future::join_all(exchanges).await {
            let Ok(Err(broken)) = answer else {
                panic!("{name}: {answer:?}");
            };
            assert!(broken.is_peer_unreachable, "{name}: {broken:?}");
            // The machine stands still up to one interval later.
            let lost_at_most = lost_after + EARLY_EVENT_INTERVAL;
            assert!(
                broken.after < lost_at_most + NOTICED_AFTER_MAX,
                "{name}: {broken:?}"
            );
        }
    });
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
