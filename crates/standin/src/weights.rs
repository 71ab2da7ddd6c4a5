//! Stand-in of the weight store, from which engines load weights at a limited rate.

use crate::rate_limiter::RateLimiter;
use crate::server::{Reply, RunningStandin, Server, Standin, StandinRequest};
use anvilgw_core::{Clock, SystemClock};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Steps in which a load at full speed proceeds. The speed is computed anew for each step, because
/// other loads begin and end meanwhile.
const STEPS_PER_LOAD: u32 = 50;

/// Settings of the weight store stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreConfig {
    /// Duration of a load while at most `full_speed_loads` run.
    pub load_ms: u64,
    /// Concurrent loads that run at full speed. If there are more, all share that bandwidth.
    pub full_speed_loads: u32,
    /// Largest number of loads started within any second. Further loads are refused with status
    /// 429. 0 for no limit.
    pub loads_per_s: u32,
    /// Seed of the random generator that draws the faults with a probability.
    pub seed: u64,
    /// Faults in effect from the start.
    pub faults: WeightStoreFaults,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self {
            load_ms: 1_000,
            full_speed_loads: 3,
            loads_per_s: 0,
            seed: 1,
            faults: WeightStoreFaults::default(),
        }
    }
}

/// Faults of the weight store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreFaults {
    /// All loads are refused with status 503.
    pub outage: bool,
    /// Factor by which loads are slower; 0 and 1 stand for normal speed.
    pub slowdown: f64,
}

/// Counters of the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStoreCounters {
    /// Loads running now.
    pub loading: u32,
    /// Largest number of concurrent loads so far.
    pub peak_loading: u32,
    /// Current speed of each load in thousandths of full speed.
    pub speed_permille: u32,
    /// Loads completed.
    pub loaded: u64,
    /// Loads refused because of the rate limit.
    pub over_rate: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: WeightStoreFaults,
    counters: WeightStoreCounters,
    rate_limiter: RateLimiter,
}

/// Stand-in of the weight store. It transfers no weights; a load only takes time.
#[derive(Debug)]
pub struct WeightStoreStandin {
    config: WeightStoreConfig,
    state: Mutex<State>,
}

/// A load that counts as running until this value is dropped.
struct RunningLoad<'a> {
    store: &'a WeightStoreStandin,
}

impl Drop for RunningLoad<'_> {
    fn drop(&mut self) {
        self.store.state().counters.loading -= 1;
    }
}

impl WeightStoreStandin {
    /// Starts the stand-in at `addr`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `addr`, for instance if the address is in use.
    pub async fn start(
        config: WeightStoreConfig,
        addr: SocketAddr,
    ) -> io::Result<RunningStandin<Self>> {
        let seed = config.seed;
        let state = State {
            faults: config.faults.clone(),
            ..State::default()
        };
        let standin = Arc::new(Self {
            config,
            state: Mutex::new(state),
        });
        Server::start(addr, seed, |_| standin).await
    }

    /// Replaces all faults with `faults`, effective at once.
    pub fn set_faults(&self, faults: WeightStoreFaults) {
        self.state().faults = faults;
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> WeightStoreCounters {
        let speed_permille = (self.speed() * 1_000.0).round() as u32;
        WeightStoreCounters {
            speed_permille,
            ..self.state().counters
        }
    }

    /// Handles `GET /weights/{name}`, which answers when the load is complete.
    async fn load(&self, name: &str) -> Reply {
        let loading = match self.begin_load() {
            Ok(loading) => loading,
            Err((status, message)) => return Reply::error(status, message),
        };
        let full = Duration::from_millis(self.config.load_ms);
        let step = full / STEPS_PER_LOAD;
        let mut left = full;
        while !left.is_zero() {
            let speed = self.speed();
            let start = Instant::now();
            sleep(step.min(left.div_f64(speed))).await;
            left = left.saturating_sub(start.elapsed().mul_f64(speed));
        }
        drop(loading);
        self.state().counters.loaded += 1;
        Reply::ok(&json!({"name": name}))
    }

    fn begin_load(&self) -> Result<RunningLoad<'_>, (StatusCode, &'static str)> {
        let mut state = self.state();
        if state.faults.outage {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        if !state
            .rate_limiter
            .admit(SystemClock.uptime(), self.config.loads_per_s)
        {
            state.counters.over_rate += 1;
            return Err((
                StatusCode::TOO_MANY_REQUESTS,
                "more loads per second than the rate limit allows",
            ));
        }
        let counters = &mut state.counters;
        counters.loading += 1;
        counters.peak_loading = counters.peak_loading.max(counters.loading);
        Ok(RunningLoad { store: self })
    }

    /// Returns the current speed of each load as a fraction of full speed.
    fn speed(&self) -> f64 {
        let state = self.state();
        let full = f64::from(self.config.full_speed_loads.max(1));
        let share = (full / f64::from(state.counters.loading.max(1))).min(1.0);
        share / state.faults.slowdown.max(1.0)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("weight store lock")
    }
}

impl Standin for WeightStoreStandin {
    async fn handle(self: Arc<Self>, request: StandinRequest) -> Reply {
        match (&request.method, request.segments().as_slice()) {
            (&Method::GET, ["weights", name]) => self.load(name).await,
            (&Method::GET, ["control", "counters"]) => Reply::ok(&self.counters()),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error> {
        self.set_faults(serde_json::from_value(faults)?);
        Ok(())
    }
}
