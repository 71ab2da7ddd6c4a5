//! The sections of the settings file as types.

use super::PathRule;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

pub use blake3::Hash as KeyHash;

/// `[daemon]`: who this process is, where it listens and how it stops.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Number of the daemon, unique in the fleet.
    pub index: u32,
    /// Name of the instance it runs on.
    pub instance: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin_listen: SocketAddr,
    /// Address for other daemons: membership over UDP and RPC over TCP on the same port.
    pub peer_listen: SocketAddr,
    /// Address under which other daemons reach `peer_listen`. Equals it unless set.
    pub advertise: SocketAddr,
    /// Deadline of a request that names none.
    pub deadline_default_ms: u64,
    /// Longest deadline that a request may ask for.
    pub deadline_max_ms: u64,
    /// Longest time that a stopping daemon waits for open requests.
    pub drain_ms: u64,
    /// Time that the load balancer needs to notice that a daemon is not ready.
    pub balancer_lag_ms: u64,
}

impl DaemonSettings {
    /// Creates the section with default times.
    #[must_use]
    pub fn new(
        index: u32,
        instance: &str,
        failure_domain: &str,
        listen: SocketAddr,
        admin_listen: SocketAddr,
        peer_listen: SocketAddr,
    ) -> Self {
        Self {
            index,
            instance: instance.to_owned(),
            failure_domain: failure_domain.to_owned(),
            listen,
            admin_listen,
            peer_listen,
            advertise: peer_listen,
            ..super::parse::default_daemon()
        }
    }

    /// Deadline of a request that asks for `requested`.
    #[must_use]
    pub fn deadline(&self, requested: Option<Duration>) -> Duration {
        requested
            .unwrap_or(Duration::from_millis(self.deadline_default_ms))
            .min(Duration::from_millis(self.deadline_max_ms))
    }
}

/// `[limits]`: what a caller may occupy.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Size of the request headers.
    pub header_bytes: usize,
    /// Size of a request body.
    pub body_bytes: usize,
    /// Time for a caller to send a request.
    pub request_read_ms: u64,
    /// Open connections of callers per daemon.
    pub connections: u32,
    /// Open connections of one workspace per daemon.
    pub connections_per_workspace: u32,
    /// Open streams of one workspace per daemon.
    pub streams_per_workspace: u32,
    /// Longest time that a request waits for admission.
    pub queue_ms: u64,
    /// Time without progress or ping answer after which a connection is closed.
    pub silence_ms: u64,
}

/// `[log]`: the platform's log service.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Addresses of the log service.
    pub addresses: Vec<SocketAddr>,
    /// First part of the names of all streams.
    pub streams_prefix: String,
    /// Time for which the log service retains records.
    pub retention_s: u64,
    /// Appends that the log service accepts from the whole fleet.
    pub appends_per_s: u32,
    /// Time after which a call to the log service counts as lost.
    pub request_ms: u64,
}

impl LogSettings {
    /// Creates the section with defaults.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            ..super::parse::default_log()
        }
    }

    /// Full name of a stream, for example `anvilgw-config`.
    #[must_use]
    pub fn stream_name(&self, name: &str) -> String {
        format!("{}-{name}", self.streams_prefix)
    }
}

/// `[instances]`: the lagging list of instances, and the peers.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceListSettings {
    /// Addresses of the platform's instance list.
    pub addresses: Vec<SocketAddr>,
    /// Peer addresses of daemons to join at start.
    pub seeds: Vec<SocketAddr>,
    /// Time between two reads of the instance list.
    pub poll_ms: u64,
}

/// `[domain NAME]`: a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSettings {
    /// Region of the failure domain.
    pub region: String,
}

/// `[model NAME]`: a model that servers can run.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSettings {
    /// Version of the weights; part of every KV block key.
    pub weight_version: String,
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// Bytes of prompt text per token, on average.
    pub bytes_per_token: u32,
    /// Bytes of KV cache per token.
    pub kv_bytes_per_token: u64,
    /// Prompt tokens that one server computes per second.
    pub prefill_tokens_per_s: u32,
    /// Time per generated token.
    pub decode_ms_per_token: f64,
    /// Adapters that callers can ask for with this model.
    pub adapters: Vec<String>,
}

