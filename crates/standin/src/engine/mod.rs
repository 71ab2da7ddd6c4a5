//! Stand-in of a model engine.
//!
//! The stand-in runs no model. It takes the time that prefill and decode would take, keeps a prefix
//! cache of KV block keys, and answers with words derived from the prompt.

mod answer;
mod batch;
mod cache;
mod completion;
mod config;
mod kv;
mod orders;
mod protocol;
mod stream;

pub use answer::{AnswerGenerator, answer_text, kv_content, prompt_of, token_count};
pub use config::{EngineConfig, EngineCounters, EngineFaults};
pub use kv::KvBlock;
pub use protocol::{
    CacheChange, CacheEvent, CacheEvents, EngineLoad, Extension, FencedOrder, ImportBlock, Order,
    OrderState, Usage,
};

use crate::fault_rng::FaultRng;
use crate::http_client::HttpClient;
use crate::link::Link;
use crate::server::{Reply, RunningStandin, Server, Standin, StandinRequest};
use anvilgw_core::{Clock, SystemClock};
use batch::{Batch, Job, Speed};
use cache::{EventLog, PrefixCache};
use http::{Method, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Stand-in of a model engine: completions, load report, cache events, KV transfer and orders.
#[derive(Debug)]
pub struct EngineStandin {
    config: EngineConfig,
    server: Arc<Server>,
    fault_rng: FaultRng,
    state: Mutex<State>,
    link: Mutex<Link>,
    http_client: HttpClient,
    work_available: Notify,
    /// Held while an order is executed, so that orders run one after the other.
    order_lock: tokio::sync::Mutex<()>,
    runtime: Handle,
}

#[derive(Debug, Default)]
struct State {
    start_ms: u64,
    is_warm: bool,
    completed: u64,
    completed_cold: u64,
    in_flight: u64,
    batch: Batch,
    cache: PrefixCache,
    events: EventLog,
    faults: EngineFaults,
    counters: EngineCounters,
    orders: OrderState,
    reported_load: EngineLoad,
    last_traceparent: Option<String>,
}

/// An accepted request. It counts towards the engine's load until this value is dropped.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    engine: Arc<EngineStandin>,
    start_ms: u64,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        // If the engine has crashed since, the crash has already reset the count.
        if state.start_ms == self.start_ms {
            state.in_flight -= 1;
        }
    }
}

impl EngineStandin {
    /// Starts the stand-in at `addr`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `addr`, for instance if the address is in use.
    pub async fn start(config: EngineConfig, addr: SocketAddr) -> io::Result<RunningStandin<Self>> {
        let seed = config.seed;
        let running = Server::start(addr, seed, |server| {
            let engine = Arc::new(Self {
                state: Mutex::new(Self::initial_state(&config)),
                fault_rng: FaultRng::new(seed),
                server: Arc::clone(server),
                link: Mutex::default(),
                http_client: HttpClient::new(Duration::from_millis(config.import_limit_ms)),
                work_available: Notify::new(),
                order_lock: tokio::sync::Mutex::default(),
                runtime: Handle::current(),
                config,
            });
            tokio::spawn(Arc::clone(&engine).run_until_stopped());
            engine
        });
        running.await
    }

    /// Replaces all faults with `faults`. The engine crashes or becomes cold at once if they say
    /// so.
    pub fn set_faults(&self, faults: EngineFaults) {
        let mut state = self.state();
        if faults.crash {
            self.crash(&mut state);
        }
        if faults.become_cold {
            state.is_warm = false;
            state.completed_cold = 0;
            self.clear_cache(&mut state);
        }
        state.faults = faults;
    }

    /// Returns the counters, which are kept across restarts.
    #[must_use]
    pub fn counters(&self) -> EngineCounters {
        self.state().counters
    }

