//! Stand-in of a plain service, which counts how often each call is executed.

use crate::fault_rng::FaultRng;
use crate::pause::pause;
use crate::server::{Reply, RunningStandin, Server, Standin, StandinRequest};
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

/// Settings of a plain service stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name of the service, repeated in each answer.
    pub name: String,
    /// Duration of an execution.
    pub work_ms: u64,
    /// Largest number of calls executed concurrently. Further calls are refused with status 503.
    /// 0 for no limit.
    pub max_running: usize,
    /// Interval at which the load report is updated; 0 to compute it for each read.
    pub load_lag_ms: u64,
    /// Seed of the random generator that draws the faults with a probability.
    pub seed: u64,
    /// Faults in effect from the start.
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

/// Faults of a plain service stand-in. The probabilities are drawn for each call in the order of
/// the fields; at most one takes effect.
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
    /// Probability that the call is executed and the connection then stays open and silent.
    pub silence_after_probability: f64,
    /// Probability that the call is executed and answered only after `late_ms`.
    pub late_probability: f64,
    /// Delay of a late answer.
    pub late_ms: u64,
}

/// Load report of a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Calls being executed.
    pub running: u64,
    /// Calls whose execution has begun since the start.
    pub executed: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: ServiceFaults,
    executions: IndexMap<String, u64>,
    injected_faults: IndexMap<String, &'static str>,
    load: ServiceLoad,
    reported_load: ServiceLoad,
}

/// Stand-in of a plain service. Apart from the `/control/` paths of the stand-in, it executes a
/// call to any path and with any method.
#[derive(Debug)]
pub struct ServiceStandin {
    config: ServiceConfig,
    fault_rng: FaultRng,
    state: Mutex<State>,
}

impl ServiceStandin {
    /// Starts the stand-in at `addr`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `addr`, for instance if the address is in use.
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

    /// Replaces all faults with `faults`, effective at once.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state().faults = faults;
    }

    /// Returns the number of executions with the given idempotency key. Calls without a key count
    /// under the empty key.
    #[must_use]
    pub fn executions(&self, key: &str) -> u64 {
        self.state().executions.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of executions for each idempotency key.
    #[must_use]
    pub fn all_executions(&self) -> IndexMap<String, u64> {
        self.state().executions.clone()
    }

    /// Returns the random fault, other than a late answer, that was last injected into a call, by
    /// idempotency key.
    #[must_use]
    pub fn injected_faults(&self) -> IndexMap<String, &'static str> {
        self.state().injected_faults.clone()
    }

    fn record_injected_fault(&self, request: &StandinRequest, fault: &'static str) {
        let key = header(request, IDEMPOTENCY_KEY).to_owned();
        self.state().injected_faults.insert(key, fault);
    }

    fn load(&self) -> ServiceLoad {
        let state = self.state();
        if self.config.load_lag_ms == 0 {
            state.load
        } else {
            state.reported_load
        }
    }

    async fn handle_call(&self, request: &StandinRequest) -> Reply {
        let faults = self.state().faults.clone();
        if faults.refuse {
            return Reply::error(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        if self.fault_rng.chance(faults.cut_before_probability) {
            self.record_injected_fault(request, "cut before execution");
            return Reply::Cut;
        }
        let reply = if self.fault_rng.chance(faults.cut_after_probability) {
            self.record_injected_fault(request, "cut after execution");
            Some(Reply::Cut)
        } else if self.fault_rng.chance(faults.silence_after_probability) {
            self.record_injected_fault(request, "silent after execution");
            Some(Reply::Silence)
        } else {
            None
        };
        let is_late = reply.is_none() && self.fault_rng.chance(faults.late_probability);
        let Some(answer) = self.execute(request, &faults).await else {
            return Reply::error(StatusCode::SERVICE_UNAVAILABLE, "too many calls");
        };
        if is_late {
            pause(Duration::from_millis(faults.late_ms)).await;
        }
        reply.unwrap_or(answer)
    }

    /// Executes a call. It counts as executed once it begins, because an interrupted call may have
    /// had some of its effects. Returns `None` if `max_running` calls are being executed.
    async fn execute(&self, request: &StandinRequest, faults: &ServiceFaults) -> Option<Reply> {
        let key = header(request, IDEMPOTENCY_KEY);
        pause(Duration::from_millis(faults.delay_ms)).await;
        let execution = self.begin_execution(key)?;
        let _running = RunningCall { service: self };
        pause(Duration::from_millis(self.config.work_ms)).await;
        Some(Reply::ok(&json!({
            "service": self.config.name,
            "path": request.path,
            "key": key,
            "traceparent": header(request, "traceparent"),
            "execution": execution,
            "body_digest": blake3::hash(&request.body).to_hex().as_str(),
        })))
    }

    fn begin_execution(&self, key: &str) -> Option<u64> {
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

fn header<'a>(request: &'a StandinRequest, name: &str) -> &'a str {
    let value = request.headers.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Counts a call as running until this value is dropped at its end or when its connection closes.
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
                state.reported_load = state.load;
            }
            () = server.until_stopped() => return,
        }
    }
}

impl Standin for ServiceStandin {
    async fn handle(self: Arc<Self>, request: StandinRequest) -> Reply {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/control/load") => Reply::ok(&self.load()),
            (&Method::GET, "/control/executions") => Reply::ok(&self.all_executions()),
            _ => self.handle_call(&request).await,
        }
    }

    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error> {
        self.set_faults(serde_json::from_value(faults)?);
        Ok(())
    }
}
