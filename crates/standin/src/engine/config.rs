//! Settings, faults and counters of the engine.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of an engine. Times are scaled by setting other speeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Models served; empty for any.
    pub models: Vec<String>,
    /// Prefill speed, shared by the running prefills.
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of one stream.
    pub decode_ms: f64,
    /// Requests in the batch.
    pub max_running: usize,
    /// Time between two steps of the batch.
    pub step_ms: u64,
    /// Tokens of an answer if the request sets no `max_tokens`.
    pub default_tokens: u64,
    /// Capacity of the prefix cache.
    pub cache_tokens: u64,
    /// Size of the KV cache of one token.
    pub kv_bytes_per_token: u64,
    /// Bandwidth of the link over which this engine exports; 0 for no limit.
    pub link_bytes_per_s: u64,
    /// Whether imported blocks are checked. Without the check, wrong blocks are used and counted.
    pub verify_imports: bool,
    /// Longest time of an import, after which the block is computed.
    pub import_limit_ms: u64,
    /// Requests that a cold engine sustains at the same time; with more it crashes.
    pub cold_concurrency: usize,
    /// Completed requests after which a cold engine is warm.
    pub warm_completions: u64,
    /// Whether the engine is warm at start.
    pub starts_warm: bool,
    /// Time that a crashed engine takes to restart.
    pub restart_ms: u64,
    /// Interval of the load report; 0 for a current one.
    pub load_lag_ms: u64,
    /// Time after which cache events become visible.
    pub event_lag_ms: u64,
    /// Cache events kept.
    pub events_kept: usize,
    /// Probability that a cache event is lost.
    pub event_gap_probability: f64,
    /// Version of the weights at start.
    pub weight_version: u64,
    /// Weight store; without one a load takes `weight_load_ms`.
    pub weight_store: Option<SocketAddr>,
    /// Time of a load without a weight store.
    pub weight_load_ms: u64,
    /// Whether orders with an old fencing token are rejected.
    pub obeys_fencing: bool,
    /// Interval of the comments sent while a stream has no token. They show the caller that the
    /// connection is alive.
    pub ping_ms: u64,
    /// Seed of the faults of chance.
    pub seed: u64,
    /// Faults at start.
    pub faults: EngineFaults,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            prefill_tokens_per_s: 40_000.0,
            decode_ms: 25.0,
            max_running: 32,
            step_ms: 2,
            default_tokens: 64,
            cache_tokens: 256_000,
            kv_bytes_per_token: 1_000,
            link_bytes_per_s: 0,
            verify_imports: true,
            import_limit_ms: 2_000,
            cold_concurrency: 2,
            warm_completions: 8,
            starts_warm: true,
            restart_ms: 200,
            load_lag_ms: 200,
            event_lag_ms: 100,
            events_kept: 4_096,
            event_gap_probability: 0.0,
            weight_version: 1,
            weight_store: None,
            weight_load_ms: 1_000,
            obeys_fencing: true,
            ping_ms: 250,
            seed: 1,
            faults: EngineFaults::default(),
        }
    }
}

/// Faults of an engine. The probabilities are drawn once per request; a request has at most one
/// fault of its stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// All requests are refused with status 503.
    pub refuse: bool,
    /// Factor by which prefill and decode are slower; 0 and 1 stand for normal speed.
    pub slowdown: f64,
    /// Number of tokens of an attempt after which its stream fault takes effect.
    pub after_tokens: u64,
    /// Probability that the stream is cut.
    pub cut_probability: f64,
    /// Probability that the connection goes silent.
    pub silence_probability: f64,
    /// Probability that an event of another request is inserted.
    pub foreign_probability: f64,
    /// Probability that a token is sent twice.
    pub repeat_probability: f64,
    /// Probability that a token is left out.
    pub skip_probability: f64,
    /// Probability that the end marker is left out.
    pub no_end_probability: f64,
    /// Probability that an exported block has a wrong content.
    pub wrong_kv_probability: f64,
    /// Bandwidth that replaces `link_bytes_per_s`; 0 for none.
    pub link_bytes_per_s: u64,
    /// The engine crashes now and restarts cold.
    pub crash: bool,
    /// The engine becomes cold now without restarting: its cache is empty.
    pub become_cold: bool,
}

/// Counters of an engine over all its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests completed.
    pub completed: u64,
    /// Largest number of requests at the same time while cold.
    pub peak_cold: u64,
    /// Restarts after a crash.
    pub crashes: u64,
    /// Crashes that were caused by too much load while cold.
    pub cold_crashes: u64,
    /// Prompt tokens reused.
    pub reused_tokens: u64,
    /// Prompt tokens imported.
    pub imported_tokens: u64,
    /// Prompt tokens computed.
    pub recomputed_tokens: u64,
    /// Blocks whose import was refused by the check or failed.
    pub imports_refused: u64,
    /// Wrong blocks that were taken for right ones.
    pub wrong_blocks: u64,
    /// Bytes exported.
    pub exported_bytes: u64,
}
