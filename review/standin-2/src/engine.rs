//! Stand-in of a model server.

use crate::cache::{CacheStore, Fetched, Origin, PartKey};
use crate::http::{Connection, Message, serve};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(1200);
const PREFILL_TOKENS_PER_MS: f64 = 125.0;
const LOAD_TIME: Duration = Duration::from_millis(970);
const EVENT_PAUSE: Duration = Duration::from_millis(5);
const EVENTS: u64 = 4;

/// What all servers of a deployment share.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub caches: Vec<Arc<CacheStore>>,
    /// Newest named version of each model.
    pub named: Mutex<BTreeMap<String, u64>>,
    engines: Mutex<BTreeMap<SocketAddr, Weak<Engine>>>,
}

impl World {
    pub fn new(record: Arc<Record>, store: Arc<Store>, caches: Vec<Arc<CacheStore>>) -> Arc<Self> {
        Arc::new(Self {
            record,
            store,
            caches,
            named: Mutex::default(),
            engines: Mutex::default(),
        })
    }

    fn cache_at(&self, address: SocketAddr) -> Option<&Arc<CacheStore>> {
        self.caches.iter().find(|cache| cache.address == address)
    }

    fn engine_at(&self, address: SocketAddr) -> Option<Arc<Engine>> {
        let engines = self.engines.lock().expect("engines");
        engines.get(&address)?.upgrade()
    }
}

struct Kept {
    tokens: u64,
    origin: Origin,
    last_use: u64,
}

#[derive(Default)]
struct State {
    versions: BTreeMap<String, u64>,
    kept: BTreeMap<PartKey, Kept>,
    uses: u64,
    loading: Option<String>,
    accepted_orders: u64,
    highest_fence: u64,
    beats: u64,
    running: u64,
    /// Tokens of the running requests.
    running_tokens: u64,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    capacity_tokens: u64,
    born_ms: u128,
    world: Arc<World>,
    state: Mutex<State>,
}

