//! Stand-in of a managed store of kept KV cache.

use crate::http::{Connection, Message, serve};
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Salt, identifier of the part, and model.
pub type PartKey = (String, String, String);

/// Who made a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    pub tenant: String,
    pub version: u64,
    pub request: String,
}

#[derive(Clone)]
struct Part {
    tokens: u64,
    origin: Origin,
    is_complete: bool,
}

struct Fetch {
    key: PartKey,
    request: String,
    is_freed: bool,
}

#[derive(Default)]
struct State {
    parts: BTreeMap<PartKey, Part>,
    events: Vec<String>,
    fetches: BTreeMap<u64, Fetch>,
    next_fetch: u64,
    used_tokens: u64,
    frees: u64,
}

/// What a fetch brought.
pub enum Fetched {
    Whole(Origin),
    Miss,
    /// It would have ended too late and was thrown away.
    TooLate,
}

pub struct CacheStore {
    pub address: SocketAddr,
    pub capacity_tokens: u64,
    pub first_ms: f64,
    pub link_mbps: f64,
    kv_bytes: u64,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    link_free_at: Mutex<Instant>,
    /// Whether the store sends bytes without end in place of answers.
    is_in_trouble: AtomicBool,
}

const BOOT_EPOCH: u64 = 77_120;
/// Size of a chunk of a body without end, bytes that are sent fast, and the pause after each further
/// 1,024 chunks.
const CHUNK_BYTES: usize = 10;
const FAST_BYTES: usize = 8_300_000;
const SLOW_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for the link after which a transfer is not started.
const LINK_WAIT_MAX: Duration = Duration::from_secs(2);

