//! Backend servers as the gateway knows them.

use crate::cold::ColdBudget;
use crate::former::FormerServers;
use crate::holder::name_hash;
use crate::loaded::LoadedWeights;
use crate::request::ReportedLoad;
use anvilgw_router::{Breaker, BreakerSettings};
use indexmap::{IndexMap, IndexSet};
use slotmap::{SlotMap, new_key_type};
use std::net::SocketAddr;
use std::time::Duration;

/// Weight of one outcome in the share of failed requests.
const FAILURE_SHARE_STEP: f64 = 0.12;
/// Age after which a reported load says nothing any more.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_millis(1500);
/// Time for which an engine that rejected a prompt as full counts as loaded.
const FULL_TIME: Duration = Duration::from_millis(400);
/// Part of its memory that such an engine counts as loaded beyond what is known. It is enough for prompts
/// to go elsewhere, and too little to refuse them where all engines are full.
const FULL_PART: f64 = 0.3;
/// Longest time for which one answer keeps requests from a server. A server that asks for more is
/// asked again after this time.
const BACKOFF_MAX: Duration = Duration::from_secs(300);
/// Settings of the breaker of a backend server. Two failures in a row, as a refused connection and
/// the retry on it, are enough to prefer others; the first probe follows soon.
const BREAKER: BreakerSettings = BreakerSettings {
    failures_to_open: 2,
    open_time: Duration::from_millis(400),
    open_time_max: Duration::from_secs(3),
};

new_key_type! {
    /// Position of a backend server in the arena.
    pub struct ServerKey;
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It leaves and takes no new work.
    Draining,
}

/// A model that a backend server holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedModel {
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// What a backend server publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Identifier of this start of the server.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Time for which it stays cold.
    pub cold_for: Duration,
    /// Requests that it executes at once.
    pub slots: u32,
    /// Models that it holds.
    pub models: Vec<ServedModel>,
    /// Time of its start in Unix milliseconds.
    pub started_at_ms: Option<u64>,
}

impl ServerEntry {
    /// Version of the weights of a model.
    #[must_use]
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let served = self.models.iter().find(|served| served.model == model)?;
        Some(served.version)
    }
}

/// A backend server with what this daemon has observed of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its newest entry.
    pub entry: ServerEntry,
    /// Requests of this daemon that it executes.
    pub in_flight: u32,
    /// Tokens that these requests take up.
    pub tokens_in_flight: u64,
    /// Circuit breaker for connections and broken answers.
    pub breaker: Breaker,
    /// Time at which it last answered this daemon.
    pub heard_at: Duration,
    /// Its address answers for another server.
    pub is_misdirected: bool,
    weights: LoadedWeights,
    /// Hash of the identifier, under which load reports name the server.
    load_hash: u32,
    cold_until: Duration,
    cold: ColdBudget,
    reported: Option<(ReportedLoad, Duration)>,
    sent_since_report: u32,
    failure_share: f64,
    lapsed_until: Option<Duration>,
    /// Until when the engine counts as full, and the tokens that this adds to its load.
    full: Option<(Duration, u64)>,
    /// Time until which the server wants no requests of this daemon.
    backoff_until: Duration,
}

/// Hash of a server's identifier, under which load reports name it. Two servers of the same hash would
/// count for each other's load.
#[must_use]
pub fn load_hash(id: &str) -> u32 {
    name_hash(id) as u32
}

impl Server {
    fn new(entry: ServerEntry, now: Duration) -> Self {
        Self {
            load_hash: load_hash(&entry.id),
            cold_until: now + entry.cold_for,
            entry,
            in_flight: 0,
            tokens_in_flight: 0,
            breaker: Breaker::new(BREAKER),
            heard_at: Duration::ZERO,
            is_misdirected: false,
            weights: LoadedWeights::default(),
            cold: ColdBudget::new(now),
            reported: None,
            sent_since_report: 0,
            failure_share: 0.0,
            lapsed_until: None,
            full: None,
            backoff_until: Duration::ZERO,
        }
    }

    /// Notes that the server leaves. It takes no new work from then on, whatever its entry says.
    /// Returns whether this is news.
    pub fn on_leaving(&mut self) -> bool {
        let replaced = std::mem::replace(&mut self.entry.state, ServerState::Draining);
        replaced == ServerState::Ready
    }

    /// Notes that the server wants no requests of this daemon for some time.
    pub fn on_backoff(&mut self, backoff: Duration, now: Duration) {
        self.back_off_until(now + backoff.min(BACKOFF_MAX));
    }

    pub(crate) fn back_off_until(&mut self, until: Duration) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Time for which the server still wants no requests of this daemon; zero if it takes them.
    #[must_use]
    pub fn backoff_left(&self, now: Duration) -> Duration {
        self.backoff_until.saturating_sub(now)
    }

