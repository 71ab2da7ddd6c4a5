//! An entry of another writer whose key cannot be read.

use crate::http::{Reader, write_answer};
use crate::store::Store;
use crate::world::{Client, Config, Daemon, Entry, KEY, Place, Record, Verdict, serve};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
/// Number of requests, sent one after the other.
const REQUESTS: usize = 60;
/// Time from the entry to the first request, in which the daemon reads it.
const READ_TIME: Duration = Duration::from_secs(4);
/// Interval between two writes of the entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Key of the entry: a binary identifier instead of text.
const UNREADABLE_KEY: &[u8] = &[
    0x9c, 0x41, 0xd0, 0x7b, 0xe2, 0xa3, 0x5f, 0x68, 0x07, 0xbe, 0x2a, 0x13, 0xf6, 0x80, 0x1e, 0xc9,
];

const ROUTES: &str = r#"{"name":"switch","host":"pule25.example","pathPrefix":"/switch/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":1,"public":false}"#;
const SERVICES: &str = r#"{"name":"desk","healthCheck":"/health","maxConnections":720},{"name":"archive","healthCheck":"/health","maxConnections":720}"#;

/// Requests that a service ran.
type Runs = Arc<Mutex<Vec<String>>>;

/// A server that refuses requests that name another one, and runs all others.
fn start_server(
    id: &'static str,
    service: &str,
    record: &Record,
) -> io::Result<(SocketAddr, Runs)> {
    let runs: Runs = Arc::default();
    let (own_runs, record, service) = (Arc::clone(&runs), record.clone(), service.to_owned());
    let address = serve(IP, move |stream| {
        // The end of a connection needs no line.
        let _ = answer_requests(stream, id, &service, &own_runs, &record);
    })?;
    Ok((address, runs))
}

fn answer_requests(
    mut stream: TcpStream,
    id: &str,
    service: &str,
    runs: &Runs,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(head) = reader.head()? {
        reader.body(&head, false)?;
        let attempt = head.get("attempt-id").unwrap_or_default();
        let expected = head.get("expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            record.add(format!(
                "server {id} refuses request {attempt}, which names {expected:?}"
            ));
            let headers = format!("Attempt-Id: {attempt}\r\nInstance-Id: {id}\r\nNot-Run: 1\r\n");
            write_answer(&mut stream, "421 Misdirected Request", &headers, b"")?;
            continue;
        }
        record.add(format!(
            "server {id} of service {service} runs request {attempt}, which names {expected:?}"
        ));
        runs.lock().expect("runs").push(attempt.to_owned());
        let headers = format!("Attempt-Id: {attempt}\r\nServer-Stamp: stamp-{attempt}\r\n");
        write_answer(&mut stream, "200 OK", &headers, b"done")?;
    }
    Ok(())
}

/// Writes an entry of another writer, whose address belonged to a server of the other service
/// before, and writes it again with each heartbeat until the case ends.
fn write_unreadable(store: Store, address: SocketAddr, record: &Record) {
    let value = move |heartbeat: u64| {
        format!(
            r#"{{"service":"desk","address":"{address}","zone":"pt-norte-a","version":"v1","slots":64,"state":"ready","coldMs":0,"seq":{heartbeat},"born":1}}"#
        )
    };
    record.add(format!(
        "another writer begins to write an entry under the key {UNREADABLE_KEY:02x?}: {}",
        value(1)
    ));
    thread::spawn(move || {
        for heartbeat in 1.. {
            store.put_bytes("keyed.servers", UNREADABLE_KEY, value(heartbeat).as_bytes());
            thread::sleep(HEARTBEAT);
        }
    });
}

/// ROUTE: requests are run by a service to which no configuration allows them to go.
pub fn unreadable_key(place: &Place) -> io::Result<Verdict> {
    let store = Store::start("127.0.0.1:0");
    let (desk, _) = start_server("i-desk", "desk", &place.record)?;
    let (archive, archive_runs) = start_server("i-archive", "archive", &place.record)?;
    let _desk_entry = Entry::publish(&store, "i-desk", "desk", desk);
    let _archive_entry = Entry::publish(&store, "i-archive", "archive", archive);
    Config {
        version: 7,
        routes: ROUTES,
        services: SERVICES,
        max_header_bytes: 16384,
        keys: &[KEY],
        other_tenants: "",
    }
    .put(&store, &place.record);
    let daemon = Daemon::start(place, "front-pt-norte-a-1", IP, &store)?;
    thread::sleep(Duration::from_secs(4));
    if place.has_trouble {
        write_unreadable(store.clone(), archive, &place.record);
    }
    thread::sleep(READ_TIME);
    let mut client = Client::connect(daemon.front)?;
    let mut answered = 0;
    for number in 0..REQUESTS {
        let id = format!("e{number:015x}");
        client.send("POST", "/switch/2f", &id, "Deadline-Ms: 2000\r\n", b"on")?;
        let status = client.answer()?.map_or(0, |(head, _)| head.status());
        place.record.add(format!("request {id}: {status}"));
        answered += usize::from(status == 200);
        thread::sleep(Duration::from_millis(50));
    }
    if answered == 0 {
        return Err(io::Error::other("no request is answered"));
    }
    let misrouted = archive_runs.lock().expect("runs").len();
    place.record.add(format!(
        "{misrouted} of {REQUESTS} requests were run by the service archive, to which no route leads"
    ));
    Ok(if misrouted > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
