//! State of the backend servers as this daemon observes it: published entries, load, health,
//! cold start and weights.

mod collection;
mod entry;

pub use collection::{ServerKey, Servers};
pub use entry::{ServedModel, ServerEntry, ServerState};

use crate::cache_store::name_hash;
use crate::loaded_weights::{LoadedWeights, PendingOrders};
use crate::permits::{PermitHolder, PermitState};
use crate::request::ReportedLoad;
use crate::request_limit::{RequestLimit, RequestRate, StatementSource};
use crate::server_speed::ServerSpeed;
use anvilgw_router::{Breaker, BreakerSettings};
use std::time::Duration;

/// Weight of the newest request outcome in the moving average of failures.
const FAILURE_SHARE_STEP: f64 = 0.12;
/// Age after which a load report is ignored.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_millis(1500);
/// Time for which extra load is assumed on an engine that rejected a prompt for lack of memory.
const MEMORY_REJECTION_TIME: Duration = Duration::from_millis(400);
/// Fraction of the engine's memory that is added to its known load after such a rejection. It
/// is enough to send prompts to other engines, but too little to refuse them when all engines
/// are full.
const MEMORY_REJECTION_FRACTION: f64 = 0.3;
/// Time for which a server counts as full after it has rejected a request.
const FULL_TIME: Duration = Duration::from_millis(150);
/// Upper limit of the back-off that a backend server can request with one answer. Longer
/// back-offs are cut to this time.
const BACKOFF_MAX: Duration = Duration::from_secs(300);
/// Settings of a backend server's circuit breaker. Two consecutive failures (such as a refused
/// connection and its retry) open it, and the first probe follows soon after.
const BREAKER: BreakerSettings = BreakerSettings {
    failures_to_open: 2,
    open_time: Duration::from_millis(400),
    open_time_max: Duration::from_secs(3),
};

/// Notice that a server is draining, apart from its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainNotice {
    /// Uptime of this daemon at which it learned of it.
    pub learned_at: Duration,
    /// How it learned of it.
    pub source: StatementSource,
}

/// A backend server, with what this daemon has observed of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Newest entry that the server has published.
    pub entry: ServerEntry,
    /// Number of this daemon's requests in flight to the server.
    pub in_flight: u32,
    /// Tokens that these requests occupy in the engine's memory.
    pub tokens_in_flight: u64,
    /// Prompt tokens of those that have had no first event, as far as the engine computes them.
    pub uncomputed_tokens: u64,
    /// How much longer the server takes than others of its service.
    pub speed: ServerSpeed,
    /// Circuit breaker, fed by failed connections and broken answers.
    pub breaker: Breaker,
    /// Time of the server's last answer to this daemon.
    pub last_answer_at: Duration,
    /// Whether another server answers at the address of the entry. Such a server gets no
    /// requests until an entry names a new address.
    pub is_address_reused: bool,
    /// Limit on the requests that the server takes from all daemons together.
    pub request_limit: RequestLimit,
    /// Number of requests that this daemon has sent since it last logged that number.
    pub sent_since_logged: u32,
    /// Permits for requests to the server while it names a limit or is cold.
    pub permits: PermitHolder,
    /// See [`Server::incarnation_hash`].
    incarnation_hash: u64,
    weights: LoadedWeights,
    /// See [`server_hash`].
    server_hash: u32,
    cold_until: Duration,
    reported_load: Option<(ReportedLoad, Duration)>,
    sent_since_report: u32,
    failure_share: f64,
    removal_due_at: Option<Duration>,
    drain_notice: Option<DrainNotice>,
    /// Extra load assumed after the engine rejected a prompt: the end of the assumption, and
    /// tokens.
    memory_rejection: Option<(Duration, u64)>,
    /// Time until which the server has asked this daemon to send no requests.
    backoff_until: Duration,
    /// Time until which the server counts as full after it has rejected a request.
    full_until: Duration,
}

/// Returns the hash that identifies a server in load reports between daemons. If two servers
/// have the same hash, each is charged with the load of both.
#[must_use]
pub fn server_hash(id: &str) -> u32 {
    name_hash(id) as u32
}

fn incarnation_hash(entry: &ServerEntry) -> u64 {
    name_hash(&format!("{} {:?}", entry.id, entry.started_at_ms))
}

