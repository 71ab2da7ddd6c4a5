//! Configuration changes and their effect on all daemons.

use anvilgw_config::{ConfigChange, Priority};
use anvilgw_standin::LogFaults;
use anvilgw_testbed::{CallerError, Testbed, TestbedConfig};
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;

/// Time limit for all daemons to reach a version. It is much longer than the guaranteed 9 s,
/// because test machines are busy.
const VERSION_TIMEOUT: Duration = Duration::from_secs(60);

async fn version(testbed: &Testbed, daemon: usize) -> u64 {
    let report = testbed
        .caller()
        .call_admin(daemon, Method::GET, "/admin/config", &Value::Null)
        .await
        .unwrap();
    report["state"]["version"].as_u64().unwrap()
}

/// Waits until all daemons have at least the given version.
async fn wait_for_version(testbed: &Testbed, version: u64) {
    let is_behind = || {
        (0..testbed.config().daemons)
            .any(|daemon| testbed.daemon(daemon).unwrap().config_version() < version)
    };
    let reached = async {
        while is_behind() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = tokio::time::timeout(VERSION_TIMEOUT, reached).await;
    result.expect("version in force at all daemons");
}

/// Guards against concurrent changes that overwrite each other, and against daemons that end up
/// with different versions. Three changes that expect the same version are sent to three daemons at
/// once.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_changes_is_accepted() {
    let testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
    let expected = version(&testbed, 0).await;
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
    wait_for_version(&testbed, expected + 1).await;
    for daemon in 0..3 {
        assert_eq!(version(&testbed, daemon).await, expected + 1);
    }
    testbed.stop().await;
}

/// Guards against new work that is sent to a failure domain after it was taken out of service.
#[tokio::test(flavor = "multi_thread")]
async fn domain_out_of_service_gets_no_new_work() {
    let testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
    let answer = caller
        .publish_change(0, 2, &json!({ "domain_out": "domain-1" }))
        .await
        .unwrap();
    assert_eq!(answer["verdict"], "accepted", "{answer}");
    wait_for_version(&testbed, 3).await;
    let accepted = || -> u64 {
        let engines = testbed.engines_in(1);
        engines.map(|engine| engine.counters().accepted).sum()
    };
    let before = accepted();
    for number in 0..30 {
        let prompt = format!("prompt {number} ");
        caller.complete(number % 3, 1, &prompt, 4).await.unwrap();
    }
    assert_eq!(accepted(), before);
    testbed.stop().await;
}

/// Guards against a daemon that starts during a log outage and gets no configuration, or serves an
/// older one than was accepted. It has to read the configuration from the other daemons.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_started_during_log_outage_gets_the_configuration() {
    let mut testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
    let answer = caller
        .publish_change(0, 2, &json!({ "domain_out": "domain-2" }))
        .await
        .unwrap();
    assert_eq!(answer["verdict"], "accepted", "{answer}");
    wait_for_version(&testbed, 3).await;
    testbed.kill_daemon(2).await;
    testbed.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    testbed.start_daemon(2).await.unwrap();
    wait_for_version(&testbed, 3).await;
    assert_eq!(version(&testbed, 2).await, 3);
    testbed.stop().await;
}

/// Guards against plans that take effect although they have faults.
#[tokio::test(flavor = "multi_thread")]
async fn plans_with_faults_are_rejected() {
    let testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
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
    assert_eq!(version(&testbed, 0).await, 2);
    testbed.stop().await;
}
