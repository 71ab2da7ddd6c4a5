//! Stand-in of the instance list, whose changes become visible after a lag.

use crate::server::{Reply, RunningStandin, Server, Standin, StandinRequest};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// State of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is in use.
    #[default]
    Live,
    /// The instance will be removed soon.
    Leaving,
}

/// Entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub name: String,
    /// What runs on it, such as `entry`, `engine`, `store` or `service`.
    pub kind: String,
    /// Address of the process.
    pub addr: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
    /// State of the instance; `live` if left out.
    #[serde(default)]
    pub state: InstanceState,
}

/// Settings of the instance list stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceListConfig {
    /// Delay until a change of the list becomes visible.
    pub lag_ms: u64,
    /// Initial entries, visible at once.
    pub instances: Vec<InstanceEntry>,
    /// Seed of the random generator that draws the faults with a probability.
    pub seed: u64,
    /// Faults in effect from the start.
    pub faults: InstanceListFaults,
}

/// Faults of the instance list stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceListFaults {
    /// All reads are refused with status 503.
    pub outage: bool,
    /// Changes stay invisible until this fault is cleared.
    pub frozen: bool,
}

#[derive(Debug)]
struct State {
    faults: InstanceListFaults,
    version: u64,
    visible: Vec<InstanceEntry>,
    /// Lists that are not visible yet, each with the time from which it is.
    pending: VecDeque<(Instant, Vec<InstanceEntry>)>,
}

/// Stand-in of the instance list.
#[derive(Debug)]
pub struct InstanceListStandin {
    lag: Duration,
    state: Mutex<State>,
}

impl InstanceListStandin {
    /// Starts the stand-in at `addr`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `addr`, for instance if the address is in use.
    pub async fn start(
        config: InstanceListConfig,
        addr: SocketAddr,
    ) -> io::Result<RunningStandin<Self>> {
        let standin = Arc::new(Self {
            lag: Duration::from_millis(config.lag_ms),
            state: Mutex::new(State {
                faults: config.faults,
                version: 1,
                visible: config.instances,
                pending: VecDeque::new(),
            }),
        });
        Server::start(addr, config.seed, |_| standin).await
    }

    /// Replaces all faults with `faults`, effective at once.
    pub fn set_faults(&self, faults: InstanceListFaults) {
        self.state().faults = faults;
    }

    /// Replaces the whole list. The change becomes visible after the configured lag.
    pub fn set_instances(&self, instances: Vec<InstanceEntry>) {
        let visible_at = Instant::now() + self.lag;
        self.state().pending.push_back((visible_at, instances));
    }

    fn list(&self) -> Reply {
        let mut state = self.state();
        if state.faults.outage {
            return Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let now = Instant::now();
        while !state.faults.frozen
            && let Some((_, instances)) = state.pending.pop_front_if(|(at, _)| *at <= now)
        {
            state.visible = instances;
            state.version += 1;
        }
        Reply::ok(&json!({"version": state.version, "instances": state.visible}))
    }

    fn replace(&self, request: &StandinRequest) -> Reply {
        match serde_json::from_slice(&request.body) {
            Ok(instances) => {
                self.set_instances(instances);
                Reply::ok(&json!({}))
            }
            Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("instance list lock")
    }
}

impl Standin for InstanceListStandin {
    async fn handle(self: Arc<Self>, request: StandinRequest) -> Reply {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/instances") => self.list(),
            (&Method::POST, "/control/instances") => self.replace(&request),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error> {
        self.set_faults(serde_json::from_value(faults)?);
        Ok(())
    }
}