impl Server {
    fn new(entry: ServerEntry, now: Duration) -> Self {
        Self {
            server_hash: server_hash(&entry.id),
            incarnation_hash: incarnation_hash(&entry),
            cold_until: now.saturating_add(entry.cold_for),
            entry,
            in_flight: 0,
            tokens_in_flight: 0,
            uncomputed_tokens: 0,
            speed: ServerSpeed::default(),
            breaker: Breaker::new(BREAKER),
            last_answer_at: Duration::ZERO,
            is_address_reused: false,
            request_limit: RequestLimit::default(),
            sent_since_logged: 0,
            permits: PermitHolder::default(),
            weights: LoadedWeights::default(),
            reported_load: None,
            sent_since_report: 0,
            failure_share: 0.0,
            removal_due_at: None,
            drain_notice: None,
            memory_rejection: None,
            backoff_until: Duration::ZERO,
            full_until: Duration::ZERO,
        }
    }

    /// Marks the server as draining, whatever its entry says, and returns whether it was ready
    /// before.
    pub fn mark_draining(&mut self) -> bool {
        let replaced = std::mem::replace(&mut self.entry.state, ServerState::Draining);
        replaced == ServerState::Ready
    }

    /// Records that the server has stated that it is draining. Returns whether this daemon took it
    /// for ready before.
    pub fn on_drain_notice(&mut self, source: StatementSource, now: Duration) -> bool {
        self.drain_notice.get_or_insert(DrainNotice {
            learned_at: now,
            source,
        });
        self.mark_draining()
    }

    /// Returns the notice that the server is draining, if there was one.
    #[must_use]
    pub fn drain_notice(&self) -> Option<DrainNotice> {
        self.drain_notice
    }

    /// Returns whether the server's entry was removed, so that it is used for a short time only.
    #[must_use]
    pub fn is_entry_removed(&self) -> bool {
        self.removal_due_at.is_some()
    }

    /// Records that the server asked this daemon to send no requests for the duration
    /// `backoff`, cut to `BACKOFF_MAX`. Never shortens a back-off that is in force.
    pub fn on_backoff_requested(&mut self, backoff: Duration, now: Duration) {
        self.back_off_until(now + backoff.min(BACKOFF_MAX));
    }

    pub(crate) fn back_off_until(&mut self, until: Duration) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Returns the remaining back-off that the server asked for; zero if it accepts requests.
    #[must_use]
    pub fn backoff_left(&self, now: Duration) -> Duration {
        self.backoff_until.saturating_sub(now)
    }

    /// Returns the end of the back-off that the server asked for.
    pub(crate) fn backoff_until(&self) -> Duration {
        self.backoff_until
    }

    /// Returns the hash that identifies the server in load reports; see [`server_hash`].
    #[must_use]
    pub fn server_hash(&self) -> u32 {
        self.server_hash
    }

    /// Returns the hash that identifies one start of the server in messages between daemons.
    #[must_use]
    pub fn incarnation_hash(&self) -> u64 {
        self.incarnation_hash
    }

    /// Returns the rate at which all daemons together may send requests to the server, or `None` if
    /// it is not limited: that of the limit that the server names, or while it is cold
    /// `cold_per_s`, if that is lower. Zero means that cold servers take any rate.
    #[must_use]
    pub fn allowed_rate(&self, cold_per_s: f64, now: Duration) -> Option<RequestRate> {
        let is_slowed = self.is_cold(now) && cold_per_s > 0.0;
        let cold_rate = RequestRate::from_per_s(cold_per_s).filter(|_| is_slowed);
        let named = self.request_limit.allowed_rate();
        [cold_rate, named].into_iter().flatten().min()
    }

    /// Returns whether a request may be sent at the rate `allowed`. `share` is this daemon's share
    /// of the fleet, from 0 to 1.
    pub fn permit_state(
        &mut self,
        allowed: Option<RequestRate>,
        share: f64,
        now: Duration,
    ) -> PermitState {
        allowed.map_or(PermitState::Available, |rate| {
            self.permits.state(rate, share, now)
        })
    }

    /// Takes a permit if the rate of requests is limited to `allowed`. Returns the rate for which
    /// one must be requested from the issuer if none is available.
    pub fn take_permit(
        &mut self,
        allowed: Option<RequestRate>,
        share: f64,
        now: Duration,
    ) -> Option<RequestRate> {
        let rate = allowed?;
        let is_taken = self.permits.take(rate, share, now);
        (!is_taken).then_some(rate)
    }

    /// Returns whether the server is still within its cold start.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Sets how long the server stays cold from now on.
    pub fn set_cold_for(&mut self, cold_for: Duration, now: Duration) {
        self.cold_until = now.saturating_add(cold_for);
    }

