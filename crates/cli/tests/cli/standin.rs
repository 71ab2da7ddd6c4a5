//! Stand-in for a daemon's operator endpoints. It applies changes with the real configuration fold
//! and can lose answers, delay reports and let another operator's change come first.

use anvilgw_config::{
    ChangeRequest, ChangeResponse, ChangeVerdict, ConfigChange, ConfigFold, ConfigRecord,
    ConfigReport, DaemonConfigVersion, MemberStatus, Outcome, RecordId, StatusReport,
};
use anvilgw_core::{LogRecord, Offset};
use serde::Serialize;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// The operator key that the stand-in accepts.
pub(crate) const KEY: &str = "agw_test";

#[derive(Default)]
struct State {
    fold: ConfigFold,
    appended: u64,
    /// Number of further `POST` requests that take effect but get no answer.
    answers_to_lose: u32,
    /// Changes by another operator that are appended just before the next `POST` is processed.
    competing_changes: Vec<ConfigChange>,
    /// Number of further reports in which the second daemon still has the previous version.
    reads_until_in_force: u32,
}

impl State {
    fn append(&mut self, record: &ConfigRecord) {
        let record = LogRecord {
            offset: Offset(self.appended),
            payload: record.encode().expect("a small record"),
        };
        self.fold.fold(&record).expect("no gap");
        self.appended += 1;
    }

    fn append_change(&mut self, record_id: RecordId, expected_version: u64, change: ConfigChange) {
        let author = "ana".to_owned();
        self.append(&ConfigRecord {
            record_id,
            author,
            written_ms: 0,
            expected_version,
            change,
        });
    }

    fn in_force(&mut self) -> Vec<DaemonConfigVersion> {
        let version = self.fold.current().version;
        let second_is_behind = self.reads_until_in_force > 0;
        self.reads_until_in_force = self.reads_until_in_force.saturating_sub(1);
        let second = version.saturating_sub(u64::from(second_is_behind));
        let daemon = |name: &str, version| DaemonConfigVersion {
            daemon: name.to_owned(),
            version,
        };
        vec![daemon("0@1", version), daemon("1@1", second)]
    }

    fn post(&mut self, request: ChangeRequest) -> ChangeResponse {
        for change in std::mem::take(&mut self.competing_changes) {
            let version = self.fold.current().version;
            self.append_change(RecordId::generate(), version, change);
        }
        self.append_change(request.record_id, request.expected_version, request.change);
        let outcome = self
            .fold
            .outcome(request.record_id)
            .expect("decided")
            .outcome
            .clone();
        let (verdict, version, rejection) = match outcome {
            Outcome::Accepted { version } => (ChangeVerdict::Accepted, version, None),
            Outcome::Rejected(rejection) => (
                ChangeVerdict::Rejected,
                self.fold.current().version,
                Some(rejection),
            ),
        };
        let reason = rejection
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default();
        ChangeResponse {
            verdict,
            version,
            reason,
            rejection,
            in_force: self.in_force(),
        }
    }
}

/// A running stand-in, which serves a daemon's operator endpoints on a loopback port.
pub(crate) struct StandinDaemon {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl StandinDaemon {
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                handle_connection(&stream, &mut shared.lock().expect("no test panics inside"));
            }
        });
        Self { address, state }
    }

    pub(crate) fn lose_answers(&self, count: u32) {
        self.state.lock().unwrap().answers_to_lose = count;
    }

    pub(crate) fn add_competing_change(&self, change: ConfigChange) {
        self.state.lock().unwrap().competing_changes.push(change);
    }

    pub(crate) fn delay_in_force(&self, reads: u32) {
        self.state.lock().unwrap().reads_until_in_force = reads;
    }

    pub(crate) fn version(&self) -> u64 {
        self.state.lock().unwrap().fold.current().version
    }

    /// Returns the number of appended records, both accepted and rejected ones.
    pub(crate) fn appended(&self) -> u64 {
        self.state.lock().unwrap().appended
    }
}

struct Request {
    method: String,
    path: String,
    authorized: bool,
    body: Vec<u8>,
}

fn read_request(stream: &TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace().map(str::to_owned);
    let (method, path) = (words.next()?, words.next()?);
    let (mut length, mut authorized) = (0, false);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "authorization" => authorized = value == format!("Bearer {KEY}"),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        authorized,
        body,
    })
}

fn explained_request() -> serde_json::Value {
    let attempt = serde_json::json!({
        "number": 1,
        "server": "porto-1",
        "outcome": "complete",
        "imported_blocks": 0,
        "decision": {"candidates": [{"server": 0}], "excluded": [], "selected": 0},
    });
    serde_json::json!({
        "result": "Queued",
        "attempts": [attempt],
        "server_names": ["porto-1"],
    })
}

fn handle_connection(stream: &TcpStream, state: &mut State) {
    let Some(request) = read_request(stream) else {
        return;
    };
    if !request.authorized {
        return write_answer(
            stream,
            401,
            &serde_json::json!({"error": {"message": "no operator key"}}),
        );
    }
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/admin/config") => {
            let current = state.fold.current();
            let digest = current.digest().to_string();
            let report = ConfigReport {
                digest,
                state: (*current).clone(),
                in_force: state.in_force(),
            };
            write_answer(stream, 200, &report);
        }
        ("POST", "/admin/config") => {
            let verdict = state.post(serde_json::from_slice(&request.body).expect("a change"));
            if state.answers_to_lose > 0 {
                state.answers_to_lose -= 1;
                return;
            }
            write_answer(stream, 200, &verdict);
        }
        ("GET", "/admin/status") => {
            let member = MemberStatus {
                daemon: "0@1".to_owned(),
                ..MemberStatus::default()
            };
            let status = StatusReport {
                members: vec![member],
                ..StatusReport::default()
            };
            write_answer(stream, 200, &status);
        }
        ("GET", path) if path == format!("/admin/explain/{:032x}", 0xabc) => {
            write_answer(stream, 200, &explained_request());
        }
        _ => write_answer(
            stream,
            404,
            &serde_json::json!({"error": {"message": "nothing is known"}}),
        ),
    }
}

fn write_answer<T: Serialize>(mut stream: &TcpStream, status: u16, body: &T) {
    let body = serde_json::to_string(body).expect("JSON");
    let head = format!(
        "HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {}",
        body.len()
    );
    // Writing fails if the client has closed the connection, which then needs no answer.
    let _ = write!(stream, "{head}\r\n\r\n{body}");
}
