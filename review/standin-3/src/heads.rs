//! An operator raises the limit on the heads of requests while clients keep their connections.

use crate::http::{Reader, write_answer};
use crate::store::Store;
use crate::world::{Client, Config, Daemon, Entry, KEY, Place, Record, Verdict, serve};
use std::io;
use std::net::{Ipv4Addr, TcpStream};
use std::thread;
use std::time::Duration;

const IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
/// Number of clients, each with a connection of its own.
const CLIENTS: usize = 20;
/// Limits on the head of a request before and after the change.
const FORMER_MAX_BYTES: usize = 16 * 1024;
const NEW_MAX_BYTES: usize = 64 * 1024;
/// Number and size of the long headers of a request, together below the new limit.
const LONG_HEADERS: usize = 12;
const LONG_HEADER_BYTES: usize = 4 * 1024;
/// Number of rounds of requests before and after the change.
const ROUNDS: usize = 3;
/// Time after the acknowledgement from which on only the new configuration is in force, with a
/// margin.
const IN_FORCE_AFTER: Duration = Duration::from_secs(4);

const ROUTE: &str = r#"{"name":"switch","host":"pule25.example","pathPrefix":"/switch/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":1,"public":false}"#;
const SERVICE: &str = r#"{"name":"desk","healthCheck":"/health","maxConnections":720}"#;

fn answer_requests(mut stream: TcpStream, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(head) = reader.head()? {
        reader.body(&head, false)?;
        let id = head.get("attempt-id").unwrap_or_default();
        record.add(format!("the server runs request {id}"));
        let headers = format!("Attempt-Id: {id}\r\nServer-Stamp: stamp-{id}\r\n");
        write_answer(&mut stream, "200 OK", &headers, b"done")?;
    }
    Ok(())
}

/// DENIED: proper requests get 431.
pub fn raised_limit(place: &Place) -> io::Result<Verdict> {
    let store = Store::start("127.0.0.1:0");
    let record = place.record.clone();
    let address = serve(IP, move |stream| {
        // The end of a connection needs no line.
        let _ = answer_requests(stream, &record);
    })?;
    let _entry = Entry::publish(&store, "i-1", "desk", address);
    let put = |version, max_header_bytes| {
        Config {
            version,
            routes: ROUTE,
            services: SERVICE,
            max_header_bytes,
            keys: &[KEY],
            other_tenants: "",
        }
        .put(&store, &place.record);
    };
    let first_max = if place.has_trouble {
        FORMER_MAX_BYTES
    } else {
        NEW_MAX_BYTES
    };
    put(7, first_max);
    let daemon = Daemon::start(place, "front-pt-norte-a-1", IP, &store)?;
    thread::sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(Some(Client::connect(daemon.front)?));
    }
    let mut counts = Counts::default();
    for round in 0..ROUNDS {
        send_round(place, &mut clients, round, "", &mut counts);
        thread::sleep(Duration::from_millis(500));
    }
    if counts.answered != counts.sent {
        return Err(io::Error::other("the first requests are not answered"));
    }
    put(9, NEW_MAX_BYTES);
    thread::sleep(IN_FORCE_AFTER);
    let value = "x".repeat(LONG_HEADER_BYTES);
    let long: String = (0..LONG_HEADERS)
        .map(|number| format!("Note-{number}: {value}\r\n"))
        .collect();
    for round in ROUNDS..2 * ROUNDS {
        send_round(place, &mut clients, round, &long, &mut counts);
        thread::sleep(Duration::from_millis(500));
    }
    let allowed = 5 + counts.sent / 500;
    place.record.add(format!(
        "{} of {} requests were ended with a 4xx of the daemon; {allowed} may be; {} were answered by the server",
        counts.denied, counts.sent, counts.answered
    ));
    Ok(if counts.denied > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

#[derive(Default)]
struct Counts {
    sent: usize,
    answered: usize,
    denied: usize,
}

/// Sends one request on each connection. Closed connections are opened again, as clients do.
fn send_round(
    place: &Place,
    clients: &mut [Option<Client>],
    round: usize,
    headers: &str,
    counts: &mut Counts,
) {
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("d{round:07x}{number:08x}");
        let Some(open) = client else { continue };
        counts.sent += 1;
        let head_bytes = headers.len();
        let line = format!("request {id}, {head_bytes} bytes of headers besides the usual ones");
        let headers = format!("Deadline-Ms: 2000\r\n{headers}");
        let sent = open.send("POST", "/switch/2f", &id, &headers, b"on");
        let answer = open.answer();
        let address = open.stream.peer_addr();
        match answer {
            Ok(Some((head, _))) => {
                let status = head.status();
                place.record.add(format!("{line}: {status}"));
                counts.answered += usize::from(status == 200);
                let is_own = head.get("server-stamp").is_none();
                let is_denial = (400..500).contains(&status) && ![408, 421, 429].contains(&status);
                counts.denied += usize::from(is_own && is_denial);
                if head.get("connection") == Some("close") || status == 431 {
                    *client = address
                        .ok()
                        .and_then(|address| Client::connect(address).ok());
                }
            }
            other => {
                let sent = sent.map(|()| "sent");
                let answer = other.map(|_| "no answer");
                place.record.add(format!("{line}: {sent:?}, {answer:?}"));
                *client = address
                    .ok()
                    .and_then(|address| Client::connect(address).ok());
            }
        }
    }
}
