//! A prompt part that crashes each server which begins to write an answer on it.

use crate::http::{Reader, write_answer, write_chunk};
use crate::store::Store;
use crate::world::{Client, Config, Daemon, Entry, KEY, Place, Record, Verdict};
use std::io::{self, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const SERVERS: usize = 18;
/// Identifier of the part that crashes servers.
const BAD_PART: &str = "5c1e07a2";
/// Time after which a server that crashed is back, under a new identifier.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Number of requests with the part, and the pause between two of them.
const BAD_REQUESTS: usize = 14;
const BAD_PAUSE: Duration = Duration::from_secs(2);
/// Events that a server writes on the part before it crashes, and the pause after each.
const LAST_EVENTS: usize = 5;
const EVENT_PAUSE: Duration = Duration::from_millis(300);
const CONTACT: Duration = Duration::from_secs(3);
/// Crash from which the time counts, and the requests that may reach servers later.
const COUNTED_CRASH: usize = 5;
const LATE_MAX: usize = 3;
/// Second tenant, with its key.
const OTHER_TENANT: &str = r#",{"name":"kesu212","apiKeys":["r7m2w9t4q1z8x5c3v6b0"],"priority":1}"#;
const OTHER_KEY: &str = "r7m2w9t4q1z8x5c3v6b0";
/// Requests of the first tenant, and the pause between two of them.
const FIRST_REQUESTS: usize = 6;
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Requests of the second tenant, sent at the same moment, and the time before them, which exceeds
/// `contactMs`.
const SECOND_REQUESTS: usize = 8;
const SECOND_AFTER: Duration = Duration::from_secs(5);
/// Pause between two sound requests of a client.
const SOUND_PAUSE: Duration = Duration::from_millis(200);

const ROUTE: &str = r#"{"name":"query","host":"pule25.example","pathPrefix":"/query/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":800,"priority":1,"service":"lm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":400}"#;
const SERVICE: &str = r#"{"name":"lm","healthCheck":"/health","maxConnections":720,"engine":{"slots":64,"kvCapacityTokens":131597,"kvBytes":35136,"models":[{"name":"daka510000"}]}}"#;

/// What the servers observe.
#[derive(Default)]
struct Observed {
    crashes: Vec<Instant>,
    /// Requests with the part that reached a server.
    bad_requests: Vec<String>,
}

struct Servers {
    store: Store,
    record: Record,
    observed: Arc<Mutex<Observed>>,
    crashes: bool,
    /// Events that a server writes on the part before it crashes.
    last_events: usize,
}

/// A running server, until it crashes.
struct Running {
    id: String,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Servers {
    /// Keeps one server running: after a crash it starts again under a new identifier.
    fn keep_running(self: Arc<Self>, number: usize) -> io::Result<()> {
        let listener = TcpListener::bind((IP, 0))?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            let mut listener = Some(listener);
            for start in 1.. {
                let bound = match listener.take() {
                    Some(listener) => listener,
                    None => bind_again(address),
                };
                self.run(bound, address, format!("i-{number}-{start}"));
                thread::sleep(BACK_AFTER);
            }
        });
        Ok(())
    }

    /// Runs one start of a server until it crashes.
    fn run(self: &Arc<Self>, listener: TcpListener, address: SocketAddr, id: String) {
        let _entry = Entry::publish(&self.store, &id, "lm", address);
        let running = Arc::new(Running {
            id,
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        listener.set_nonblocking(true).expect("listener");
        while !running.is_down.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("socket");
            let (servers, running) = (Arc::clone(self), Arc::clone(&running));
            thread::spawn(move || {
                // The end of a connection needs no line.
                let _ = servers.answer_requests(stream, &running);
            });
        }
        drop(listener);
        for stream in running.connections.lock().expect("connections").iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn answer_requests(&self, mut stream: TcpStream, running: &Running) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let own = stream.try_clone()?;
        running.connections.lock().expect("connections").push(own);
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(head) = reader.head()? {
            reader.body(&head, false)?;
            let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
            let expected = head.get("expect-instance");
            if expected.is_some_and(|expected| expected != running.id) {
                let id = &running.id;
                let headers =
                    format!("Attempt-Id: {attempt}\r\nInstance-Id: {id}\r\nNot-Run: 1\r\n");
                write_answer(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            let prompt = head.get("prompt-prefix").unwrap_or_default();
            let is_bad = prompt.split(',').any(|part| part.starts_with(BAD_PART));
            if is_bad {
                let id = &running.id;
                self.record.add(format!(
                    "request {attempt} with the part reaches server {id}"
                ));
                let mut observed = self.observed.lock().expect("observed");
                observed.bad_requests.push(attempt.clone());
            }
            stream.write_all(
                format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: stamp-{attempt}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                .as_bytes(),
            )?;
            if is_bad {
                for number in 1..=self.last_events {
                    write_chunk(
                        &mut stream,
                        format!("id: {number}\ndata: word\n\n").as_bytes(),
                    )?;
                    thread::sleep(EVENT_PAUSE);
                }
                if self.crashes {
                    self.crash(running);
                    return Ok(());
                }
                write_chunk(&mut stream, b"")?;
                continue;
            }
            for number in 1..=4 {
                write_chunk(
                    &mut stream,
                    format!("id: {number}\ndata: word\n\n").as_bytes(),
                )?;
                thread::sleep(Duration::from_millis(20));
            }
            write_chunk(&mut stream, b"")?;
        }
        Ok(())
    }

    fn crash(&self, running: &Running) {
        if running.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        let mut observed = self.observed.lock().expect("observed");
        observed.crashes.push(Instant::now());
        let (id, count) = (&running.id, observed.crashes.len());
        self.record
            .add(format!("server {id} crashes, crash {count}"));
        for stream in running.connections.lock().expect("connections").iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the headers of a prompt whose second part names a session, and whose last part belongs to
/// the request alone.
fn prompt_headers(first_part: &str, session: usize, own: usize) -> String {
    format!(
        "Deadline-Ms: 10000\r\nModel: daka510000\r\nToken-Count: 650,40\r\n\
         Prompt-Prefix: {first_part}:119,91bd{session:04x}:431,e440{own:06x}:100\r\n"
    )
}

/// Sends a request on a connection of its own, and returns what the client gets.
fn ask(front: SocketAddr, key: &'static str, id: &str, headers: &str) -> String {
    let exchange = || -> io::Result<Option<u16>> {
        let mut client = Client::with_key(front, key)?;
        client.send("POST", "/query/2f", id, headers, b"{}")?;
        Ok(client.answer()?.map(|(head, _)| head.status()))
    };
    match exchange() {
        Ok(Some(status)) => status.to_string(),
        Ok(None) => "no answer".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// BUDGET: a part that crashes servers over a second after they begin to answer.
pub fn late_crash(place: &Place) -> io::Result<Verdict> {
    play(place, LAST_EVENTS, |front, record| {
        let mut threads = Vec::new();
        for number in 0..BAD_REQUESTS {
            threads.push(send_bad(front, KEY, number, record));
            thread::sleep(BAD_PAUSE);
        }
        threads
    })
}

/// BUDGET: a part that crashes servers under the requests of one tenant, and then of another.
pub fn second_tenant(place: &Place) -> io::Result<Verdict> {
    play(place, 0, |front, record| {
        let mut threads = Vec::new();
        for number in 0..FIRST_REQUESTS {
            threads.push(send_bad(front, KEY, number, record));
            thread::sleep(FIRST_PAUSE);
        }
        record.add("the second tenant sends its requests next");
        thread::sleep(SECOND_AFTER);
        for number in FIRST_REQUESTS..FIRST_REQUESTS + SECOND_REQUESTS {
            threads.push(send_bad(front, OTHER_KEY, number, record));
        }
        threads
    })
}

/// A request with the part that is being sent: its identifier, and when it was sent.
type Sending = JoinHandle<(String, Instant)>;

fn send_bad(front: SocketAddr, key: &'static str, number: usize, record: &Record) -> Sending {
    let record = record.clone();
    thread::spawn(move || {
        let id = format!("f{number:015x}");
        let sent_at = Instant::now();
        let answer = ask(front, key, &id, &prompt_headers(BAD_PART, number, number));
        record.add(format!("request {id} with the part: {answer}"));
        (id, sent_at)
    })
}

/// Plays requests with the part beside sound ones, and counts those that reach servers late.
fn play(
    place: &Place,
    last_events: usize,
    send: impl FnOnce(SocketAddr, &Record) -> Vec<Sending>,
) -> io::Result<Verdict> {
    let store = Store::start("127.0.0.1:0");
    let observed: Arc<Mutex<Observed>> = Arc::default();
    let servers = Arc::new(Servers {
        store: store.clone(),
        record: place.record.clone(),
        observed: Arc::clone(&observed),
        crashes: place.has_trouble,
        last_events,
    });
    for number in 1..=SERVERS {
        Arc::clone(&servers).keep_running(number)?;
    }
    Config {
        version: 7,
        routes: ROUTE,
        services: SERVICE,
        max_header_bytes: 16384,
        keys: &[KEY],
        other_tenants: OTHER_TENANT,
    }
    .put(&store, &place.record);
    let daemon = Daemon::start(place, "front-pt-norte-a-1", IP, &store)?;
    let front = daemon.front;
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = {
        let (is_over, record) = (Arc::clone(&is_over), place.record.clone());
        thread::spawn(move || send_sound(front, &is_over, &record))
    };
    thread::sleep(Duration::from_secs(6));

    let threads = send(front, &place.record);
    let sent: Vec<_> = threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    is_over.store(true, Ordering::Relaxed);
    let _ = sound.join();

    let observed = observed.lock().expect("observed");
    let Some(fifth) = observed.crashes.get(COUNTED_CRASH - 1) else {
        place
            .record
            .add(format!("{} servers crashed", observed.crashes.len()));
        return if place.has_trouble {
            Err(io::Error::other("fewer than five servers crashed"))
        } else {
            Ok(Verdict::Held)
        };
    };
    let later = sent.iter().filter(|(_, at)| *at > *fifth + CONTACT);
    let later: Vec<&String> = later.map(|(id, _)| id).collect();
    let reached = later.iter().filter(|id| observed.bad_requests.contains(id));
    let late = reached.count();
    place.record.add(format!(
        "{late} of {} requests with the part, sent later than 3 s after the fifth crash, reached servers, {LATE_MAX} may; {} crashes in all",
        later.len(),
        observed.crashes.len()
    ));
    Ok(if late > LATE_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends sound requests of the same caller that share their sessions with the others.
fn send_sound(front: SocketAddr, is_over: &AtomicBool, record: &Record) {
    let (mut sent, mut answered) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("5{sent:015x}");
        let answer = ask(
            front,
            KEY,
            &id,
            &prompt_headers("77aa0001", sent % 40, 1000 + sent),
        );
        sent += 1;
        answered += usize::from(answer == "200");
        thread::sleep(SOUND_PAUSE);
    }
    record.add(format!("{answered} of {sent} sound requests were answered"));
}
