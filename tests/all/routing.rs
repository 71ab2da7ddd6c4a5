//! Where prompts run and what they reuse.

use anvilgw_standin::EngineConfig;
use anvilgw_testbed::{Testbed, TestbedConfig};
use std::time::Duration;

const ANSWER_TOKENS: u64 = 4;

/// A prompt of several hundred tokens.
fn long_prompt(number: usize) -> String {
    (0..600).map(|word| format!("p{number}w{word} ")).collect()
}

/// Guards against requests that wait for ever for blocks of an import, and against a prompt that is
/// recomputed although a server that takes work holds it.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_returns_is_reused() {
    let bed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = bed.caller();
    let prompt = long_prompt(1);
    caller.complete(0, 1, &prompt, ANSWER_TOKENS).await.unwrap();
    let recomputed = || -> u64 {
        let engines = bed.engines.iter();
        engines
            .map(|engine| engine.counters().recomputed_tokens)
            .sum()
    };
    let whole = recomputed();
    let readers: Vec<_> = (0..4)
        .map(|_| {
            let (caller, prompt) = (caller.clone(), prompt.clone());
            tokio::spawn(async move { caller.complete(0, 1, &prompt, ANSWER_TOKENS).await })
        })
        .collect();
    for reader in readers {
        reader.await.unwrap().unwrap();
    }
    let again = recomputed() - whole;
    assert!(
        again < whole,
        "{again} tokens recomputed by 4 readers, {whole} at first"
    );
    bed.stop().await;
}

/// Ends a wait that would be endless.
const LIMIT: Duration = Duration::from_secs(60);

/// One engine whose cache holds three prompts.
fn small_cache() -> TestbedConfig {
    TestbedConfig {
        daemons: 1,
        engines: 1,
        engine: EngineConfig {
            cache_tokens: 2_000,
            ..TestbedConfig::default().engine
        },
        ..TestbedConfig::default()
    }
}

/// Starts a bed with a small cache and completes a prompt there.
async fn small_bed_after(prompt: &str) -> Testbed {
    let bed = Testbed::start(small_cache()).await.unwrap();
    bed.caller()
        .complete(0, 1, prompt, ANSWER_TOKENS)
        .await
        .unwrap();
    bed
}

async fn wait_for(what: &str, is_done: impl Fn() -> bool) {
    let wait = async {
        while !is_done() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(LIMIT, wait).await;
    assert!(result.is_ok(), "{what}");
}

/// Rounds of eviction and return. The first may come before the listing of the stores.
const ROUNDS: usize = 4;

/// Evicts a prompt by others and sends it again, until its blocks are imported from a store. The
/// daemon learns of them from its next listing.
async fn return_after_eviction(bed: &Testbed, prompt: &str, from: usize) -> bool {
    let caller = bed.caller();
    for round in 0..ROUNDS {
        for filler in 0..4 {
            let other = long_prompt(from + round * 4 + filler);
            caller.complete(0, 1, &other, ANSWER_TOKENS).await.unwrap();
        }
        // Cache events tell the daemon of the eviction.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let before = bed.engines[0].counters().imported_tokens;
        caller.complete(0, 1, prompt, ANSWER_TOKENS).await.unwrap();
        if bed.engines[0].counters().imported_tokens > before {
            return true;
        }
    }
    false
}

/// Guards against a prompt that is recomputed after its eviction although a store could keep it.
#[tokio::test(flavor = "multi_thread")]
async fn an_evicted_prompt_comes_back_from_a_store() {
    let prompt = long_prompt(1);
    let bed = small_bed_after(&prompt).await;
    let kept = || -> usize { bed.stores.iter().map(|store| store.blocks().len()).sum() };
    wait_for("the blocks are in a store", || kept() > 0).await;
    assert!(return_after_eviction(&bed, &prompt, 100).await);
    bed.stop().await;
}

/// Guards against failures and wrong answers when stores die with the blocks that hints name. Each
/// answer is checked by the caller.
#[tokio::test(flavor = "multi_thread")]
async fn lost_blocks_cost_only_a_recompute() {
    let prompt = long_prompt(1);
    let bed = small_bed_after(&prompt).await;
    assert!(return_after_eviction(&bed, &prompt, 100).await);
    for store in &bed.stores {
        store.die();
    }
    assert!(!return_after_eviction(&bed, &prompt, 200).await);
    for store in &bed.stores {
        store.revive();
    }
    assert!(return_after_eviction(&bed, &prompt, 300).await);
    bed.stop().await;
}