impl CacheStore {
    pub fn start(
        record: &Arc<Record>,
        link_mbps: f64,
        kv_bytes: u64,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            capacity_tokens: 372_838,
            first_ms: 0.5,
            link_mbps,
            kv_bytes,
            record: Arc::clone(record),
            state: Mutex::default(),
            changed: Condvar::new(),
            link_free_at: Mutex::new(Instant::now()),
            is_in_trouble: AtomicBool::new(false),
        });
        let served = Arc::clone(&store);
        serve(listener, move |connection| served.serve(connection));
        Ok(store)
    }

    /// Returns how many parts were freed so far.
    pub fn frees(&self) -> u64 {
        self.state.lock().expect("cache").frees
    }

    /// Takes the link for a transfer that begins after those before it. Returns its end, or `None`
    /// if it would wait too long.
    fn transfer(&self, tokens: u64) -> Option<Instant> {
        let now = Instant::now();
        let mut free_at = self.link_free_at.lock().expect("link");
        let begins_at = now.max(*free_at);
        if begins_at - now > LINK_WAIT_MAX {
            return None;
        }
        let link_ms = (tokens * self.kv_bytes) as f64 * 8.0 / (self.link_mbps * 1000.0);
        let time = Duration::from_secs_f64((self.first_ms + link_ms) / 1000.0);
        *free_at = begins_at + time;
        Some(begins_at + time)
    }

    /// Fetches a part for a request of a server. `until_ms` is the time on the servers' clock after
    /// which the fetch is thrown away.
    pub fn fetch(&self, key: &PartKey, request: &str, until_ms: Option<u64>) -> Fetched {
        let (id, part) = {
            let mut state = self.state.lock().expect("cache");
            let Some(part) = state.parts.get(key).cloned() else {
                return Fetched::Miss;
            };
            let id = state.next_fetch;
            state.next_fetch += 1;
            let fetch = Fetch {
                key: key.clone(),
                request: request.to_owned(),
                is_freed: false,
            };
            state.fetches.insert(id, fetch);
            (id, part)
        };
        let ends_at = self.transfer(part.tokens);
        let limit =
            until_ms.map(|until| Duration::from_millis(until.saturating_sub(self.record.now_ms())));
        let limit = limit.map(|limit| Instant::now() + limit);
        let is_in_time = ends_at.is_some_and(|end| limit.is_none_or(|limit| end <= limit));
        let wait_until = match (is_in_time, ends_at, limit) {
            (true, Some(end), _) => Some(end),
            (_, _, limit) => limit,
        };
        if let Some(until) = wait_until {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
        let fetch = self.state.lock().expect("cache").fetches.remove(&id);
        if !is_in_time {
            return Fetched::TooLate;
        }
        if fetch.is_some_and(|fetch| fetch.is_freed) {
            self.record.broken(
                "MIXED",
                &format!(
                    "request {request} took part {} of model {} under salt {} from the store, which \
                     was freed before the fetch had ended",
                    key.1, key.2, key.0
                ),
            );
        }
        if !part.is_complete {
            let text = format!("request {request} took part {} while it was written", key.1);
            self.record.broken("MIXED", &text);
        }
        Fetched::Whole(part.origin)
    }

    /// Saves a part in the background. Its space is reserved at once, or the save is lost.
    pub fn save(self: &Arc<Self>, key: PartKey, tokens: u64, origin: Origin) {
        {
            let mut state = self.state.lock().expect("cache");
            let has_room = state.used_tokens + tokens <= self.capacity_tokens;
            if state.parts.contains_key(&key) || !has_room {
                return;
            }
            let part = Part {
                tokens,
                origin: origin.clone(),
                is_complete: false,
            };
            state.parts.insert(key.clone(), part);
            state.used_tokens += tokens;
        }
        let store = Arc::clone(self);
        thread::spawn(move || {
            let Some(ends_at) = store.transfer(tokens) else {
                return;
            };
            thread::sleep(ends_at.saturating_duration_since(Instant::now()));
            let mut state = store.state.lock().expect("cache");
            if let Some(part) = state.parts.get_mut(&key)
                && part.origin == origin
            {
                part.is_complete = true;
                push_event(&mut state, "+", &key, tokens);
                store.changed.notify_all();
            }
        });
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            if self.is_in_trouble.load(Ordering::SeqCst) {
                self.send_without_end(&mut connection, &request);
                return;
            }
            let (status, body) = self.call(&request);
            let headers = "Content-Type: application/json\r\n";
            if connection.answer(status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// From now on answers every call with a body that does not end.
    pub fn begin_trouble(&self) {
        self.is_in_trouble.store(true, Ordering::SeqCst);
    }

    /// Sends a body in small chunks until the caller closes the connection: first fast, then slowly.
    fn send_without_end(&self, connection: &mut Connection, request: &Message) {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "[".repeat(CHUNK_BYTES));
        let chunks = chunk.repeat(1024);
        let mut bytes = 0;
        let mut result = connection.write(head);
        while result.is_ok() {
            result = connection.write(&chunks);
            bytes += 1024 * CHUNK_BYTES;
            if bytes > FAST_BYTES {
                thread::sleep(SLOW_PAUSE);
            }
        }
        self.record.line(&format!(
            "store {}: {} answered without end, closed by the caller after {bytes} bytes",
            self.address,
            request.target()
        ));
    }

    fn call(&self, request: &Message) -> (u16, String) {
        match request.path() {
            "/api/kv-events" => (200, self.events(request)),
            "/api/kv-list" => (200, self.list()),
            "/api/kv-free" => self.free(request),
            "/api/report" => {
                let state = self.state.lock().expect("cache");
                let body = format!(
                    r#"{{"kvUsed":{},"kvTotal":{},"bootEpoch":{}}}"#,
                    state.used_tokens, self.capacity_tokens, BOOT_EPOCH
                );
                (200, body)
            }
            _ => (404, String::new()),
        }
    }

    fn events(&self, request: &Message) -> String {
        let since = request.query("since").and_then(|since| since.parse().ok());
        let since: usize = since.unwrap_or(0);
        let wait_ms = request.header("wait-ms").and_then(|wait| wait.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
        let mut state = self.state.lock().expect("cache");
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if state.events.len() != since || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).expect("cache").0;
        }
        let events: Vec<&str> = state
            .events
            .iter()
            .skip(since)
            .map(String::as_str)
            .collect();
        format!(
            r#"{{"bootEpoch":{},"clock_ms":{},"next":{},"lost":false,"events":[{}]}}"#,
            BOOT_EPOCH,
            self.record.now_ms(),
            state.events.len(),
            events.join(",")
        )
    }

    fn list(&self) -> String {
        let state = self.state.lock().expect("cache");
        let complete = state.parts.iter().filter(|(_, part)| part.is_complete);
        let held: Vec<String> = complete
            .map(|((salt, id, model), part)| {
                format!(r#"["{salt}","{id}",{},"{model}"]"#, part.tokens)
            })
            .collect();
        format!(
            r#"{{"bootEpoch":{},"next":{},"held":[{}],"partial":[]}}"#,
            BOOT_EPOCH,
            state.events.len(),
            held.join(",")
        )
    }

    fn free(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&request.text()) else {
            return (400, String::new());
        };
        let rows = body.get("parts").map_or(&[][..], Json::list);
        let mut state = self.state.lock().expect("cache");
        let mut freed = Vec::new();
        for row in rows {
            let [Json::Text(salt), Json::Text(id)] = row.list() else {
                return (400, String::new());
            };
            let keys: Vec<PartKey> = state
                .parts
                .keys()
                .filter(|key| key.0 == *salt && key.1 == *id)
                .cloned()
                .collect();
            for key in keys {
                if let Some(part) = state.parts.remove(&key) {
                    state.used_tokens -= part.tokens;
                    state.frees += 1;
                    push_event(&mut state, "-", &key, 0);
                    freed.push(key);
                }
            }
        }
        let mut interrupted = Vec::new();
        for fetch in state.fetches.values_mut() {
            if freed.contains(&fetch.key) {
                fetch.is_freed = true;
                interrupted.push(fetch.request.clone());
            }
        }
        self.changed.notify_all();
        drop(state);
        let names: Vec<String> = freed
            .iter()
            .map(|(salt, id, model)| format!("{salt}/{id}/{model}"))
            .collect();
        self.record.line(&format!(
            "store: a daemon freed {}; fetches in progress of these: {}",
            names.join(" "),
            interrupted.len()
        ));
        (200, "{}".to_owned())
    }
}

fn push_event(state: &mut State, sign: &str, key: &PartKey, tokens: u64) {
    let number = state.events.len() + 1;
    let (salt, id, model) = key;
    let event = format!(r#"[{number},"{sign}","{salt}","{id}",{tokens},"{model}"]"#);
    state.events.push(event);
}