/// `[server NAME]`: a model server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSettings {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub failure_domain: String,
    /// Models that the server can run.
    pub models: Vec<String>,
    /// Requests that a warm server runs at once.
    pub capacity_concurrency: u32,
    /// Requests that a cold server runs at once, over all daemons.
    pub cold_concurrency: u32,
    /// Whether the engine rejects orders with an old fencing token.
    pub checks_fencing: bool,
    /// Bandwidth of its link for KV blocks.
    pub link_bytes_per_s: u64,
}

/// `[service NAME]`: a plain service whose servers requests are passed to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The servers of the service.
    pub servers: Vec<ServiceServer>,
    /// Requests that one warm server runs at once.
    pub capacity_concurrency: u32,
    /// Requests that one cold server runs at once, over all daemons.
    pub cold_concurrency: u32,
    /// Whether the servers answer `GET /control/load`.
    pub reports_load: bool,
    /// Calls that may run more than once.
    pub idempotent: Vec<PathRule>,
    /// Calls that must run at most once. These rules win over `idempotent`, since a call wrongly
    /// taken for idempotent could run twice.
    pub non_idempotent: Vec<PathRule>,
}

impl ServiceSettings {
    /// Whether a call may run more than once. `path` is the path within the service. Without a rule,
    /// GET and HEAD are idempotent and all other methods are not.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let covered = |rules: &[PathRule]| rules.iter().any(|rule| rule.matches(method, path));
        !covered(&self.non_idempotent)
            && (covered(&self.idempotent) || matches!(method, "GET" | "HEAD"))
    }
}

/// One server of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceServer {
    /// Address of the server.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub failure_domain: String,
}

/// `[store NAME]`: a store of retained KV cache.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Address of the store instance.
    pub address: SocketAddr,
    /// Failure domain of the store.
    pub failure_domain: String,
    /// Bandwidth of its link.
    pub link_bytes_per_s: u64,
}

/// `[weights]`: weights of the routing cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostWeightSettings {
    /// Cost of one second of time to first token.
    pub ttft: f64,
    /// Cost of 1,000 recomputed prompt tokens.
    pub recompute: f64,
    /// Cost of 1,000,000 bytes on a link.
    pub link: f64,
}

/// `[budgets]`: budgets that the whole fleet shares.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Servers that load weights at once.
    pub weight_loads: u32,
    /// Retries and hedges of idempotent work over all daemons.
    pub retries_per_s: u32,
}

/// What happens to an idempotency key that carries no time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UndatedKeys {
    /// The request is rejected.
    Refuse,
    /// The request is accepted, without protection after the log has dropped the key's records.
    Accept,
}

/// `[claims]`: claims of non-idempotent requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimSettings {
    /// Number of claim streams.
    pub partitions: u16,
    /// Mean time between two appends to one partition under load.
    pub min_interval_ms: u64,
    /// Age up to which an idempotency key is accepted.
    pub lifetime_s: u64,
    /// Allowed difference between the clocks of callers and daemons.
    pub margin_s: u64,
    /// What happens to an idempotency key that carries no time.
    pub undated_keys: UndatedKeys,
    /// Time after its deadline at which an open claim without a holder ends as unknown.
    pub grace_ms: u64,
    /// Share of the appends per second that claims may use.
    pub appends_per_s: u32,
}

/// Where lines are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Nowhere.
    None,
    /// The standard error stream.
    Stderr,
    /// A file, appended to.
    File(PathBuf),
}

/// `[logging]`: log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggingSettings {
    /// Least important level that is written: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Where the lines are written.
    pub output: Output,
}

/// `[trace]`: spans, one per hop.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceSettings {
    /// Where the spans are written.
    pub output: Output,
    /// Share of requests whose spans are written.
    pub sample_percent: f64,
}

/// `[metrics]`: metrics sent in statsd format over UDP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsSettings {
    /// Address of the statsd receiver. Without it no metrics are sent.
    pub statsd_address: Option<SocketAddr>,
    /// First part of the names of all metrics.
    pub prefix: String,
    /// Time between two reports.
    pub interval_ms: u64,
}