impl Engine {
    pub fn start(
        world: &Arc<World>,
        id: &str,
        service: &str,
        models: &[&str],
        capacity_tokens: u64,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let versions = models.iter().map(|model| ((*model).to_owned(), 1));
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            capacity_tokens,
            born_ms: born.map_or(1, |born| born.as_millis()),
            world: Arc::clone(world),
            state: Mutex::new(State {
                versions: versions.collect(),
                ..State::default()
            }),
        });
        let mut engines = world.engines.lock().expect("engines");
        engines.insert(address, Arc::downgrade(&engine));
        drop(engines);
        let served = Arc::clone(&engine);
        serve(listener, move |connection| served.serve(connection));
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                beating.publish();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    fn models_json(state: &State) -> String {
        let models: Vec<String> = state
            .versions
            .iter()
            .map(|(name, version)| {
                format!(r#"{{"name":"{name}","version":{version},"adapters":[]}}"#)
            })
            .collect();
        models.join(",")
    }

    fn publish(&self) {
        let entry = {
            let mut state = self.state.lock().expect("engine");
            state.beats += 1;
            format!(
                r#"{{"service":"{}","address":"{}","zone":"za","version":"v1","slots":64,"state":"ready","coldMs":0,"stage":"colocated","models":[{}],"seq":{},"born":{}}}"#,
                self.service,
                self.address,
                Self::models_json(&state),
                state.beats,
                self.born_ms
            )
        };
        self.world.store.write("keyed.servers", &self.id, &entry);
    }

    fn serve(self: &Arc<Self>, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            let result = match request.path() {
                "/api/report" => self.report(&mut connection, &request),
                "/api/order" => self.order(&mut connection, &request),
                path if path.starts_with("/api/") => connection.answer(404, "", b""),
                _ => self.generate(&mut connection, &request),
            };
            if result.is_err() {
                return;
            }
        }
    }

    fn is_misdirected(&self, request: &Message) -> bool {
        let expected = request.header("expect-instance");
        expected.is_some_and(|expected| expected != self.id)
    }

    fn misdirected(&self, connection: &mut Connection, attempt: &str) -> std::io::Result<()> {
        let headers = format!("Attempt-Id: {attempt}\r\nInstance-Id: {}\r\n", self.id);
        connection.answer(421, &headers, b"")
    }

    fn report(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        if self.is_misdirected(request) {
            return self.misdirected(connection, "");
        }
        let body = {
            let state = self.state.lock().expect("engine");
            format!(
                r#"{{"stage":"colocated","models":[{}],"busy":{},"seq":{},"queued":0,"running":{},"kvUsed":0,"kvTotal":{},"handles":0,"born":{}}}"#,
                Self::models_json(&state),
                state.loading.is_some(),
                state.accepted_orders,
                state.running,
                self.capacity_tokens,
                self.born_ms
            )
        };
        connection.answer(200, "Content-Type: application/json\r\n", body.as_bytes())
    }

    fn order(
        self: &Arc<Self>,
        connection: &mut Connection,
        request: &Message,
    ) -> std::io::Result<()> {
        if self.is_misdirected(request) {
            return self.misdirected(connection, "");
        }
        let status = self.accept_order(&request.text());
        self.world.record.line(&format!(
            "server {}: order {} answered {status}",
            self.id,
            request.text()
        ));
        connection.answer(status, "", b"")
    }

    fn accept_order(self: &Arc<Self>, body: &str) -> u16 {
        let Some(body) = Json::parse(body) else {
            return 400;
        };
        let number = |name| body.get(name).and_then(Json::number);
        let text = |name| body.get(name).and_then(Json::text);
        let (Some(model), Some(version)) = (text("model"), number("version")) else {
            return 400;
        };
        let (Some(fence), Some(_holder)) = (number("fencingToken"), text("holder")) else {
            return 400;
        };
        let named = self.world.named.lock().expect("named").get(model).copied();
        if named.is_none_or(|named| version > named) {
            return 400;
        }
        let mut state = self.state.lock().expect("engine");
        if fence < state.highest_fence {
            return 412;
        }
        state.highest_fence = fence;
        if state.versions.get(model) == Some(&version) {
            return 200;
        }
        let expected = number("precondition");
        if state.loading.is_some() || expected.is_some_and(|seq| seq != state.accepted_orders) {
            return 409;
        }
        state.accepted_orders += 1;
        state.loading = Some(model.to_owned());
        let engine = Arc::clone(self);
        let model = model.to_owned();
        thread::spawn(move || engine.load(&model, version));
        202
    }

    fn load(&self, model: &str, version: u64) {
        thread::sleep(LOAD_TIME);
        {
            let mut state = self.state.lock().expect("engine");
            state.versions.insert(model.to_owned(), version);
            state.kept.retain(|key, _| key.2 != model);
            state.loading = None;
        }
        let text = format!("server {}: holds {model} version {version}", self.id);
        self.world.record.line(&text);
        self.publish();
    }

    fn generate(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        if self.is_misdirected(request) {
            return self.misdirected(connection, &attempt);
        }
        let model = request.header("model").unwrap_or_default().to_owned();
        let version = {
            let state = self.state.lock().expect("engine");
            if state.loading.as_deref() == Some(model.as_str()) {
                drop(state);
                let headers = format!("Attempt-Id: {attempt}\r\nNot-Run: 1\r\n");
                return connection.answer(503, &headers, b"");
            }
            state.versions.get(&model).copied().unwrap_or(0)
        };
        let expected = request.header("expect-version");
        if expected.is_some_and(|expected| expected != version.to_string()) {
            return self.misdirected(connection, &attempt);
        }
        let tokens = prompt_tokens(request);
        {
            let mut state = self.state.lock().expect("engine");
            state.running += 1;
            state.running_tokens += tokens;
        }
        let used = self.read_prompt(request, &attempt, &model, version);
        self.world.record.line(&format!(
            "server {}: runs {attempt} of tenant {} salt {} {used}",
            self.id,
            request.header("tenant").unwrap_or("-"),
            request.header("cache-salt").unwrap_or("-"),
        ));
        let result = self.stream(connection, &attempt, version);
        let mut state = self.state.lock().expect("engine");
        state.running -= 1;
        state.running_tokens -= tokens;
        drop(state);
        result
    }

    fn stream(
        &self,
        connection: &mut Connection,
        attempt: &str,
        version: u64,
    ) -> std::io::Result<()> {
        connection.write(&format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {}.{attempt}\r\n\
             Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        ))?;
        for event in 1..=EVENTS {
            connection.write_chunk(&format!("id: {event}\ndata: {attempt}-{event}\n\n"))?;
            thread::sleep(EVENT_PAUSE);
        }
        connection.write("0\r\n\r\n")
    }

    /// Reads the parts of a prompt: those that are kept, then those that can be fetched, and
    /// computes the rest. Returns a text on what was used.
    fn read_prompt(&self, request: &Message, attempt: &str, model: &str, version: u64) -> String {
        let salt = request.header("cache-salt").unwrap_or_default();
        let tenant = request.header("tenant").unwrap_or_default();
        let until_ms = request
            .header("kv-until")
            .and_then(|until| until.parse().ok());
        let prefix = request.header("prompt-prefix").unwrap_or_default();
        let sources = addresses(request.header("kv-fetch"));
        let targets = addresses(request.header("kv-save"));
        let own = Origin {
            tenant: tenant.to_owned(),
            version,
            request: attempt.to_owned(),
        };
        let mut used = Vec::new();
        let mut are_found = true;
        for (index, part) in prefix.split(',').enumerate() {
            let Some((id, tokens)) = part.trim().split_once(':') else {
                continue;
            };
            let tokens: u64 = tokens.parse().unwrap_or(0);
            let key = (salt.to_owned(), id.to_owned(), model.to_owned());
            let found = if are_found {
                let source = sources.get(index).copied().flatten();
                self.find(&key, attempt, source, until_ms)
            } else {
                None
            };
            let origin = match found {
                Some((origin, how)) => {
                    used.push(format!("{id} {how} from {}", origin.request));
                    self.judge(&key, attempt, &own, &origin);
                    origin
                }
                None => {
                    are_found = false;
                    used.push(format!("{id} computed"));
                    let time =
                        Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_MS / 1000.0);
                    thread::sleep(time);
                    if let Some(target) = targets.get(index).copied().flatten()
                        && let Some(cache) = self.world.cache_at(target)
                    {
                        cache.save(key.clone(), tokens, own.clone());
                    }
                    own.clone()
                }
            };
            self.keep(key, tokens, origin);
        }
        used.join(", ")
    }

    fn find(
        &self,
        key: &PartKey,
        attempt: &str,
        source: Option<SocketAddr>,
        until_ms: Option<u64>,
    ) -> Option<(Origin, &'static str)> {
        if let Some(origin) = self.kept_origin(key) {
            return Some((origin, "kept"));
        }
        let source = source?;
        if let Some(cache) = self.world.cache_at(source) {
            let fetched = cache.fetch(key, attempt, until_ms);
            let (outcome, found) = match fetched {
                Fetched::Whole(origin) => ("fetched", Some((origin, "fetched"))),
                Fetched::Miss => ("not there", None),
                Fetched::TooLate => ("thrown away", None),
            };
            self.world.record.line(&format!(
                "server {}: fetch of {} for {attempt}: {outcome}",
                self.id, key.1
            ));
            return found;
        }
        let origin = self.world.engine_at(source)?.kept_origin(key)?;
        Some((origin, "fetched"))
    }

    fn kept_origin(&self, key: &PartKey) -> Option<Origin> {
        let mut state = self.state.lock().expect("engine");
        state.uses += 1;
        let uses = state.uses;
        let kept = state.kept.get_mut(key)?;
        kept.last_use = uses;
        Some(kept.origin.clone())
    }

    /// Keeps a part in the memory that the running requests leave. The least recently used parts
    /// yield.
    fn keep(&self, key: PartKey, tokens: u64, origin: Origin) {
        let mut state = self.state.lock().expect("engine");
        state.uses += 1;
        let last_use = state.uses;
        let kept = Kept {
            tokens,
            origin,
            last_use,
        };
        state.kept.insert(key, kept);
        let room = self.capacity_tokens.saturating_sub(state.running_tokens);
        while state.kept.values().map(|kept| kept.tokens).sum::<u64>() > room {
            let oldest = state.kept.iter().min_by_key(|(_, kept)| kept.last_use);
            let Some(oldest) = oldest.map(|(key, _)| key.clone()) else {
                break;
            };
            state.kept.remove(&oldest);
        }
    }

    /// Judges the use of a part that another request made.
    fn judge(&self, key: &PartKey, attempt: &str, own: &Origin, origin: &Origin) {
        let record = &self.world.record;
        if origin.version != own.version {
            record.broken(
                "STALE",
                &format!(
                    "request {attempt} on version {} used part {} made under version {}",
                    own.version, key.1, origin.version
                ),
            );
        }
    }
}

fn prompt_tokens(request: &Message) -> u64 {
    let count = request.header("token-count").unwrap_or_default();
    let count = count.split(',').next().unwrap_or_default();
    count.trim().parse().unwrap_or(0)
}

/// Parses a list of addresses, one for each part; `-` for none. A single address counts for all.
fn addresses(header: Option<&str>) -> Vec<Option<SocketAddr>> {
    header
        .unwrap_or_default()
        .split(',')
        .map(|entry| {
            let address = entry.split('/').next().unwrap_or_default();
            address.trim().parse().ok()
        })
        .collect()
}