    /// Returns the estimated number of requests on the server: the last reported load plus the
    /// requests sent since then, but at least this daemon's own requests. Without a recent
    /// report, only the latter count.
    #[must_use]
    pub fn load(&self, now: Duration) -> f64 {
        let own = f64::from(self.in_flight);
        match self.reported_load {
            Some((load, at)) if now.saturating_sub(at) < LOAD_REPORT_MAX_AGE => {
                let reported = f64::from(load.running) + f64::from(load.waiting);
                (reported + f64::from(self.sent_since_report)).max(own)
            }
            _ => own,
        }
    }

    /// Returns the number of requests that wait at the server according to a recent report, or 0.
    #[must_use]
    pub fn reported_waiting(&self, now: Duration) -> u32 {
        match self.reported_load {
            Some((load, at)) if now.saturating_sub(at) < LOAD_REPORT_MAX_AGE => load.waiting,
            _ => 0,
        }
    }

    /// Returns the age of the server's last load report.
    #[must_use]
    pub fn load_age(&self, now: Duration) -> Option<Duration> {
        let (_, at) = self.reported_load?;
        Some(now.saturating_sub(at))
    }

    /// Returns the moving average of the share of failed requests, from 0 to 1.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns the version of a model's weights that is most likely loaded: the entry's
    /// version, or a newer one that the server reported or that was inferred from a refused
    /// request.
    #[must_use]
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let entry_version = self.entry.version_of(model)?;
        Some(self.weights.version(model, entry_version))
    }

    /// Returns the version of a model's weights that the server itself has reported, in its
    /// entry or after a load.
    #[must_use]
    pub fn reported_version_of(&self, model: &str) -> Option<u64> {
        let entry_version = self.entry.version_of(model)?;
        Some(self.weights.confirmed_version(model, entry_version))
    }

    /// Records that the server has loaded a version of a model's weights, ahead of its next entry.
    pub fn on_weights_loaded(&mut self, model: &str, version: u64) {
        let entry_version = self.entry.version_of(model);
        self.weights
            .set_version(model, entry_version, version, true);
    }

    /// Records that the server was ordered to switch to a version of a model's weights. It gets
    /// no requests until it reports that version, or until the time `until`.
    pub fn on_switch_ordered(&mut self, model: &str, version: u64, until: Duration) {
        let reported = self.reported_version_of(model);
        self.weights
            .on_switch_announced(model, reported, version, until);
    }

    /// Records that the server reported a version of a model's weights, which ends a switch to
    /// that version or an earlier one.
    pub fn on_switched(&mut self, model: &str, version: u64) {
        self.weights.on_switched(model, version);
    }

    /// Records that an announced switch to a version of a model's weights does not take place: the
    /// server rejected the order, or loads nothing. Requests reach the server again.
    pub fn on_switch_cancelled(&mut self, model: &str, version: u64) {
        self.weights.on_switch_cancelled(model, version);
    }

    /// Records that an order to load a version of a model's weights, or an earlier order, may take
    /// effect until the time `until`. `expected_orders` is the number of accepted orders that the
    /// order requires, if this daemon has sent it.
    pub fn on_order_pending(
        &mut self,
        model: &str,
        version: u64,
        until: Duration,
        expected_orders: Option<u64>,
    ) {
        let reported = self.reported_version_of(model);
        if reported.is_none_or(|reported| reported < version) {
            self.weights
                .set_pending_order(model, version, until, expected_orders);
        }
    }

    /// Records that no order to load weights of the model may take effect any more.
    pub fn on_orders_settled(&mut self, model: &str) {
        self.weights.discard_pending_order(model);
    }

    /// Records a report of the server by which it loads nothing and has accepted `orders_accepted`
    /// orders since its start.
    pub fn on_orders_reported(&mut self, orders_accepted: u64) {
        self.weights.on_orders_reported(orders_accepted);
    }

    /// Returns the time until which an order to load weights may still take effect, although the
    /// server may load nothing now.
    #[must_use]
    pub fn order_pending_until(&self, now: Duration) -> Option<Duration> {
        self.pending_orders(now).map(|(_, until)| until).max()
    }

    /// Returns the time until which an order to load weights of the model may still take effect.
    #[must_use]
    pub fn model_order_pending_until(&self, model: &str, now: Duration) -> Option<Duration> {
        let mut orders = self.pending_orders(now);
        orders.find_map(|(ordered, until)| (ordered == model).then_some(until))
    }

    /// Returns the models for which an order may still take effect, and until when.
    fn pending_orders(&self, now: Duration) -> impl Iterator<Item = (&str, Duration)> {
        let is_over = |model: &str, version| {
            let reported = self.reported_version_of(model);
            reported.is_some_and(|reported| reported >= version)
        };
        let orders = self.weights.pending_orders(now);
        orders
            .filter(move |(model, order)| !is_over(model, order.version()))
            .map(|(model, order)| (model.as_str(), order.until()))
    }

    /// Returns the orders that are still to be known if the server's entry is removed and reappears.
    pub(crate) fn unexpired_orders(&self, now: Duration) -> PendingOrders {
        let orders = self.weights.pending_orders(now);
        orders
            .map(|(model, order)| (model.clone(), *order))
            .collect()
    }

    pub(crate) fn restore_pending_orders(&mut self, orders: PendingOrders) {
        self.weights.restore_pending_orders(orders);
    }

    /// Returns whether the server is switching weights and therefore rejects requests.
    #[must_use]
    pub fn is_switching(&self, now: Duration) -> bool {
        self.weights.is_switching(now)
    }

    /// Records that the server refused a request that required the version `refused` of a
    /// model's weights. The server most likely holds the `newest` version, unless that is the
    /// refused one: then only its entry counts.
    pub fn on_version_refused(&mut self, model: &str, refused: u64, newest: u64) {
        let entry_version = self.entry.version_of(model);
        if refused < newest {
            self.weights
                .set_version(model, entry_version, newest, false);
        } else {
            self.weights.discard_version(model);
        }
    }

    /// Records that a request occupying `tokens` in the engine's memory was sent to the server.
    pub fn on_request_sent(&mut self, tokens: u64, now: Duration) {
        self.in_flight += 1;
        self.tokens_in_flight += tokens;
        self.sent_since_report += 1;
        self.sent_since_logged += 1;
        self.breaker.on_request_sent(now);
    }

    /// Records that an order, or a question for its progress, is sent to the server. It occupies
    /// nothing there.
    pub fn on_control_call_sent(&mut self) {
        self.sent_since_logged += 1;
    }

    /// Records that a request sent with the same number of `tokens` has ended, whatever its
    /// outcome.
    pub fn on_request_ended(&mut self, tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens_in_flight = self.tokens_in_flight.saturating_sub(tokens);
    }

    /// Records that the server has to compute prompt tokens of a request that was sent to it.
    pub fn on_prompt_sent(&mut self, tokens: u64) {
        self.uncomputed_tokens += tokens;
    }

    /// Records that prompt tokens of a request are computed, or that the request has ended.
    pub fn on_prompt_computed(&mut self, tokens: u64) {
        self.uncomputed_tokens = self.uncomputed_tokens.saturating_sub(tokens);
    }

    /// Records that the engine rejected a prompt because its memory is full: other daemons have
    /// sent more to it than this daemon knows of.
    pub fn on_engine_full(&mut self, capacity_tokens: u64, now: Duration) {
        let tokens = capacity_tokens as f64 * MEMORY_REJECTION_FRACTION;
        self.memory_rejection = Some((now + MEMORY_REJECTION_TIME, tokens as u64));
    }

    /// Records that the server rejected a request because it executes as many as it can.
    pub fn on_full(&mut self, now: Duration) {
        self.full_until = now + FULL_TIME;
    }

    /// Returns whether the server is known to execute as many requests as it can: it has rejected
    /// one just now, or this daemon's own requests take up all slots.
    #[must_use]
    pub fn is_full(&self, now: Duration) -> bool {
        let slots = self.entry.slots;
        now < self.full_until || (slots > 0 && self.in_flight >= slots)
    }

    /// Returns the tokens that this daemon's requests occupy on the engine, plus the extra load
    /// assumed after a recent rejection.
    #[must_use]
    pub fn estimated_tokens(&self, now: Duration) -> u64 {
        let full = self.memory_rejection.filter(|(until, _)| now < *until);
        self.tokens_in_flight + full.map_or(0, |(_, tokens)| tokens)
    }

    /// Records the load that the server reported with an answer.
    pub fn on_load_report(&mut self, load: ReportedLoad, now: Duration) {
        self.reported_load = Some((load, now));
        self.sent_since_report = 0;
        if let Some(percent) = load.work_percent {
            self.speed.on_reported(percent, now);
        }
    }

    /// Opens the circuit breaker at once, because no connection to the server can be opened.
    pub fn on_unreachable(&mut self, now: Duration) {
        for _ in 0..BREAKER.failures_to_open {
            self.breaker.on_failure(now);
        }
    }

    /// Updates the share of failed requests with the outcome of a request.
    pub fn on_request_outcome(&mut self, is_success: bool) {
        let outcome = if is_success { 0.0 } else { 1.0 };
        self.failure_share += FAILURE_SHARE_STEP * (outcome - self.failure_share);
    }
}
