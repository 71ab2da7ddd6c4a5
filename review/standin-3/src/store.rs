//! Stand-in of the platform's metadata store, in the form of a log.

use crate::http::{Head, Reader, write_answer};
use crate::json::Json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of partitions of each topic.
const PARTS: usize = 12;

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
}

struct MemberState {
    seen_at: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, MemberState>,
    generation: u64,
    /// Rises when the store comes back from an older copy.
    era: u64,
}

/// An older copy of the contents of a store.
pub struct Copy(BTreeMap<String, Topic>);

/// The store; clones share its contents.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("address of the store");
        let store = Self {
            address: listener.local_addr().expect("address of the store"),
            state: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the value of a key, as the operator and the servers do. An empty value removes it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.put_bytes(topic, key.as_bytes(), value.as_bytes());
    }

    /// Writes the value of a key, neither of which has to be text.
    pub fn put_bytes(&self, topic: &str, key: &[u8], value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key);
        record.extend_from_slice(value);
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("state");
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push(record);
        changed.notify_all();
    }

    /// Takes a copy of all records.
    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().expect("state").topics.clone())
    }

    /// Comes back from an older copy: what was written since is lost, and offsets go back.
    pub fn restore(&self, copy: Copy) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("state");
        state.topics = copy.0;
        state.era += 1;
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream.try_clone().expect("socket"));
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head, false) else {
                return;
            };
            thread::sleep(Duration::from_millis(4));
            let era = self.era();
            let (status, kind, answer) = self.answer(&head, &body);
            if self.era() != era {
                // The store was away for a moment.
                return;
            }
            let headers = format!("Content-Type: {kind}\r\nStore-Era: {era}\r\n");
            if write_answer(&mut stream, status, &headers, &answer).is_err() {
                return;
            }
        }
    }

    fn era(&self) -> u64 {
        self.state.0.lock().expect("state").era
    }

    fn end(&self, topic: &str) -> usize {
        let state = self.state.0.lock().expect("state");
        let topic = state.topics.get(topic);
        topic.map_or(0, |topic| topic.records.len())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let arg = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let topic = arg("topic").unwrap_or_default();
        match path {
            "/api/log-read" => {
                let from = arg("from").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait_ms = arg("waitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                if from > self.end(&topic) {
                    return ("410 Gone", JSON, br#"{"first":0}"#.to_vec());
                }
                match self.read(&topic, from, wait_ms) {
                    Some(bytes) => ("200 OK", "application/octet-stream", bytes),
                    None => ("404 Not Found", JSON, b"{}".to_vec()),
                }
            }
            "/api/log-newest" => match self.newest(&topic) {
                Some(text) => ("200 OK", JSON, text.into_bytes()),
                None => ("404 Not Found", JSON, b"{}".to_vec()),
            },
            "/api/log-append" => {
                let at = arg("at").and_then(|text| text.parse().ok());
                self.append(&topic, at, body)
            }
            "/api/log-join" => ("200 OK", JSON, self.join(body).into_bytes()),
            "/api/log-leave" => ("200 OK", JSON, b"{}".to_vec()),
            "/api/log-owners" => ("200 OK", JSON, self.owners().into_bytes()),
            _ => ("404 Not Found", JSON, b"{}".to_vec()),
        }
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Option<Vec<u8>> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("state");
        loop {
            let end = state.topics.get(topic).map(|topic| topic.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if end.is_some_and(|end| end > from) || left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).expect("state").0;
        }
        let records = &state.topics.get(topic)?.records;
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            bytes.extend((record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        Some(bytes)
    }

    fn newest(&self, topic: &str) -> Option<String> {
        let state = self.state.0.lock().expect("state");
        let records = match state.topics.get(topic) {
            Some(topic) => topic.records.as_slice(),
            None if topic == "keyed.op" || topic == "keyed.servers" => &[],
            None => return None,
        };
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = &record[1 + length..];
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let (key, value) = (escaped(key), base64(value));
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        Some(format!(
            r#"{{"items":[{items}],"hasMore":false,"end":{end}}}"#
        ))
    }

    fn append(
        &self,
        topic: &str,
        at: Option<usize>,
        mut body: &[u8],
    ) -> (&'static str, &'static str, Vec<u8>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("state");
        let records = &mut state.topics.entry(topic.to_owned()).or_default().records;
        let offset = records.len();
        if at.is_some_and(|at| at != offset) {
            let text = format!(r#"{{"end":{offset}}}"#);
            return (
                "412 Precondition Failed",
                "application/json",
                text.into_bytes(),
            );
        }
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let end = records.len();
        changed.notify_all();
        let text = format!(r#"{{"offset":{offset},"end":{end}}}"#);
        ("200 OK", "application/json", text.into_bytes())
    }

    fn join(&self, body: &[u8]) -> String {
        let request = Json::parse(&String::from_utf8_lossy(body));
        let member = request.text("member");
        let ttl = Duration::from_millis(request.number("ttlMs") as u64);
        let now = Instant::now();
        let mut state = self.state.0.lock().expect("state");
        let before = state.members.len();
        state
            .members
            .retain(|name, state| *name == member || now < state.seen_at + state.ttl);
        let was_known = state
            .members
            .insert(member.clone(), MemberState { seen_at: now, ttl })
            .is_some();
        if !was_known || state.members.len() != before {
            state.generation += 1;
        }
        let topics = request.list("topics");
        let names: Vec<&String> = state.members.keys().collect();
        let own = names
            .iter()
            .position(|name| **name == member)
            .unwrap_or_default();
        let mut rows = Vec::new();
        for (index, topic) in topics.iter().enumerate() {
            for part in 0..PARTS {
                if (index * PARTS + part) % names.len() == own {
                    rows.push(format!(r#"["{topic}",{part},0]"#));
                }
            }
        }
        let (generation, rows) = (state.generation, rows.join(","));
        format!(r#"{{"generation":{generation},"ttlMs":4500,"parts":[{rows}]}}"#)
    }

    fn owners(&self) -> String {
        let state = self.state.0.lock().expect("state");
        let rows: Vec<String> = state
            .members
            .keys()
            .enumerate()
            .map(|(part, name)| format!(r#"["t",{part},"{name}",0]"#))
            .collect();
        let generation = state.generation;
        format!(
            r#"{{"generation":{generation},"parts":[{}]}}"#,
            rows.join(",")
        )
    }
}

/// Escapes a text for a JSON string.
fn escaped(text: &str) -> String {
    let escape = |character: char| match character {
        '"' | '\\' => format!("\\{character}"),
        control if control.is_control() => format!("\\u{:04x}", u32::from(control)),
        other => other.to_string(),
    };
    text.chars().map(escape).collect()
}

/// Encodes bytes in base64.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut value = 0_u32;
        for index in 0..3 {
            value = value << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                let digit = value >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
