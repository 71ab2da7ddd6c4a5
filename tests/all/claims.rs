//! Non-idempotent calls through a daemon.

use anvilgw_core::Executed;
use anvilgw_testbed::{CallerError, Testbed, TestbedConfig};
use http::{Method, StatusCode};
use std::time::Duration;
use uuid::Uuid;

/// Pause between two repeats of a call, and between checks whether the stand-in has stopped
/// listening.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// Number of unanswered repeats after which the test fails.
const MAX_REPEATS: usize = 400;

/// Guards against a claim that stays taken after the backend server refused the connection. The
/// caller would get `unknown` although nothing was sent, and could not repeat the call.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refused_connection_leaves_the_key_usable() {
    let config = TestbedConfig {
        daemons: 1,
        engines: 0,
        service_servers: 1,
        stores: 0,
        ..TestbedConfig::default()
    };
    let testbed = Testbed::start(config).await.unwrap();
    testbed.wait_for_epoch().await.unwrap();
    let caller = testbed.caller();
    let key = Uuid::now_v7().to_string();
    let call = || caller.call_service(0, 0, Method::POST, "/switch", Some(&key), "on");
    testbed.services[0].disconnect();
    while tokio::net::TcpStream::connect(testbed.services[0].addr())
        .await
        .is_ok()
    {
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    match call().await {
        Err(CallerError::Refused(_, code, executed)) => {
            assert_eq!(executed, Some(Executed::No), "{code}");
        }
        other => panic!("{other:?}"),
    }
    testbed.services[0].restore();
    for _ in 0..MAX_REPEATS {
        match call().await {
            Ok(answer) => {
                assert_eq!(answer.status, StatusCode::OK);
                assert_eq!(testbed.services[0].executions(&key), 1);
                return testbed.stop().await;
            }
            // The abandonment of the first attempt may not be in the log yet, and the daemon may
            // still treat the server as unreachable.
            Err(CallerError::Refused(_, code, _)) if code != "outcome_unknown" => {}
            Err(error) => panic!("{error}"),
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    panic!("no repeat was answered");
}
