//! A plain service that counts how often each call was executed.

use crate::fault_rng::FaultRng;
use crate::pause::pause;
use crate::server::{Call, Reply, RunningStandin, Server, Standin};
use http::{Method, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Header that identifies a call.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Settings of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name, repeated in each answer.
    pub name: String,
    /// Time that an execution takes.
    pub work_ms: u64,
    /// Calls executed at the same time; more are answered with status 503. 0 for no limit.
    pub max_running: usize,
    /// Age of the load report.
    pub load_lag_ms: u64,
    /// Seed of the faults of chance.
    pub seed: u64,
    /// Faults at start.
    pub faults: ServiceFaults,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            name: "service".to_owned(),
            work_ms: 0,
            max_running: 0,
            load_lag_ms: 0,
            seed: 1,
            faults: ServiceFaults::default(),
        }
    }
}

/// Faults of a plain service. At most one of the probabilities takes effect in a call; they are
/// drawn in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay before each execution.
    pub delay_ms: u64,
    /// All calls are refused with status 503.
    pub refuse: bool,
    /// Probability that the connection is closed and the call is not executed.
    pub cut_before_probability: f64,
    /// Probability that the call is executed and the connection is closed without an answer.
    pub cut_after_probability: f64,
    /// Probability that the call is executed and the connection then goes silent.
    pub silence_after_probability: f64,
    /// Probability that the call is executed and answered only after `late_ms`.
    pub late_probability: f64,
    /// Delay of a late answer.
    pub late_ms: u64,
}

/// Load report of a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Calls in execution.
    pub running: u64,
    /// Calls executed since the start.
    pub executed: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: ServiceFaults,
    executions: IndexMap<String, u64>,
    injected_faults: IndexMap<String, &'static str>,
    load: ServiceLoad,
    reported: ServiceLoad,
}

/// Stand-in of a plain service.
#[derive(Debug)]
pub struct ServiceStandin {
    config: ServiceConfig,
    fault_rng: FaultRng,
    state: Mutex<State>,
}

impl ServiceStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub async fn start(
        config: ServiceConfig,
        addr: SocketAddr,
    ) -> io::Result<RunningStandin<Self>> {
        let lag = Duration::from_millis(config.load_lag_ms);
        let state = State {
            faults: config.faults.clone(),
            ..State::default()
        };
        let running = Server::start(addr, config.seed, |server| {
            let standin = Arc::new(Self {
                fault_rng: FaultRng::new(config.seed),
                config,
                state: Mutex::new(state),
            });
            if !lag.is_zero() {
                tokio::spawn(report_load(Arc::clone(&standin), Arc::clone(server), lag));
            }
            standin
        });
        running.await
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state().faults = faults;
    }

    /// Number of executions with the given idempotency key. Calls without a key count under "".
    #[must_use]
    pub fn executions(&self, key: &str) -> u64 {
        self.state().executions.get(key).copied().unwrap_or(0)
    }

    /// Number of executions for each idempotency key.
    #[must_use]
    pub fn all_executions(&self) -> IndexMap<String, u64> {
        self.state().executions.clone()
    }

    /// Faults of chance that hit calls, by idempotency key.
    #[must_use]
    pub fn injected_faults(&self) -> IndexMap<String, &'static str> {
        self.state().injected_faults.clone()
    }

    fn record_injected_fault(&self, call: &Call, fault: &'static str) {
        let key = header(call, IDEMPOTENCY_KEY).to_owned();
        self.state().injected_faults.insert(key, fault);
    }

    fn load(&self) -> ServiceLoad {
        let state = self.state();
        if self.config.load_lag_ms == 0 {
            state.load
        } else {
            state.reported
        }
    }

    async fn call(&self, call: &Call) -> Reply {
        let faults = self.state().faults.clone();
        if faults.refuse {
            return Reply::error(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        if self.fault_rng.chance(faults.cut_before_probability) {
            self.record_injected_fault(call, "cut before execution");
            return Reply::Cut;
        }
        let reply = if self.fault_rng.chance(faults.cut_after_probability) {
            self.record_injected_fault(call, "cut after execution");
            Some(Reply::Cut)
        } else if self.fault_rng.chance(faults.silence_after_probability) {
            self.record_injected_fault(call, "silent after execution");
            Some(Reply::Silence)
        } else {
            None
        };
        let is_late = reply.is_none() && self.fault_rng.chance(faults.late_probability);
        let Some(answer) = self.execute(call, &faults).await else {
            return Reply::error(StatusCode::SERVICE_UNAVAILABLE, "too many calls");
        };
        if is_late {
            pause(Duration::from_millis(faults.late_ms)).await;
        }
        reply.unwrap_or(answer)
    }

    /// Executes a call. It counts as executed from its beginning, since part of its effect may be
    /// visible if it is broken off.
    async fn execute(&self, call: &Call, faults: &ServiceFaults) -> Option<Reply> {
        let key = header(call, IDEMPOTENCY_KEY);
        pause(Duration::from_millis(faults.delay_ms)).await;
        let execution = self.begin(key)?;
        let _running = RunningCall { service: self };
        pause(Duration::from_millis(self.config.work_ms)).await;
        Some(Reply::ok(&json!({
            "service": self.config.name,
            "path": call.path,
            "key": key,
            "traceparent": header(call, "traceparent"),
            "execution": execution,
            "body_digest": blake3::hash(&call.body).to_hex().as_str(),
        })))
    }

    fn begin(&self, key: &str) -> Option<u64> {
        let mut state = self.state();
        let max_running = self.config.max_running as u64;
        if max_running > 0 && state.load.running >= max_running {
            return None;
        }
        state.load.running += 1;
        state.load.executed += 1;
        let executions = state.executions.entry(key.to_owned()).or_insert(0);
        *executions += 1;
        Some(*executions)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("service lock")
    }
}

fn header<'a>(call: &'a Call, name: &str) -> &'a str {
    let value = call.headers.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Counts a call as running until it ends or its connection is closed.
struct RunningCall<'a> {
    service: &'a ServiceStandin,
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.service.state().load.running -= 1;
    }
}

async fn report_load(standin: Arc<ServiceStandin>, server: Arc<Server>, lag: Duration) {
    let mut interval = tokio::time::interval(lag);
    loop {
        tokio::select! {
            _ = interval.tick() => {
                let mut state = standin.state();
                state.reported = state.load;
            }
            () = server.until_stopped() => return,
        }
    }
}

impl Standin for ServiceStandin {
    async fn handle(self: Arc<Self>, call: Call) -> Reply {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/control/load") => Reply::ok(&self.load()),
            (&Method::GET, "/control/executions") => Reply::ok(&self.all_executions()),
            _ => self.call(&call).await,
        }
    }

    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error> {
        self.set_faults(serde_json::from_value(faults)?);
        Ok(())
    }
}
