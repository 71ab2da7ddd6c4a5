//! One type per section of the settings file.
//!
//! Ranges and defaults are in the tables of `spec::settings`. Limits are maxima unless stated
//! otherwise.

use super::PathRule;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

pub use blake3::Hash as KeyHash;

/// `[daemon]`: the identity of this daemon, its addresses and its deadlines.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Number of the daemon, unique among all daemons of the fleet.
    pub index: u32,
    /// Name of the instance that the daemon runs on.
    pub instance: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Address to listen on for operators.
    pub admin_listen: SocketAddr,
    /// Address to listen on for other daemons: membership over UDP and RPC over TCP on the same
    /// port.
    pub peer_listen: SocketAddr,
    /// Address under which other daemons reach `peer_listen`. The same address if not set.
    pub advertise: SocketAddr,
    /// Deadline of a request that does not ask for one.
    pub deadline_default_ms: u64,
    /// Longest deadline of a request. A longer one is shortened.
    pub deadline_max_ms: u64,
    /// Longest time that a stopping daemon waits for open requests before it interrupts them.
    pub drain_ms: u64,
    /// Time that the load balancer needs to notice that a daemon is not ready.
    pub balancer_lag_ms: u64,
}

impl DaemonSettings {
    /// Creates the section with default times, and with `advertise` equal to `peer_listen`.
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

    /// Returns the deadline of a request: the requested one, up to the maximum, or the default.
    #[must_use]
    pub fn deadline(&self, requested: Option<Duration>) -> Duration {
        requested
            .unwrap_or(Duration::from_millis(self.deadline_default_ms))
            .min(Duration::from_millis(self.deadline_max_ms))
    }
}

/// `[limits]`: limits on the use of one daemon by callers.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Size of all headers of a request.
    pub header_bytes: usize,
    /// Size of a request body.
    pub body_bytes: usize,
    /// Time for a caller to send the headers of a request, and as long again for the body.
    pub request_read_ms: u64,
    /// Open connections of all callers.
    pub connections: u32,
    /// Connections of one workspace with an open request.
    pub connections_per_workspace: u32,
    /// Open streaming requests of one workspace.
    pub streams_per_workspace: u32,
    /// Longest time that a request waits for admission.
    pub queue_ms: u64,
    /// Time after which a connection to a backend server is closed if it neither makes progress nor
    /// answers a ping.
    pub silence_ms: u64,
}

/// `[log]`: the platform's log service.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Addresses of the log service.
    pub addresses: Vec<SocketAddr>,
    /// First part of the names of all streams, so that deployments can share a log service.
    pub streams_prefix: String,
    /// Time for which the log service retains records, a property of that service.
    pub retention_s: u64,
    /// Appends per second that the log service accepts from all daemons together, a property of
    /// that service.
    pub appends_per_s: u32,
    /// Time after which a call to the log service counts as lost.
    pub request_ms: u64,
}

impl LogSettings {
    /// Creates the section with the given addresses and defaults for the other values.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            ..super::parse::default_log()
        }
    }

    /// Returns the full name of a stream, for example `anvilgw-config` for `config`.
    #[must_use]
    pub fn stream_name(&self, name: &str) -> String {
        format!("{}-{name}", self.streams_prefix)
    }
}

/// `[instances]`: the platform's list of instances, which lags behind reality, and the daemons to
/// join at start.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceListSettings {
    /// Addresses of the service that provides the instance list.
    pub addresses: Vec<SocketAddr>,
    /// Addresses of daemons to contact at start to join the fleet, each the `advertise` of a
    /// daemon.
    pub seeds: Vec<SocketAddr>,
    /// Time between two reads of the instance list.
    pub poll_ms: u64,
}

/// `[domain NAME]`: a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSettings {
    /// Region of the failure domain. The network between regions can be partitioned.
    pub region: String,
}

/// `[model NAME]`: a model that servers can run.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSettings {
    /// Version of the model weights; part of every KV block key.
    pub weight_version: String,
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// Average bytes of prompt text per token, to estimate the tokens of a prompt from its length.
    pub bytes_per_token: u32,
    /// Bytes of KV cache per token.
    pub kv_bytes_per_token: u64,
    /// Prompt tokens that one server computes per second.
    pub prefill_tokens_per_s: u32,
    /// Time that one server needs per generated token.
    pub decode_ms_per_token: f64,
    /// Adapters that callers can ask for with this model.
    pub adapters: Vec<String>,
}

