//! Settings of the gateway, read by the platform adapter.

use crate::budget::RetryBound;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limits and other bounds that the platform's operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which a withdrawn API key must stop working at every daemon.
    pub key_revocation: Duration,
    /// Time between SIGTERM and SIGKILL, within which the daemon must shut down.
    pub shutdown_grace: Duration,
    /// Bound on the retries of the whole fleet.
    pub retries: RetryBound,
    /// Minimum time between orders that two daemons give to the same backend server.
    pub order_gap: Duration,
    /// Time within which all requests must be served with newly published weights.
    pub weight_switch: Duration,
}

/// How servers are selected and requests are admitted when servers are loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadControl {
    /// By the tokens in the engines' memory.
    #[default]
    Memory,
    /// By the estimated time until a server begins with the request, and by the tokens in memory.
    StartTime,
}

/// Settings of one gateway daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance, used in logs and leases.
    pub instance: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Region of each failure domain.
    pub regions: IndexMap<String, String>,
    /// Address on which clients connect.
    pub listen_clients: SocketAddr,
    /// Address of the readiness check, which the load balancer polls.
    pub listen_ready: SocketAddr,
    /// Address for load reports (UDP) and topic reads (HTTP) of the other daemons. `None` disables
    /// both.
    pub listen_peers: Option<SocketAddr>,
    /// Additional address that serves the metrics, if any. The readiness address serves them as
    /// well.
    pub listen_metrics: Option<SocketAddr>,
    /// Memory limit of the process, in bytes. Bodies use at most a third of it.
    pub memory_max_bytes: u64,
    /// Time limits and other bounds.
    pub bounds: Bounds,
    /// How servers are selected and requests are admitted when servers are loaded.
    pub load_control: LoadControl,
}
