//! Stand-in of a plain server, which takes a fixed time for each request.

use crate::http::{Connection, Message, serve};
use crate::record::Record;
use crate::store::Store;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(1200);

pub struct PlainServer {
    id: String,
    address: SocketAddr,
    service: String,
    work: Duration,
    born_ms: u128,
    beats: AtomicU64,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl PlainServer {
    pub fn start(
        record: &Arc<Record>,
        store: &Arc<Store>,
        id: &str,
        service: &str,
        work: Duration,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            work,
            born_ms: born.map_or(1, |born| born.as_millis()),
            beats: AtomicU64::new(0),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        let served = Arc::clone(&server);
        serve(listener, move |connection| served.serve(connection));
        thread::spawn(move || {
            loop {
                server.publish();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(())
    }

    fn publish(&self) {
        let beats = self.beats.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"za","version":"v1","slots":64,"state":"ready","coldMs":0,"seq":{beats},"born":{}}}"#,
            self.service, self.address, self.born_ms
        );
        self.store.write("keyed.servers", &self.id, &entry);
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or_default();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = format!("Attempt-Id: {attempt}\r\nInstance-Id: {}\r\n", self.id);
            return connection.answer(421, &headers, b"");
        }
        self.record.line(&format!(
            "server {}: runs {attempt} of tenant {} with a body of {} bytes",
            self.id,
            request.header("tenant").unwrap_or("-"),
            request.body.len()
        ));
        thread::sleep(self.work);
        let headers = format!(
            "Attempt-Id: {attempt}\r\nServer-Stamp: {}.{attempt}\r\n",
            self.id
        );
        connection.answer(200, &headers, b"done")
    }
}
