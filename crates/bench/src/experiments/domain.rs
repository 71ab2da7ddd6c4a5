//! Test bed, load and time windows shared by the experiments that drain or kill daemons under load:
//! `domain-out`, `domain-loss` and `shutdown`.

use super::drive::{Balancer, Load, Sample, first_token_times, quantile_ms, unique_prompt};
use anvilgw_standin::EngineConfig;
use anvilgw_testbed::{Testbed, TestbedConfig};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Index of the failure domain that an experiment takes out of service or kills.
pub(super) const AFFECTED_DOMAIN: usize = 1;
/// Name of [`AFFECTED_DOMAIN`] in configuration changes.
pub(super) const AFFECTED_DOMAIN_NAME: &str = "domain-1";
/// Number of daemons: two in each of three failure domains.
pub(super) const DAEMONS: usize = 6;
const ENGINES: usize = 6;
const SLOTS_PER_ENGINE: usize = 64;
const DECODE_MS: f64 = 40.0;
const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
/// Words of a prompt; each word is one token.
pub(super) const PROMPT_WORDS: usize = 400;
/// Tokens of a completion.
pub(super) const OUTPUT_TOKENS: u64 = 40;
/// Share of the capacity of all engines that the load uses.
const UTILIZATION: f64 = 0.6;
/// Time at the start of a load that is left out of the measurement because connections still open.
pub(super) const WARM_UP: Duration = Duration::from_secs(2);
/// Pause between two rounds of readiness probes: the lag with which the balancer learns of a change.
pub(super) const BALANCER_LAG: Duration = Duration::from_millis(500);

/// Starts a bed of three failure domains with the default drain lag.
pub(super) async fn start_bed() -> Testbed {
    start_bed_with_drain_lag(TestbedConfig::default().balancer_lag_ms).await
}

/// Starts a bed whose draining daemons accept requests for `balancer_lag_ms` after the drain began.
pub(super) async fn start_bed_with_drain_lag(balancer_lag_ms: u64) -> Testbed {
    let bed = Testbed::start(TestbedConfig {
        balancer_lag_ms,
        daemons: DAEMONS,
        engines: ENGINES,
        engine_concurrency: SLOTS_PER_ENGINE as u32,
        engine: EngineConfig {
            max_running: SLOTS_PER_ENGINE,
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

/// Returns a load of 60% of what the slots of all engines sustain.
pub(super) fn load(seed: u64, duration: Duration) -> Load {
    let prefill_s = PROMPT_WORDS as f64 / PREFILL_TOKENS_PER_S;
    let service_s = prefill_s + OUTPUT_TOKENS as f64 * DECODE_MS / 1e3;
    Load {
        seed,
        rate_per_s: UTILIZATION * (ENGINES * SLOTS_PER_ENGINE) as f64 / service_s,
        duration,
    }
}

/// Starts a load of completions through the balancer. Each caller makes up to `attempts` attempts.
pub(super) fn start_load(
    balancer: &Arc<Balancer>,
    load: Load,
    attempts: u32,
) -> JoinHandle<Vec<Sample>> {
    let balancer = Arc::clone(balancer);
    load.start(move |number, intended| {
        let balancer = Arc::clone(&balancer);
        let prompt = unique_prompt(load.seed, number, PROMPT_WORDS);
        async move {
            balancer
                .complete(&prompt, OUTPUT_TOKENS, intended, attempts)
                .await
        }
    })
}

/// Returns the 95th percentile of the time to first token of the successful requests with an
/// intended send time in `from..to`.
pub(super) fn first_token_p95_ms(samples: &[Sample], from: Duration, to: Duration) -> f64 {
    quantile_ms(first_token_times(samples, from, to), 0.95)
}
