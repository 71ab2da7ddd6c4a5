//! Settings, faults and counters of the engine stand-in.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of an engine stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Models served. If empty, the engine serves every model.
    pub models: Vec<String>,
    /// Prefill speed of the engine, which all requests in prefill share.
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of one answer.
    pub decode_ms: f64,
    /// Largest number of requests in the batch. Further requests wait in the queue.
    pub max_running: usize,
    /// Interval at which the progress of the batch is computed.
    pub step_ms: u64,
    /// Length of an answer in tokens if the request sets no `max_tokens`.
    pub default_tokens: u64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Bytes of KV cache that one token takes.
    pub kv_bytes_per_token: u64,
    /// Bandwidth of the link over which this engine exports KV blocks; 0 for no limit.
    pub link_bytes_per_s: u64,
    /// Whether imported blocks are compared with their key, generation and digest. Without the
    /// check, wrong blocks are used and counted in `wrong_blocks`.
    pub verify_imports: bool,
    /// Time limit of each request for a KV block that this engine sends to another engine or a
    /// store. A block whose import exceeds it is computed instead.
    pub import_limit_ms: u64,
    /// Concurrent requests that a cold engine withstands; with more it crashes.
    pub cold_concurrency: usize,
    /// Completed requests after which a cold engine is warm.
    pub warm_completions: u64,
    /// Whether the engine is warm from the start.
    pub starts_warm: bool,
    /// Time from a crash until the engine listens again.
    pub restart_ms: u64,
    /// Interval at which the load report is updated; 0 to compute it for each read.
    pub load_lag_ms: u64,
    /// Delay until a cache event can be read.
    pub event_lag_ms: u64,
    /// Number of cache events kept for reading.
    pub events_kept: usize,
    /// Probability that a cache event is lost, which leaves a gap in the sequence numbers.
    pub event_gap_probability: f64,
    /// Version of the weights that are loaded at the start.
    pub weight_version: u64,
    /// Address of the weight store. Without one, loading weights takes `weight_load_ms`.
    pub weight_store: Option<SocketAddr>,
    /// Time that loading weights takes without a weight store.
    pub weight_load_ms: u64,
    /// Whether orders are rejected whose fencing token is lower than the highest one seen.
    pub obeys_fencing: bool,
    /// Interval of the SSE comments sent while a stream waits for a token. They show the caller
    /// that the connection is alive.
    pub ping_ms: u64,
    /// Seed of the random generator that draws the faults with a probability.
    pub seed: u64,
    /// Faults in effect from the start.
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

/// Faults of an engine stand-in. The faults of streams are drawn once per request, in the order of
/// the fields; the first that is drawn takes effect.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// All requests are refused with status 503.
    pub refuse: bool,
    /// Factor by which prefill and decode are slower; 0 and 1 stand for normal speed.
    pub slowdown: f64,
    /// Number of tokens that an attempt sends before its stream fault takes effect.
    pub after_tokens: u64,
    /// Probability that the connection is closed in the middle of the stream.
    pub cut_probability: f64,
    /// Probability that the connection stays open and sends nothing more.
    pub silence_probability: f64,
    /// Probability that the stream contains an event of another request.
    pub foreign_probability: f64,
    /// Probability that a token is sent twice.
    pub repeat_probability: f64,
    /// Probability that a token is left out.
    pub skip_probability: f64,
    /// Probability that the end marker `data: [DONE]` is left out.
    pub no_end_probability: f64,
    /// Probability that an exported block has wrong content. Drawn for each block.
    pub wrong_kv_probability: f64,
    /// Bandwidth that replaces the `link_bytes_per_s` of the settings; 0 to keep it.
    pub link_bytes_per_s: u64,
    /// The engine crashes when it has read a prompt that contains this text; empty for none.
    #[serde(default)]
    pub crash_on_text: String,
    /// The engine crashes now and restarts cold.
    pub crash: bool,
    /// The engine becomes cold now without a restart, and its prefix cache is emptied.
    pub become_cold: bool,
}

/// Counters of an engine over all its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests completed.
    pub completed: u64,
    /// Largest number of concurrent requests while the engine was cold.
    pub peak_cold: u64,
    /// Crashes, whether set as a fault or caused by overload while cold.
    pub crashes: u64,
    /// Crashes caused by more than `cold_concurrency` requests while cold.
    pub cold_crashes: u64,
    /// Prompt tokens found in the prefix cache.
    pub reused_tokens: u64,
    /// Prompt tokens of imported blocks.
    pub imported_tokens: u64,
    /// Tokens prefilled: prompt tokens that were not cached, and the tokens before `resume_from`.
    pub recomputed_tokens: u64,
    /// Blocks whose fetch failed or that did not pass the check of `verify_imports`.
    pub imports_refused: u64,
    /// Blocks with wrong content that were added to the cache.
    pub wrong_blocks: u64,
    /// Bytes of exported KV blocks.
    pub exported_bytes: u64,
}
