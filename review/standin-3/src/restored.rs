//! A key that was withdrawn before the metadata store came back from an older copy.

use crate::http::{Reader, write_answer};
use crate::store::Store;
use crate::world::{Client, Config, Daemon, Entry, KEY, Place, Record, Verdict, serve};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Addresses of the two daemons.
const IPS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 0, 0, 1), Ipv4Addr::new(127, 0, 0, 2)];
/// Key that is withdrawn.
const WITHDRAWN: &str = "bvk9m68k7b2ex5wa5xwy";
/// Time from the copy to the withdrawal.
const COPY_LEAD: Duration = Duration::from_millis(1500);
/// Times after the acknowledgement of the withdrawal: the store comes back, the daemon is killed, the
/// operator writes again.
const RESTORED_AFTER: Duration = Duration::from_millis(1500);
const KILLED_AFTER: Duration = Duration::from_millis(1700);
const REPEATED_AFTER: Duration = Duration::from_millis(6200);
/// Time after which no request with the key may run (`revokeMs`), with a margin.
const REVOKED_AFTER: Duration = Duration::from_millis(5050);
/// Pause between two requests with the key.
const PAUSE: Duration = Duration::from_millis(50);

const ROUTE: &str = r#"{"name":"switch","host":"pule25.example","pathPrefix":"/switch/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":1,"public":false}"#;
const SERVICE: &str = r#"{"name":"desk","healthCheck":"/health","maxConnections":720}"#;

/// Requests that the server ran.
type Runs = Arc<Mutex<Vec<String>>>;

fn answer_requests(mut stream: TcpStream, runs: &Runs, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(head) = reader.head()? {
        reader.body(&head, false)?;
        let id = head.get("attempt-id").unwrap_or_default();
        record.add(format!("the server runs request {id}"));
        runs.lock().expect("runs").push(id.to_owned());
        let headers = format!("Attempt-Id: {id}\r\nServer-Stamp: stamp-{id}\r\n");
        write_answer(&mut stream, "200 OK", &headers, b"done")?;
    }
    Ok(())
}

/// Sends a request with the withdrawn key, and returns the status.
fn ask(front: SocketAddr, id: &str) -> io::Result<u16> {
    let mut client = Client::with_key(front, WITHDRAWN)?;
    client.send("POST", "/switch/2f", id, "Deadline-Ms: 2000\r\n", b"on")?;
    Ok(client.answer()?.map_or(0, |(head, _)| head.status()))
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// CONFIG: requests run with a key that was withdrawn more than `revokeMs` before.
pub fn withdrawn_key(place: &Place) -> io::Result<Verdict> {
    let store = Store::start("127.0.0.1:0");
    let runs: Runs = Arc::default();
    let (own_runs, record) = (Arc::clone(&runs), place.record.clone());
    let address = serve(IPS[0], move |stream| {
        // The end of a connection needs no line.
        let _ = answer_requests(stream, &own_runs, &record);
    })?;
    let _entry = Entry::publish(&store, "i-1", "desk", address);
    let put = |version, keys: &[&str]| {
        Config {
            version,
            routes: ROUTE,
            services: SERVICE,
            max_header_bytes: 16384,
            keys,
            other_tenants: "",
        }
        .put(&store, &place.record);
    };
    put(7, &[KEY, WITHDRAWN]);
    let kept = Daemon::start(place, "front-pt-norte-a-1", IPS[0], &store)?;
    let mut killed = Daemon::start(place, "front-pt-norte-a-2", IPS[1], &store)?;
    thread::sleep(Duration::from_secs(6));
    for (number, daemon) in [&kept, &killed].into_iter().enumerate() {
        let status = ask(daemon.front, &format!("9{number:015x}"))?;
        place
            .record
            .add(format!("request with the key before: {status}"));
        if status != 200 {
            return Err(io::Error::other("the key doesn't work at first"));
        }
    }
    let copy = store.copy();
    place.record.add("a copy of the store is taken");
    thread::sleep(COPY_LEAD);
    put(9, &[KEY]);
    let acknowledged_at = Instant::now();
    place.record.add("the key is withdrawn");
    sleep_until(acknowledged_at + RESTORED_AFTER);
    if place.has_trouble {
        store.restore(copy);
        place.record.add("the store has come back from the copy");
    }
    sleep_until(acknowledged_at + KILLED_AFTER);
    killed.restart(place)?;
    sleep_until(acknowledged_at + REVOKED_AFTER);
    let is_ready = killed.is_ready();
    place
        .record
        .add(format!("the daemon that was killed is ready: {is_ready}"));
    let (mut sent, mut numbers) = (0, Vec::new());
    while Instant::now() < acknowledged_at + REPEATED_AFTER {
        for (name, daemon) in [("kept on", &kept), ("was killed", &killed)] {
            let id = format!("b{sent:015x}");
            let status = ask(daemon.front, &id)?;
            place.record.add(format!(
                "request {id} with the withdrawn key, to the daemon that {name}: {status}"
            ));
            numbers.push(id);
            sent += 1;
        }
        thread::sleep(PAUSE);
    }
    put(9, &[KEY]);
    let runs = runs.lock().expect("runs");
    let ran = numbers.iter().filter(|id| runs.contains(id)).count();
    place.record.add(format!(
        "{ran} of {sent} requests ran that were sent with the key later than 5 s after its withdrawal was acknowledged; none may"
    ));
    Ok(if ran > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
