//! Retries of idempotent calls and completions.

use anvilgw_standin::{ConnectionFaults, ServiceFaults};
use anvilgw_testbed::{Testbed, TestbedConfig};
use http::{Method, StatusCode};

const CALLS_PER_DAEMON: usize = 8;

async fn start_testbed_in_epoch(daemons: usize, engines: usize, service_servers: usize) -> Testbed {
    let config = TestbedConfig {
        daemons,
        engines,
        service_servers,
        stores: 0,
        ..TestbedConfig::default()
    };
    let testbed = Testbed::start(config).await.unwrap();
    testbed.wait_for_epoch().await.unwrap();
    testbed
}

async fn read_status(testbed: &Testbed, daemon: usize) {
    let caller = testbed.caller();
    let answer = caller.call_service(daemon, 0, Method::GET, "/status", None, "");
    match answer.await {
        Ok(answer) => assert_eq!(answer.status, StatusCode::OK),
        Err(error) => panic!("daemon {daemon}: {error}"),
    }
}

/// Guards against a retry budget whose share moves away from a daemon while nothing fails, or whose
/// tokens accrue only after the first failure. The first calls of a daemon would then fail instead
/// of being retried.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_daemon_can_retry_its_first_failures() {
    let testbed = start_testbed_in_epoch(3, 0, 2).await;
    testbed.services[0].set_faults(ServiceFaults {
        cut_before_probability: 1.0,
        ..ServiceFaults::default()
    });
    for daemon in 0..3 {
        for _ in 0..CALLS_PER_DAEMON {
            read_status(&testbed, daemon).await;
        }
    }
    testbed.stop().await;
}

/// Guards against retries on idle connections that became silent together with the first one. With
/// more engines than attempts, a call would use up its attempts on silent connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn retry_avoids_idle_connections() {
    let testbed = start_testbed_in_epoch(1, 6, 0).await;
    let caller = testbed.caller();
    // Leaves an idle connection to every engine.
    while testbed.engines.iter().any(|e| e.counters().accepted == 0) {
        let calls = (0..2 * testbed.engines.len()).map(|index| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.complete(0, 0, &format!("{index}"), 4).await })
        });
        for call in calls.collect::<Vec<_>>() {
            call.await.unwrap().unwrap();
        }
    }
    let silence = ConnectionFaults {
        silence_open: true,
        ..ConnectionFaults::default()
    };
    let engines = testbed.engines.iter();
    engines.for_each(|engine| engine.set_connection_faults(&silence));
    let answer = caller.complete(0, 0, "after the silence", 4).await;
    assert!(answer.is_ok(), "{answer:?}");
    testbed.stop().await;
}