    /// Returns the current load, without the delay of the load report.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        load_of(&self.state())
    }

    /// Returns the fencing token, the accepted orders and what they have changed.
    #[must_use]
    pub fn orders(&self) -> OrderState {
        self.state().orders.clone()
    }

    /// Returns whether the prefix cache holds the block `key`.
    #[must_use]
    pub fn has_block(&self, key: &str) -> bool {
        self.state().cache.contains(key)
    }

    /// Returns the `traceparent` header of the last completion request.
    #[must_use]
    pub fn last_traceparent(&self) -> Option<String> {
        self.state().last_traceparent.clone()
    }

    fn initial_state(config: &EngineConfig) -> State {
        let mut state = State {
            start_ms: SystemClock.wall_ms(),
            is_warm: config.starts_warm,
            faults: config.faults.clone(),
            orders: OrderState {
                models: config.models.clone(),
                weight_version: config.weight_version,
                ..OrderState::default()
            },
            ..State::default()
        };
        state.reported_load = load_of(&state);
        state
    }

    /// Counts a request. Crashes the engine and returns `None` if it is cold and the request
    /// exceeds `cold_concurrency`.
    pub(crate) fn accept_request(self: &Arc<Self>) -> Option<InFlightRequest> {
        let mut state = self.state();
        state.in_flight += 1;
        state.counters.accepted += 1;
        if !state.is_warm {
            state.counters.peak_cold = state.counters.peak_cold.max(state.in_flight);
            if state.in_flight > self.config.cold_concurrency as u64 {
                state.counters.cold_crashes += 1;
                self.crash(&mut state);
                return None;
            }
        }
        Some(InFlightRequest {
            engine: Arc::clone(self),
            start_ms: state.start_ms,
        })
    }

    /// Queues a job. If the engine has crashed since the request was accepted, the job is dropped,
    /// which ends its answer.
    fn submit(&self, job: Job, in_flight: &InFlightRequest) {
        let mut state = self.state();
        if state.start_ms == in_flight.start_ms {
            state.batch.submit(job);
            self.work_available.notify_one();
        }
    }

    /// Simulates a crash: drops all requests and the cache, closes the connections, and listens
    /// again as a cold engine after `restart_ms`.
    fn crash(&self, state: &mut State) {
        // Each start needs its own `start_ms`, even if two fall within a millisecond.
        state.start_ms = SystemClock.wall_ms().max(state.start_ms + 1);
        state.is_warm = false;
        state.completed = 0;
        state.completed_cold = 0;
        state.in_flight = 0;
        state.batch = Batch::default();
        state.cache.clear();
        state.events = EventLog::default();
        state.orders.loading = false;
        state.counters.crashes += 1;
        state.reported_load = load_of(state);
        self.server.take_down();
        let server = Arc::clone(&self.server);
        let restart = Duration::from_millis(self.config.restart_ms);
        self.runtime.spawn(async move {
            sleep(restart).await;
            server.bring_up();
        });
    }

    async fn run_until_stopped(self: Arc<Self>) {
        let lag = Duration::from_millis(self.config.load_lag_ms);
        tokio::select! {
            () = self.run_batch() => {}
            () = self.report_load(lag) => {}
            () = self.server.until_stopped() => {}
        }
    }

    async fn run_batch(&self) {
        let step = Duration::from_millis(self.config.step_ms.max(1));
        let mut last = Instant::now();
        loop {
            if self.state().batch.is_idle() {
                self.work_available.notified().await;
                last = Instant::now();
            } else {
                sleep(step).await;
            }
            let now = Instant::now();
            self.step_batch((now - last).as_secs_f64());
            last = now;
        }
    }

    async fn report_load(&self, lag: Duration) {
        if lag.is_zero() {
            return std::future::pending().await;
        }
        let mut interval = tokio::time::interval(lag);
        loop {
            interval.tick().await;
            let mut state = self.state();
            state.reported_load = load_of(&state);
        }
    }

    /// Advances the batch by `elapsed_s` and applies the results to cache, events and counters.
    fn step_batch(&self, elapsed_s: f64) {
        let mut state = self.state();
        let slowdown = state.faults.slowdown.max(1.0);
        let speed = Speed {
            prefill_tokens_per_s: self.config.prefill_tokens_per_s / slowdown,
            decode_ms: self.config.decode_ms * slowdown,
        };
        let capacity = self.config.cache_tokens;
        let State {
            batch,
            cache,
            events,
            counters,
            ..
        } = &mut *state;
        batch.admit(self.config.max_running, |job| {
            begin_prefill(job, cache, capacity, counters);
        });
        let ended = batch.advance(elapsed_s, speed, |job| {
            for (index, key) in job.keys.iter().enumerate() {
                let changes = cache.store(key, job.block_len(index), capacity);
                self.record_changes(events, changes);
            }
        });
        state.completed += ended;
        state.counters.completed += ended;
        if !state.is_warm {
            state.completed_cold += ended;
            state.is_warm = state.completed_cold >= self.config.warm_completions;
        }
    }

    fn record_changes(&self, events: &mut EventLog, changes: Vec<CacheChange>) {
        for change in changes {
            let is_lost = self.fault_rng.chance(self.config.event_gap_probability);
            events.record(change, is_lost, self.config.events_kept);
        }
    }

    fn clear_cache(&self, state: &mut State) {
        state.cache.clear();
        self.record_changes(&mut state.events, vec![CacheChange::Cleared]);
    }

    fn lagging_load(&self) -> EngineLoad {
        let state = self.state();
        if self.config.load_lag_ms == 0 {
            load_of(&state)
        } else {
            state.reported_load.clone()
        }
    }

    fn read_events(&self, from: u64) -> CacheEvents {
        let state = self.state();
        let delay = Duration::from_millis(self.config.event_lag_ms);
        state.events.read(state.start_ms, from, delay)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("engine lock")
    }
}

