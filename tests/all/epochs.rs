//! Epochs after the majority of the daemons has failed.

use anvilgw_testbed::{Caller, Testbed, TestbedConfig};
use http::Method;
use serde_json::Value;
use std::time::Duration;

/// Time limit of a wait. Failure detection, the lease of a dead holder and agreement on the members
/// take about 15 s on an idle machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

async fn duty_state(caller: &Caller, daemon: usize, duty: &str) -> String {
    let status = caller
        .call_admin(daemon, Method::GET, "/admin/status", &Value::Null)
        .await
        .unwrap();
    let duties = status["duties"].as_array().unwrap();
    let duty_status = duties
        .iter()
        .find(|duty_status| duty_status["duty"] == duty)
        .unwrap();
    duty_status["state"].as_str().unwrap().to_owned()
}

async fn wait_for(what: &str, mut is_done: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !is_done().await {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(result.is_ok(), "{what}");
}

/// Guards against a minority that starts an epoch by itself while the other daemons may still use
/// their shares, and against a fleet that cannot shrink to a minority even if an operator forces
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn a_minority_needs_an_operator_for_the_next_epoch() {
    let mut testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    testbed.wait_for_epoch().await.unwrap();
    testbed.kill_daemon(1).await;
    testbed.kill_daemon(2).await;
    let caller = testbed.caller();
    wait_for("the epoch proposer has no majority", async || {
        let state = duty_state(&caller, 0, "Epochs").await;
        state.starts_with("NoMajority")
    })
    .await;
    let daemon = testbed.daemon(0).unwrap();
    assert_eq!(daemon.epoch_members(), 3);
    let answer = caller
        .call_admin(0, Method::POST, "/admin/epoch", &Value::Null)
        .await
        .unwrap();
    assert_eq!(answer["forced"], true);
    wait_for("the epoch has one member", async || {
        testbed.daemon(0).unwrap().epoch_members() == 1
    })
    .await;
    testbed.stop().await;
}