    /// Time until which the server wants no requests of this daemon.
    pub(crate) fn backoff_until(&self) -> Duration {
        self.backoff_until
    }

    /// Hash of the identifier, under which load reports name the server.
    #[must_use]
    pub fn load_hash(&self) -> u32 {
        self.load_hash
    }

    /// Whether the server is cold.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Notes that the server is cold for some time from now.
    pub fn set_cold_for(&mut self, cold_for: Duration, now: Duration) {
        if !self.is_cold(now) && !cold_for.is_zero() {
            self.cold = ColdBudget::new(now);
        }
        self.cold_until = now + cold_for;
    }

    /// The budget of requests while the server is cold.
    pub fn cold_budget(&mut self) -> &mut ColdBudget {
        &mut self.cold
    }

    /// Estimated requests on the server: its report and what was sent since, or own requests.
    #[must_use]
    pub fn load(&self, now: Duration) -> f64 {
        let own = f64::from(self.in_flight);
        match self.reported {
            Some((load, at)) if now.saturating_sub(at) < LOAD_REPORT_MAX_AGE => {
                let reported = f64::from(load.running + load.waiting);
                (reported + f64::from(self.sent_since_report)).max(own)
            }
            _ => own,
        }
    }

    /// Age of the last report of its load.
    #[must_use]
    pub fn load_age(&self, now: Duration) -> Option<Duration> {
        let (_, at) = self.reported?;
        Some(now.saturating_sub(at))
    }

    /// Share of failed requests among the recent ones.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Version of the weights of a model that the server probably holds.
    #[must_use]
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let entry = self.entry.version_of(model)?;
        Some(self.weights.version(model, entry))
    }

    /// Version of the weights of a model that the server itself has told.
    #[must_use]
    pub fn told_version_of(&self, model: &str) -> Option<u64> {
        let entry = self.entry.version_of(model)?;
        Some(self.weights.told_version(model, entry))
    }

    /// Notes that the server has loaded a version of a model's weights, before its entry tells.
    pub fn on_loaded(&mut self, model: &str, version: u64) {
        let entry = self.entry.version_of(model);
        self.weights.set_version(model, entry, version, true);
    }

    /// Notes that the server is ordered to switch to a version of a model's weights, and takes no
    /// requests until it tells that it has, or until a time.
    pub fn on_switch_ordered(&mut self, model: &str, version: u64, until: Duration) {
        let told = self.told_version_of(model);
        self.weights.on_switch(model, told, version, until);
    }

    /// Notes that the server takes requests again after it was ordered to switch to a version.
    pub fn on_switched(&mut self, model: &str, version: u64) {
        self.weights.on_switched(model, version);
    }

    /// Whether the server switches weights and rejects requests.
    #[must_use]
    pub fn is_switching(&self, now: Duration) -> bool {
        self.weights.is_switching(now)
    }

    /// Notes that the server refused a request for a version of a model's weights. It probably holds the
    /// newest one, unless that is the one it refused.
    pub fn on_other_weights(&mut self, model: &str, refused: u64, newest: u64) {
        let entry = self.entry.version_of(model);
        if refused < newest {
            self.weights.set_version(model, entry, newest, false);
        } else {
            self.weights.forget_version(model);
        }
    }

    /// Notes that a request was sent.
    pub fn on_sent(&mut self, tokens: u64, now: Duration) {
        self.in_flight += 1;
        self.tokens_in_flight += tokens;
        self.sent_since_report += 1;
        self.breaker.on_request_sent(now);
    }

    /// Notes that a request ended, whatever its outcome.
    pub fn on_ended(&mut self, tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens_in_flight = self.tokens_in_flight.saturating_sub(tokens);
    }

    /// Notes that the engine rejected a prompt because it is full. Other daemons have sent it more than
    /// is known here.
    pub fn on_full(&mut self, capacity_tokens: u64, now: Duration) {
        let tokens = capacity_tokens as f64 * FULL_PART;
        self.full = Some((now + FULL_TIME, tokens as u64));
    }

    /// Tokens that the requests of this daemon take up, and those that a recent rejection told of.
    #[must_use]
    pub fn known_tokens(&self, now: Duration) -> u64 {
        let full = self.full.filter(|(until, _)| now < *until);
        self.tokens_in_flight + full.map_or(0, |(_, tokens)| tokens)
    }

    /// Notes the load that came with an answer.
    pub fn on_load(&mut self, load: ReportedLoad, now: Duration) {
        self.reported = Some((load, now));
        self.sent_since_report = 0;
    }

    /// Notes that no connection to the server can be opened.
    pub fn on_unreachable(&mut self, now: Duration) {
        for _ in 0..BREAKER.failures_to_open {
            self.breaker.on_failure(now);
        }
    }

    /// Notes the outcome of a request.
    pub fn on_outcome(&mut self, is_success: bool) {
        let outcome = if is_success { 0.0 } else { 1.0 };
        self.failure_share += FAILURE_SHARE_STEP * (outcome - self.failure_share);
    }
}

