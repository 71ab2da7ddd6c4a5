//! Settings of the gateway, as the adapter reads them.

use crate::budget::RetryBound;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limits and bounds that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which a withdrawn key must stop working.
    pub key_revocation: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub shutdown_grace: Duration,
    /// Fleet-wide bound of retries.
    pub retries: RetryBound,
    /// Time that must lie between the orders of two daemons to one server.
    pub lease: Duration,
    /// Time within which new weights must serve all requests.
    pub weight_switch: Duration,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance, for logs and leases.
    pub instance: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Region of each failure domain.
    pub regions: IndexMap<String, String>,
    /// Address for clients.
    pub listen_clients: SocketAddr,
    /// Address for readiness checks.
    pub listen_ready: SocketAddr,
    /// Address for load reports and reads of the other daemons.
    pub listen_peers: Option<SocketAddr>,
    /// Address that serves the metrics.
    pub listen_metrics: Option<SocketAddr>,
    /// Memory that the process may use, in bytes.
    pub memory_max_bytes: u64,
    /// Bounds.
    pub bounds: Bounds,
}
