//! The bed, load and windows that the experiments with a failure domain share.

use super::drive::{Balancer, Load, Sample, first_tokens, prompt, quantile_ms};
use anvilgw_standin::EngineConfig;
use anvilgw_testbed::{Testbed, TestbedConfig};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Failure domain that leaves.
pub(super) const DOMAIN: usize = 1;
/// Name of the failure domain.
pub(super) const DOMAIN_NAME: &str = "domain-1";
/// Daemons, two in each of three failure domains.
pub(super) const DAEMONS: usize = 6;
const ENGINES: usize = 6;
const SLOTS: usize = 64;
const DECODE_MS: f64 = 40.0;
const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
/// Words of a prompt, which are its tokens.
pub(super) const WORDS: usize = 400;
/// Tokens of an answer.
pub(super) const TOKENS: u64 = 40;
/// Part of the capacity that the load takes.
const LOAD: f64 = 0.6;
/// Time before the measurement, in which connections open.
pub(super) const WARM_UP: Duration = Duration::from_secs(2);
/// Lag of the balancer.
pub(super) const BALANCER_LAG: Duration = Duration::from_millis(500);

/// A bed of three failure domains.
pub(super) async fn bed() -> Testbed {
    bed_with_lag(TestbedConfig::default().balancer_lag_ms).await
}

/// A bed whose draining daemons still take work for the lag.
pub(super) async fn bed_with_lag(balancer_lag_ms: u64) -> Testbed {
    let bed = Testbed::start(TestbedConfig {
        balancer_lag_ms,
        daemons: DAEMONS,
        engines: ENGINES,
        engine_concurrency: SLOTS as u32,
        engine: EngineConfig {
            max_running: SLOTS,
            decode_ms: DECODE_MS,
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            ..TestbedConfig::default().engine
        },
        ..TestbedConfig::default()
    })
    .await
    .expect("the bed starts");
    bed.wait_for_epoch().await.expect("the fleet settles");
    bed
}

/// Load of 60% of what the slots of all engines sustain.
pub(super) fn load(seed: u64, duration: Duration) -> Load {
    let prefill_s = WORDS as f64 / PREFILL_TOKENS_PER_S;
    let service_s = prefill_s + TOKENS as f64 * DECODE_MS / 1e3;
    Load {
        seed,
        rate_per_s: LOAD * (ENGINES * SLOTS) as f64 / service_s,
        duration,
    }
}

/// Starts a load over the daemons. Callers try up to `attempts` times.
pub(super) fn drive(
    balancer: &Arc<Balancer>,
    load: Load,
    attempts: u32,
) -> JoinHandle<Vec<Sample>> {
    let balancer = Arc::clone(balancer);
    load.start(move |number, intended| {
        let balancer = Arc::clone(&balancer);
        let prompt = prompt(load.seed, number, WORDS);
        async move { balancer.complete(&prompt, TOKENS, intended, attempts).await }
    })
}

/// 95th percentile of the time to first token of the requests that arrived in a window.
pub(super) fn p95_ms(samples: &[Sample], from: Duration, to: Duration) -> f64 {
    quantile_ms(first_tokens(samples, from, to), 0.95)
}