/// All backend servers, and the failure domains that are out of service.
#[derive(Debug, Default)]
pub struct Servers {
    arena: SlotMap<ServerKey, Server>,
    by_id: IndexMap<String, ServerKey>,
    former: FormerServers,
    domains_out: IndexSet<String>,
}

impl Servers {
    /// A backend server.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.arena.get(key)
    }

    /// A backend server, to change it.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.arena.get_mut(key)
    }

    /// The backend server with an identifier.
    #[must_use]
    pub fn key_of(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// All backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.arena.iter()
    }

    /// Takes over a published entry.
    pub fn on_seen(&mut self, entry: ServerEntry, now: Duration) -> ServerKey {
        let Some(key) = self.key_of(&entry.id) else {
            return self.insert(entry, now);
        };
        let server = &mut self.arena[key];
        if entry.started_at_ms < server.entry.started_at_ms {
            // A delayed heartbeat of an earlier start of the same server.
            return key;
        }
        if entry.started_at_ms > server.entry.started_at_ms {
            let (in_flight, tokens_in_flight) = (server.in_flight, server.tokens_in_flight);
            *server = Server::new(entry, now);
            server.in_flight = in_flight;
            server.tokens_in_flight = tokens_in_flight;
            return key;
        }
        let was_draining = server.entry.state == ServerState::Draining;
        server.set_cold_for(entry.cold_for, now);
        if entry.models != server.entry.models {
            server.weights.on_entry();
            for served in &entry.models {
                server.weights.on_switched(&served.model, served.version);
            }
        }
        if entry.address != server.entry.address {
            server.is_misdirected = false;
        }
        server.entry = entry;
        if was_draining {
            // A server never returns from a drain; a ready entry after it is a delayed one.
            server.entry.state = ServerState::Draining;
        }
        server.lapsed_until = None;
        key
    }

    fn insert(&mut self, entry: ServerEntry, now: Duration) -> ServerKey {
        let id = entry.id.clone();
        let mut server = Server::new(entry, now);
        self.former.restore(&mut server);
        let key = self.arena.insert(server);
        self.by_id.insert(id, key);
        key
    }

    /// Removes a backend server whose entry is gone. During `grace` it is still used: entries lapse
    /// while the store is away although their servers live.
    pub fn on_removed(&mut self, id: &str, grace: Duration, now: Duration) {
        let Some(key) = self.key_of(id) else { return };
        if grace.is_zero() {
            self.forget(key, now);
            return;
        }
        self.arena[key].lapsed_until = Some(now + grace);
    }

    /// Forgets the servers whose grace has ended and returns their identifiers.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let expired: Vec<ServerKey> = self
            .arena
            .iter()
            .filter(|(_, server)| server.lapsed_until.is_some_and(|until| until <= now))
            .map(|(key, _)| key)
            .collect();
        expired
            .into_iter()
            .filter_map(|key| self.forget(key, now))
            .collect()
    }

    /// Removes, after `grace`, every server that a complete listing does not name.
    pub fn retain_listed(&mut self, listed: &IndexSet<String>, grace: Duration, now: Duration) {
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.on_removed(&id, grace, now);
        }
    }

    fn forget(&mut self, key: ServerKey, now: Duration) -> Option<String> {
        let server = self.arena.remove(key)?;
        self.by_id.swap_remove(&server.entry.id);
        self.former.on_forgotten(&server, now);
        Some(server.entry.id)
    }

    /// Time after which the first server of a service takes requests again, if all that are in service
    /// want none now.
    #[must_use]
    pub fn backoff_left(&self, service: &str, now: Duration) -> Option<Duration> {
        let in_service = self
            .arena
            .values()
            .filter(|server| server.entry.service == service && self.is_in_service(server));
        let soonest = in_service.map(|server| server.backoff_left(now)).min();
        soonest.filter(|left| !left.is_zero())
    }

    /// Takes a failure domain out of service.
    pub fn take_out(&mut self, domain: &str) {
        self.domains_out.insert(domain.to_owned());
    }

    /// Returns a failure domain to service.
    pub fn take_in(&mut self, domain: &str) {
        self.domains_out.swap_remove(domain);
    }

    /// Returns all failure domains to service, before a complete listing names those that are out.
    pub fn take_all_in(&mut self) {
        self.domains_out.clear();
    }

    /// Whether operators and the server itself allow new work on it.
    #[must_use]
    pub fn is_in_service(&self, server: &Server) -> bool {
        server.entry.state == ServerState::Ready
            && !server.is_misdirected
            && !self.domains_out.contains(&server.entry.failure_domain)
    }
}
