//! Servers that answer before they have read a long body, keep the connection and read on later.

use crate::http::{Reader, write_chunk};
use crate::store::Store;
use crate::world::{Client, Config, Daemon, Entry, KEY, Place, Record, Verdict, serve};
use std::io::{self, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
/// Size of the body of a long request.
const BODY_BYTES: usize = 512 * 1024;
/// Number of clients that send streaming requests, each on a connection of its own.
const CLIENTS: usize = 8;
/// Number of clients that send safe requests, and of servers for these.
const READERS: usize = 10;
/// Number of pieces of an answer to a safe request.
const READ_PIECES: usize = 20;
const READ_SERVERS: usize = 18;
/// Number of events of a stream, and the pause between two of them, within the route's longest
/// pause.
const EVENTS: usize = 14;
const EVENT_PAUSE: Duration = Duration::from_millis(250);
/// Number of cut requests up to which the rule holds.
const CUT_MAX: usize = 3;

const STREAM_ROUTE: &str = r#"{"name":"query","host":"pule25.example","pathPrefix":"/query/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":800,"priority":1,"service":"lm","maxAttempts":1,"public":false,"resumable":false,"gapAimMs":400}"#;
const READ_ROUTE: &str = r#"{"name":"read","host":"pule25.example","pathPrefix":"/read/","kind":"safe","timeoutMs":10000,"targetLatencyMs":300,"priority":1,"service":"lm","maxAttempts":2,"public":false}"#;
const SERVICE: &str = r#"{"name":"lm","healthCheck":"/health","maxConnections":720}"#;

/// Answers requests on a connection. If `reads_late`, the body of a long request is read only after
/// the answer; the server works on the request for the same time in either case.
fn answer_requests(
    mut stream: TcpStream,
    id: &str,
    reads_late: bool,
    events: usize,
    runs: &Mutex<Vec<(String, String)>>,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(head) = reader.head()? {
        let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
        let length = head
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        record.add(format!(
            "request {attempt} reaches server {id}, {length} bytes"
        ));
        let unread = if reads_late { length } else { 0 };
        reader.bytes(length - unread)?;
        runs.lock()
            .expect("runs")
            .push((attempt.clone(), id.to_owned()));
        record.add(format!("server {id} runs request {attempt}"));
        let result = send_events(&mut stream, &attempt, if length > 0 { events } else { 1 });
        if let Err(error) = result {
            record.add(format!(
                "server {id} cannot answer request {attempt} further: {error}"
            ));
            return Err(error);
        }
        if let Err(error) = reader.bytes(unread) {
            record.add(format!(
                "server {id} cannot read the rest of request {attempt}: {error}"
            ));
            return Err(error);
        }
        write_chunk(&mut stream, b"")?;
        record.add(format!("server {id} has answered request {attempt}"));
    }
    Ok(())
}

fn send_events(stream: &mut TcpStream, attempt: &str, events: usize) -> io::Result<()> {
    stream.write_all(
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: stamp-{attempt}\r\n\
             Content-Type: text/event-stream\r\nKeep-Alive: timeout=30\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .as_bytes(),
    )?;
    for number in 1..=events {
        write_chunk(stream, format!("id: {number}\ndata: word\n\n").as_bytes())?;
        if events > 1 {
            thread::sleep(EVENT_PAUSE);
        }
    }
    Ok(())
}

struct Parts {
    _entries: Vec<Entry>,
    daemon: Daemon,
    runs: Arc<Mutex<Vec<(String, String)>>>,
}

fn start(place: &Place, servers: usize, events: usize) -> io::Result<Parts> {
    let store = Store::start("127.0.0.1:0");
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let mut entries = Vec::new();
    for number in 1..=servers {
        let (runs, record, reads_late) =
            (Arc::clone(&runs), place.record.clone(), place.has_trouble);
        let id = format!("i-{number}");
        let name = id.clone();
        let address = serve(IP, move |stream| {
            // The end of a connection is in the record.
            let _ = answer_requests(stream, &name, reads_late, events, &runs, &record);
        })?;
        entries.push(Entry::publish(&store, &id, "lm", address));
    }
    Config {
        version: 7,
        routes: &format!("{STREAM_ROUTE},{READ_ROUTE}"),
        services: SERVICE,
        max_header_bytes: 16384,
        keys: &[KEY],
        other_tenants: "",
    }
    .put(&store, &place.record);
    let daemon = Daemon::start(place, "front-pt-norte-a-1", IP, &store)?;
    Ok(Parts {
        _entries: entries,
        daemon,
        runs,
    })
}

/// LOST: streams that a sound server answers are cut.
pub fn streams(place: &Place) -> io::Result<Verdict> {
    let parts = start(place, 2, EVENTS)?;
    thread::sleep(Duration::from_secs(4));
    let cut = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(parts.daemon.front)?;
        let id = format!("a{number:015x}");
        client.send("POST", "/query/2f", &id, "Deadline-Ms: 10000\r\n", b"")?;
        let answer = client.answer()?;
        let status = answer.map_or(0, |(head, _)| head.status());
        place
            .record
            .add(format!("request {id} on a new connection: {status}"));
        if status != 200 {
            return Err(io::Error::other("the first requests are not answered"));
        }
        clients.push(client);
    }
    parts.daemon.signal("HUP");
    place.record.add("the daemon gets SIGHUP");
    let threads: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(number, client)| {
            let (record, cut) = (place.record.clone(), Arc::clone(&cut));
            thread::spawn(move || {
                if !is_stream_whole(client, number, &record) {
                    cut.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    // The servers notice the end of a connection with their next events.
    thread::sleep(Duration::from_secs(2));
    let cut = cut.load(Ordering::Relaxed);
    let ran = parts.runs.lock().expect("runs").len();
    place.record.add(format!(
        "{cut} of {CLIENTS} streams were cut; {ran} requests ran; {CUT_MAX} may be cut"
    ));
    Ok(if cut > CUT_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a long request on a kept connection, and returns whether its answer arrives whole.
fn is_stream_whole(mut client: Client, number: usize, record: &Record) -> bool {
    let id = format!("b{number:015x}");
    let sent_at = Instant::now();
    let body = vec![b'x'; BODY_BYTES];
    record.add(format!("request {id} is sent on the kept connection"));
    let mut events = 0;
    let mut receive = || -> io::Result<u16> {
        client.send("POST", "/query/2f", &id, "Deadline-Ms: 10000\r\n", &body)?;
        record.add(format!("request {id} was sent whole"));
        let Some(head) = client.reader.head()? else {
            return Err(io::Error::other("no answer"));
        };
        if head.status() != 200 {
            client.reader.body(&head, true)?;
            return Ok(head.status());
        }
        loop {
            let chunk = client.reader.chunk()?;
            if chunk.is_empty() {
                return Ok(head.status());
            }
            events += String::from_utf8_lossy(&chunk).matches("id: ").count();
        }
    };
    let result = receive();
    let elapsed = sent_at.elapsed().as_secs_f64();
    match result {
        Ok(status) => {
            record.add(format!(
                "request {id}: {status}, {events} of {EVENTS} events, complete after {elapsed:.2} s"
            ));
            true
        }
        Err(error) => {
            record.add(format!(
                "request {id}: {events} of {EVENTS} events, then the connection ends after {elapsed:.2} s: {error}"
            ));
            false
        }
    }
}

/// BUDGET: a client attempt runs on more servers than its route allows.
pub fn reads(place: &Place) -> io::Result<Verdict> {
    let parts = start(place, READ_SERVERS, READ_PIECES)?;
    thread::sleep(Duration::from_secs(10));
    let threads: Vec<_> = (0..READERS)
        .map(|number| {
            let (record, front) = (place.record.clone(), parts.daemon.front);
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(front) else {
                    return;
                };
                let id = format!("c{number:015x}");
                let body = vec![b'x'; BODY_BYTES];
                record.add(format!("request {id} is sent"));
                let sent = client.send("POST", "/read/2f", &id, "Deadline-Ms: 10000\r\n", &body);
                let answer = sent.and_then(|()| client.answer());
                record.add(match answer {
                    Ok(Some((head, body))) => {
                        format!("request {id}: {} with {} bytes", head.status(), body.len())
                    }
                    Ok(None) => format!("request {id}: no answer"),
                    Err(error) => format!("request {id}: {error}"),
                });
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let runs = parts.runs.lock().expect("runs").clone();
    let over = (0..READERS)
        .filter(|number| {
            let id = format!("c{number:015x}");
            let servers: Vec<&String> = runs
                .iter()
                .filter(|(attempt, _)| *attempt == id)
                .map(|(_, server)| server)
                .collect();
            place
                .record
                .add(format!("request {id} ran on servers {servers:?}"));
            servers.len() > 2
        })
        .count();
    place.record.add(format!(
        "{over} of {READERS} requests ran on more servers than 2; 3 may"
    ));
    Ok(if over > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