fn load_of(state: &State) -> EngineLoad {
    let running = state.batch.running() as u64;
    EngineLoad {
        start_ms: state.start_ms,
        running,
        queued: state.in_flight.saturating_sub(running),
        prefill_tokens: state.batch.prefill_tokens(),
        warm: state.is_warm,
        weight_version: state.orders.weight_version,
        loading: state.orders.loading,
        role: state.orders.role.clone(),
        cached_tokens: state.cache.tokens(),
        completed: state.completed,
    }
}

/// Marks the cached blocks of the prompt as used and sets the tokens that remain to be prefilled.
fn begin_prefill(
    job: &mut Job,
    cache: &mut PrefixCache,
    capacity: u64,
    counters: &mut EngineCounters,
) {
    let held: Vec<_> = job.keys.iter().map_while(|k| cache.tokens_of(k)).collect();
    for (key, tokens) in job.keys.iter().zip(&held) {
        cache.store(key, *tokens, capacity);
    }
    let usage = &mut job.usage;
    let held = held.iter().sum::<u64>().min(usage.prompt_tokens);
    usage.imported_tokens = usage.imported_tokens.min(held);
    usage.reused_tokens = held - usage.imported_tokens;
    // The tokens before `resume_from` were generated elsewhere, so their KV cache is missing too.
    usage.recomputed_tokens = usage.prompt_tokens - held + usage.completion_tokens;
    job.prefill_left = usage.recomputed_tokens as f64;
    counters.reused_tokens += usage.reused_tokens;
    counters.imported_tokens += usage.imported_tokens;
    counters.recomputed_tokens += usage.recomputed_tokens;
}

impl Standin for EngineStandin {
    async fn handle(self: Arc<Self>, request: StandinRequest) -> Reply {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/completions") => completion::complete(self, request, false).await,
            (&Method::POST, "/v1/chat/completions") => {
                completion::complete(self, request, true).await
            }
            (&Method::GET, "/control/load") => Reply::ok(&self.lagging_load()),
            (&Method::GET, "/control/events") => {
                Reply::ok(&self.read_events(request.number("from").unwrap_or(0)))
            }
            (&Method::POST, "/control/kv/export") => self.export(&request).await,
            (&Method::POST, "/control/kv/import") => self.import(&request).await,
            (&Method::POST, "/control/orders") => self.accept_order(&request),
            (&Method::GET, "/control/orders") => Reply::ok(&self.orders()),
            (&Method::GET, "/control/counters") => Reply::ok(&self.counters()),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error> {
        self.set_faults(serde_json::from_value(faults)?);
        Ok(())
    }
}
