//! Configuration changes and what they put in force.

use anvilgw_config::{ConfigChange, Priority};
use anvilgw_standin::LogFaults;
use anvilgw_testbed::{CallerError, Testbed, TestbedConfig};
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;

/// Ends a test that would wait forever. Much longer than the 9 s that are promised, because test
/// machines are busy.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

async fn version(bed: &Testbed, daemon: usize) -> u64 {
    let report = bed
        .caller()
        .call_admin(daemon, Method::GET, "/admin/config", &Value::Null)
        .await
        .unwrap();
    report["state"]["version"].as_u64().unwrap()
}

/// Waits until all daemons have a version.
async fn settle(bed: &Testbed, version: u64) {
    let is_behind = || {
        (0..bed.config().daemons)
            .any(|daemon| bed.daemon(daemon).unwrap().config_version() < version)
    };
    let settled = async {
        while is_behind() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = tokio::time::timeout(SETTLE_LIMIT, settled).await;
    result.expect("version in force at all daemons");
}

/// Guards against racing operators who overwrite each other, and versions that differ.
#[tokio::test(flavor = "multi_thread")]
async fn the_loser_of_a_race_is_told() {
    let bed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = bed.caller();
    let expected = version(&bed, 0).await;
    let changes: Vec<_> = (0..3)
        .map(|daemon| {
            let caller = caller.clone();
            let change = json!({ "domain_out": format!("domain-{daemon}") });
            tokio::spawn(async move { caller.publish_change(daemon, expected, &change).await })
        })
        .collect();
    let mut accepted = 0;
    for change in changes {
        let answer = change.await.unwrap().unwrap();
        match answer["verdict"].as_str() {
            Some("accepted") => accepted += 1,
            _ => assert!(
                answer["rejection"]["version_conflict"].is_object(),
                "{answer}"
            ),
        }
    }
    assert_eq!(accepted, 1);
    settle(&bed, expected + 1).await;
    for daemon in 0..3 {
        assert_eq!(version(&bed, daemon).await, expected + 1);
    }
    bed.stop().await;
}

/// Guards against new work for a failure domain that was taken out.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_that_is_out_gets_no_new_work() {
    let bed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = bed.caller();
    let answer = caller
        .publish_change(0, 2, &json!({ "domain_out": "domain-1" }))
        .await
        .unwrap();
    assert_eq!(answer["verdict"], "accepted", "{answer}");
    settle(&bed, 3).await;
    let accepted = || -> u64 {
        let engines = bed.engines_in(1);
        engines.map(|engine| engine.counters().accepted).sum()
    };
    let before = accepted();
    for number in 0..30 {
        let prompt = format!("prompt {number} ");
        caller.complete(number % 3, 1, &prompt, 4).await.unwrap();
    }
    assert_eq!(accepted(), before);
    bed.stop().await;
}

/// Guards against a daemon that starts during an outage of the log without the accepted
/// configuration, and against one that then serves an older one.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_joins_during_an_outage_of_the_log() {
    let mut bed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = bed.caller();
    let answer = caller
        .publish_change(0, 2, &json!({ "domain_out": "domain-2" }))
        .await
        .unwrap();
    assert_eq!(answer["verdict"], "accepted", "{answer}");
    settle(&bed, 3).await;
    bed.kill_daemon(2).await;
    bed.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    bed.start_daemon(2).await.unwrap();
    settle(&bed, 3).await;
    assert_eq!(version(&bed, 2).await, 3);
    bed.stop().await;
}

/// Guards against a list that takes effect although it has faults.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_with_faults_is_not_accepted() {
    let bed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = bed.caller();
    let mut plans = anvilgw_config::Plans::default();
    plans.workspaces.insert(
        "workspace-1".to_owned(),
        anvilgw_config::Plan {
            requests_per_s: 0,
            tokens_per_s: 0,
            burst_requests: 0,
            burst_tokens: 0,
            concurrency: 0,
            weight: 0,
            priority: Priority::Batch,
        },
    );
    let change = serde_json::to_value(ConfigChange::Plans(plans)).unwrap();
    let answer = caller.publish_change(0, 2, &change).await;
    let refused = match &answer {
        Ok(answer) => answer["error"]["code"] == "bad_request",
        Err(CallerError::Refused(status, ..)) => *status == 400,
        Err(_) => false,
    };
    assert!(refused, "{answer:?}");
    assert_eq!(version(&bed, 0).await, 2);
    bed.stop().await;
}
