//! Tests of the store client, and of engines that export to and import from a store.

use crate::{loopback, settings};
use anvilgw_platform::{
    CallOptions, EngineControl, KvImport, KvSource, PlatformError, StoreClient, StoreError, Tier,
};
use anvilgw_standin::{
    EngineConfig, EngineStandin, RunningStandin, StoreConfig, StoreFaults, StoreStandin, kv_content,
};
use serde_json::json;

async fn start(config: StoreConfig) -> (RunningStandin<StoreStandin>, StoreClient) {
    let store = StoreStandin::start(config, loopback()).await.unwrap();
    let client = StoreClient::new(store.addr(), settings(), CallOptions::default());
    (store, client)
}

/// Writes and seals a block and returns its generation.
async fn put(client: &StoreClient, key: &str, bytes: u64) -> u64 {
    let generation = client.prepare(key, Tier::Memory, bytes, 16).await.unwrap();
    client
        .write(key, generation, &kv_content(key))
        .await
        .unwrap();
    client.seal(key, generation).await.unwrap();
    generation
}

/// Guards against freed, replaced, unsealed or unwritten blocks being read.
#[tokio::test]
async fn only_the_sealed_generation_is_read() {
    let (_store, client) = start(StoreConfig::default()).await;
    let first = client.prepare("a", Tier::Memory, 100, 16).await.unwrap();
    assert_eq!(client.get("a", first).await, Err(StoreError::NotHeld));
    assert_eq!(client.seal("a", first).await, Err(StoreError::NotHeld));
    client.write("a", first, &kv_content("a")).await.unwrap();
    assert_eq!(client.get("a", first).await, Err(StoreError::NotHeld));
    client.seal("a", first).await.unwrap();
    assert_eq!(
        client.get("a", first).await.unwrap().content,
        kv_content("a")
    );
    let second = put(&client, "a", 100).await;
    assert_ne!(second, first);
    assert_eq!(client.get("a", first).await, Err(StoreError::NotHeld));
    assert_eq!(client.free("a", first).await, Err(StoreError::NotHeld));
    client.free("a", second).await.unwrap();
    assert_eq!(client.get("a", second).await, Err(StoreError::NotHeld));
}

/// Guards against a client that trusts the store: a faulty store that ignores generations returns
/// other blocks than the requested ones.
#[tokio::test]
async fn wrong_blocks_are_detected() {
    let (store, client) = start(StoreConfig::default()).await;
    let stale = put(&client, "a", 100).await;
    put(&client, "a", 100).await;
    let unsealed = client.prepare("b", Tier::Disk, 100, 16).await.unwrap();
    store.set_faults(StoreFaults {
        ignores_generation: true,
        ..StoreFaults::default()
    });
    assert_eq!(client.get("a", stale).await, Err(StoreError::WrongBlock));
    assert_eq!(client.get("b", unsealed).await, Err(StoreError::WrongBlock));
}

/// Guards against a full store being reported like a failed one.
#[tokio::test]
async fn full_tier_is_distinguished_from_a_failure() {
    let (store, client) = start(StoreConfig {
        memory_bytes: 150,
        ..StoreConfig::default()
    })
    .await;
    put(&client, "a", 100).await;
    let prepare = |tier| client.prepare("b", tier, 100, 16);
    assert_eq!(prepare(Tier::Memory).await, Err(StoreError::Full));
    prepare(Tier::Disk).await.unwrap();
    // A block that replaces another one needs only the difference.
    put(&client, "a", 150).await;
    let listing = client.list(0, 10).await.unwrap();
    assert_eq!((listing.total, listing.memory_used_bytes), (1, 150));
    store.set_faults(StoreFaults {
        full: true,
        ..StoreFaults::default()
    });
    assert_eq!(prepare(Tier::Disk).await, Err(StoreError::Full));
}

/// Guards against blocks of a store being readable after its restart.
#[tokio::test]
async fn restarted_store_has_lost_its_blocks() {
    let (store, client) = start(StoreConfig::default()).await;
    let generation = put(&client, "a", 100).await;
    store.die();
    while client.get("a", generation).await == Err(StoreError::NotHeld) {
        // The store closes its connections asynchronously, so it may answer for a moment.
        tokio::task::yield_now().await;
    }
    assert!(matches!(
        client.get("a", generation).await,
        Err(StoreError::Platform(PlatformError::Transport(_)))
    ));
    store.revive();
    while client.list(0, 1).await.is_err() {
        tokio::task::yield_now().await;
    }
    assert_eq!(client.get("a", generation).await, Err(StoreError::NotHeld));
}

/// Guards against blocks that are lost or changed on the way from one engine to another by way of a
/// store.
#[tokio::test]
async fn blocks_reach_another_engine_through_the_store() {
    let (store, client) = start(StoreConfig::default()).await;
    let (holder, reader) = (engine().await, engine().await);
    compute(&holder, "a").await;
    let (from, to) = (control(&holder), control(&reader));
    let options = CallOptions::default();
    let keys = ["a", "missing"].map(str::to_owned);
    let exported = from
        .export_blocks(&keys, Some((store.addr(), Tier::Disk)), &options)
        .await
        .unwrap();
    assert_eq!(exported.missing, ["missing"]);
    let generation = exported.blocks[0].generation;
    client.get("a", generation).await.unwrap();
    let import = |generation| KvImport {
        key: "a".to_owned(),
        source: KvSource::Store(store.addr()),
        generation,
    };
    let refused = to.import_blocks(&[import(generation + 1)], &options).await;
    assert_eq!(refused.unwrap().refused.len(), 1);
    assert!(!reader.has_block("a"));
    let imported = to.import_blocks(&[import(generation)], &options).await;
    assert_eq!(imported.unwrap().imported, ["a"]);
    assert!(reader.has_block("a"));
    let counters = store.counters();
    assert!(counters.disk_link_bytes > 0 && counters.memory_link_bytes == 0);
}

async fn engine() -> RunningStandin<EngineStandin> {
    let config = EngineConfig {
        prefill_tokens_per_s: 1e6,
        decode_ms: 0.1,
        ..EngineConfig::default()
    };
    EngineStandin::start(config, loopback()).await.unwrap()
}

fn control(engine: &RunningStandin<EngineStandin>) -> EngineControl {
    EngineControl::new(engine.addr(), settings())
}

/// Makes an engine compute a prompt of one block.
async fn compute(engine: &RunningStandin<EngineStandin>, key: &str) {
    let body = json!({
        "prompt": "one two three",
        "max_tokens": 1,
        "anvilgw": {"blocks": [key], "block_tokens": 3},
    });
    crate::engine::complete(engine.addr(), &body).await;
}
