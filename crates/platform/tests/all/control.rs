//! Tests of the control client against the engine stand-in: orders, cache events and load reports.

use crate::engine::complete;
use crate::{STEP_TIMEOUT_MS, loopback, settings};
use anvilgw_platform::{CacheChange, EngineControl, Order, OrderAnswer};
use anvilgw_standin::{
    EngineConfig, EngineFaults, EngineStandin, RunningStandin, WeightStoreConfig,
    WeightStoreFaults, WeightStoreStandin,
};
use futures_util::future::join_all;
use serde_json::json;

async fn start(config: EngineConfig) -> (RunningStandin<EngineStandin>, EngineControl) {
    let config = EngineConfig {
        prefill_tokens_per_s: 1e6,
        decode_ms: 0.1,
        load_lag_ms: 0,
        event_lag_ms: 0,
        weight_load_ms: 1,
        ..config
    };
    let engine = EngineStandin::start(config, loopback()).await.unwrap();
    let control = EngineControl::new(engine.addr(), settings());
    (engine, control)
}

/// Makes an engine compute a prompt of one block of three tokens.
async fn compute(engine: &RunningStandin<EngineStandin>, key: &str) {
    let body = json!({
        "prompt": "one two three",
        "max_tokens": 1,
        "anvilgw": {"blocks": [key], "block_tokens": 3},
    });
    complete(engine.addr(), &body).await;
}

async fn wait_for_weight_version(control: &EngineControl, version: u64) {
    while control.load_report().await.unwrap().weight_version != version {
        tokio::task::yield_now().await;
    }
}

/// Guards against orders of a former lease holder taking effect, and against a stand-in that cannot
/// play an engine which ignores fencing tokens.
#[tokio::test]
async fn old_fencing_token_is_rejected_by_engines_that_check_it() {
    for obeys_fencing in [true, false] {
        let (engine, control) = start(EngineConfig {
            obeys_fencing,
            ..EngineConfig::default()
        })
        .await;
        let order = |version| Order::LoadVersion { version };
        let newer = control.send_order(9, &order(2)).await.unwrap();
        assert_eq!(newer, OrderAnswer::Taken);
        wait_for_weight_version(&control, 2).await;
        let older = control.send_order(5, &order(3)).await.unwrap();
        if obeys_fencing {
            assert_eq!(older, OrderAnswer::OldToken(9));
        } else {
            assert_eq!(older, OrderAnswer::Taken);
            wait_for_weight_version(&control, 3).await;
        }
        let state = control.order_state().await.unwrap();
        assert_eq!(state.highest_token, 9);
        assert_eq!(state.weight_version, if obeys_fencing { 2 } else { 3 });
        let taken = if obeys_fencing { 1 } else { 2 };
        assert_eq!(engine.orders().taken.len(), taken);
    }
}

/// Guards against KV blocks of the old weights surviving a change of weights.
#[tokio::test]
async fn new_weights_clear_the_cache() {
    let (engine, control) = start(EngineConfig::default()).await;
    compute(&engine, "a").await;
    assert!(engine.has_block("a"));
    let order = Order::LoadVersion { version: 2 };
    control.send_order(1, &order).await.unwrap();
    wait_for_weight_version(&control, 2).await;
    assert!(!engine.has_block("a"));
    let events = control.cache_events(0).await.unwrap();
    let last = events.events.last().unwrap();
    assert_eq!(last.change, CacheChange::Cleared);
}

/// Guards against evictions and lost events that a client cannot notice.
#[tokio::test]
async fn evictions_and_lost_cache_events_are_noticed() {
    let (engine, control) = start(EngineConfig {
        cache_tokens: 6,
        ..EngineConfig::default()
    })
    .await;
    for key in ["a", "b", "a", "c"] {
        compute(&engine, key).await;
    }
    let events = control.cache_events(0).await.unwrap();
    assert_eq!(events.missing_events(0), 0);
    let stored = |key: &str| CacheChange::Stored {
        key: key.to_owned(),
    };
    // `a` was used after `b`.
    let evicted = CacheChange::Evicted {
        key: "b".to_owned(),
    };
    let changes: Vec<_> = events.events.into_iter().map(|e| e.change).collect();
    assert_eq!(changes, [stored("a"), stored("b"), stored("c"), evicted]);
    assert_eq!(control.cache_events(events.next).await.unwrap().events, []);

    let (engine, control) = start(EngineConfig {
        event_gap_probability: 0.5,
        seed: 3,
        ..EngineConfig::default()
    })
    .await;
    for number in 0..32 {
        compute(&engine, &format!("key-{number}")).await;
    }
    let events = control.cache_events(0).await.unwrap();
    assert_eq!(
        events.missing_events(0) + events.events.len() as u64,
        events.next
    );
    assert!((1..31).contains(&events.missing_events(0)));
}

/// Guards against a restart or a cold engine that the load report does not show.
#[tokio::test]
async fn load_report_shows_restart_and_cold_state() {
    let (engine, control) = start(EngineConfig {
        restart_ms: 1,
        ..EngineConfig::default()
    })
    .await;
    let before = control.load_report().await.unwrap();
    assert!(before.warm);
    engine.set_faults(EngineFaults {
        become_cold: true,
        ..EngineFaults::default()
    });
    let cold = control.load_report().await.unwrap();
    assert!(!cold.warm && cold.start_ms == before.start_ms);
    engine.set_faults(EngineFaults {
        crash: true,
        ..EngineFaults::default()
    });
    let after = loop {
        // The connection may be cut or refused until the engine listens again.
        if let Ok(load) = control.load_report().await
            && load.start_ms != before.start_ms
        {
            break load;
        }
    };
    assert!(!after.warm && after.completed == 0);
}

/// Guards against weights that load at full speed for any number of engines, and against a load
/// that is given up when the weight store refuses it for a while.
#[tokio::test]
async fn weight_loads_share_the_store_and_survive_its_outage() {
    let config = WeightStoreConfig {
        load_ms: 1_000 * STEP_TIMEOUT_MS,
        ..WeightStoreConfig::default()
    };
    let store = WeightStoreStandin::start(config, loopback()).await.unwrap();
    store.set_faults(WeightStoreFaults {
        outage: true,
        ..WeightStoreFaults::default()
    });
    let engines = join_all((0..6).map(|_| {
        start(EngineConfig {
            weight_store: Some(store.addr()),
            ..EngineConfig::default()
        })
    }))
    .await;
    for (_, control) in &engines {
        let order = Order::LoadVersion { version: 2 };
        control.send_order(1, &order).await.unwrap();
        assert_eq!(control.load_report().await.unwrap().weight_version, 1);
    }
    store.set_faults(WeightStoreFaults::default());
    while store.counters().loading < 6 {
        tokio::task::yield_now().await;
    }
    // Three loads run at full speed, so six run at half of it.
    assert_eq!(store.counters().speed_permille, 500);
    assert!(engines[0].1.load_report().await.unwrap().loading);
}
