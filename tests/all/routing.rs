//! Reuse of KV cache blocks: on the same server, by import from stores, and after the loss of
//! stores.

use anvilgw_standin::EngineConfig;
use anvilgw_testbed::{Testbed, TestbedConfig};
use std::time::Duration;

const ANSWER_TOKENS: u64 = 4;

/// Returns a prompt of several hundred tokens that differs for each number.
fn long_prompt(number: usize) -> String {
    (0..600).map(|word| format!("p{number}w{word} ")).collect()
}

/// Guards against requests that wait for ever for the blocks of an import, and against a prompt
/// that is recomputed although a server in service has its blocks.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_prompt_reuses_cached_blocks() {
    let testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
    let prompt = long_prompt(1);
    caller.complete(0, 1, &prompt, ANSWER_TOKENS).await.unwrap();
    let recomputed = || -> u64 {
        let engines = testbed.engines.iter();
        engines
            .map(|engine| engine.counters().recomputed_tokens)
            .sum()
    };
    let first_recomputed = recomputed();
    let readers: Vec<_> = (0..4)
        .map(|_| {
            let (caller, prompt) = (caller.clone(), prompt.clone());
            tokio::spawn(async move { caller.complete(0, 1, &prompt, ANSWER_TOKENS).await })
        })
        .collect();
    for reader in readers {
        reader.await.unwrap().unwrap();
    }
    let recomputed_by_repeats = recomputed() - first_recomputed;
    assert!(
        recomputed_by_repeats < first_recomputed,
        "{recomputed_by_repeats} tokens recomputed by 4 readers, {first_recomputed} at first"
    );
    testbed.stop().await;
}

/// Time limit of a wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the configuration of a test bed with one engine whose cache has room for three prompts.
fn small_cache_config() -> TestbedConfig {
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

/// Starts a test bed with a small cache and completes a prompt on it.
async fn start_small_cache_testbed_and_complete(prompt: &str) -> Testbed {
    let testbed = Testbed::start(small_cache_config()).await.unwrap();
    testbed
        .caller()
        .complete(0, 1, prompt, ANSWER_TOKENS)
        .await
        .unwrap();
    testbed
}

async fn wait_for(what: &str, is_done: impl Fn() -> bool) {
    let wait = async {
        while !is_done() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(result.is_ok(), "{what}");
}

/// Maximum number of times that the prompt is evicted and sent again. In the first round, the
/// daemon may not have listed the blocks of the stores yet.
const MAX_ROUNDS: usize = 4;

/// Evicts a prompt by other prompts, numbered from `first_filler`, and sends it again, until its
/// blocks are imported from a store. The daemon learns of the blocks in a store from its next
/// listing. Returns whether blocks were imported.
async fn is_imported_after_eviction(testbed: &Testbed, prompt: &str, first_filler: usize) -> bool {
    let caller = testbed.caller();
    for round in 0..MAX_ROUNDS {
        for filler in 0..4 {
            let filler_prompt = long_prompt(first_filler + round * 4 + filler);
            caller
                .complete(0, 1, &filler_prompt, ANSWER_TOKENS)
                .await
                .unwrap();
        }
        // Leaves time for the cache events that tell the daemon of the eviction.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let before = testbed.engines[0].counters().imported_tokens;
        caller.complete(0, 1, prompt, ANSWER_TOKENS).await.unwrap();
        if testbed.engines[0].counters().imported_tokens > before {
            return true;
        }
    }
    false
}

/// Guards against a prompt that is recomputed after its eviction although a store has room for its
/// blocks.
#[tokio::test(flavor = "multi_thread")]
async fn evicted_prompt_is_imported_from_a_store() {
    let prompt = long_prompt(1);
    let testbed = start_small_cache_testbed_and_complete(&prompt).await;
    let stored_blocks = || -> usize {
        testbed
            .stores
            .iter()
            .map(|store| store.blocks().len())
            .sum()
    };
    wait_for("the blocks are in a store", || stored_blocks() > 0).await;
    assert!(is_imported_after_eviction(&testbed, &prompt, 100).await);
    testbed.stop().await;
}

/// Guards against failures and wrong answers when stores fail and the blocks that hints refer to
/// are lost. The caller checks each answer.
#[tokio::test(flavor = "multi_thread")]
async fn blocks_lost_with_a_store_are_recomputed() {
    let prompt = long_prompt(1);
    let testbed = start_small_cache_testbed_and_complete(&prompt).await;
    assert!(is_imported_after_eviction(&testbed, &prompt, 100).await);
    for store in &testbed.stores {
        store.die();
    }
    assert!(!is_imported_after_eviction(&testbed, &prompt, 200).await);
    for store in &testbed.stores {
        store.revive();
    }
    assert!(is_imported_after_eviction(&testbed, &prompt, 300).await);
    testbed.stop().await;
}