/// `[server NAME]`: a model server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSettings {
    /// Address of the engine, the process that runs the models.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub failure_domain: String,
    /// Names of the models that the server can run.
    pub models: Vec<String>,
    /// Requests that the server runs at once when it is warm.
    pub capacity_concurrency: u32,
    /// Requests of all daemons together that the server runs at once when it is cold.
    pub cold_concurrency: u32,
    /// Whether the engine rejects orders with an old fencing token.
    pub checks_fencing: bool,
    /// Bandwidth of the link over which the server sends and receives KV blocks.
    pub link_bytes_per_s: u64,
}

/// `[service NAME]`: a plain service whose servers requests are passed to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Servers of the service, which are interchangeable.
    pub servers: Vec<ServiceServer>,
    /// Requests that each server runs at once when it is warm.
    pub capacity_concurrency: u32,
    /// Requests of all daemons together that each server runs at once when it is cold.
    pub cold_concurrency: u32,
    /// Whether the servers answer `GET /control/load`, which reports their load.
    pub reports_load: bool,
    /// Calls that may run more than once, in addition to GET and HEAD.
    pub idempotent: Vec<PathRule>,
    /// Calls that must run at most once. These rules take precedence over `idempotent`, since a
    /// call wrongly treated as idempotent could run twice.
    pub non_idempotent: Vec<PathRule>,
}

impl ServiceSettings {
    /// Returns whether a call may run more than once. `path` is the path within the service. A call
    /// that no rule matches is idempotent if its method is GET or HEAD.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matched = |rules: &[PathRule]| rules.iter().any(|rule| rule.matches(method, path));
        !matched(&self.non_idempotent)
            && (matched(&self.idempotent) || matches!(method, "GET" | "HEAD"))
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
    /// Bandwidth of the link of the store.
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

/// `[budgets]`: budgets that all daemons of the fleet share.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Servers that may load model weights at the same time.
    pub weight_loads: u32,
    /// Retries and hedged requests per second of idempotent work, over all daemons.
    pub retries_per_s: u32,
}

/// Handling of an idempotency key without a timestamp. Without one the age of the key is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UndatedKeys {
    /// The request is rejected.
    Refuse,
    /// The request is accepted. A repetition after the log has dropped the records of the key runs
    /// again.
    Accept,
}

/// `[claims]`: idempotency claims, records in the log service that let a non-idempotent request run
/// at most once.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimSettings {
    /// Number of log streams that the claims are spread over.
    pub partitions: u16,
    /// Least average time between two appends to the stream of one partition.
    pub min_interval_ms: u64,
    /// Age up to which an idempotency key is accepted.
    pub lifetime_s: u64,
    /// Largest difference between the clocks of callers and daemons that is tolerated.
    pub margin_s: u64,
    /// Handling of an idempotency key without a timestamp.
    pub undated_keys: UndatedKeys,
    /// Time after the deadline of its request at which an open claim without a holder ends with an
    /// unknown outcome.
    pub grace_ms: u64,
    /// Appends per second of all daemons that claims may use, out of `appends_per_s` of `[log]`.
    pub appends_per_s: u32,
}

/// Destination of log lines or trace spans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Nothing is written.
    None,
    /// The standard error stream.
    Stderr,
    /// The end of the file with this absolute path.
    File(PathBuf),
}

/// `[logging]`: log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggingSettings {
    /// Least severe level that is written: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Destination of the lines.
    pub output: Output,
}

/// `[trace]`: trace spans, one for each hop of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceSettings {
    /// Destination of the spans.
    pub output: Output,
    /// Percentage of requests whose spans are written.
    pub sample_percent: f64,
}

/// `[metrics]`: metrics sent in statsd format over UDP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsSettings {
    /// Address of the statsd receiver. `None` if no metrics are sent.
    pub statsd_address: Option<SocketAddr>,
    /// First part of the names of all metrics.
    pub prefix: String,
    /// Time between two transmissions.
    pub interval_ms: u64,
}
