//! Non-idempotent calls through a daemon.

use anvilgw_core::{Clock, Executed, SystemClock};
use anvilgw_testbed::{CallerError, Testbed, TestbedConfig};
use http::{Method, StatusCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime};
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

/// Number of callers that send one call after the other.
const CALLERS: usize = 16;
/// Time for which the claims worker stands still while its daemon stops.
const STALL: Duration = Duration::from_millis(100);

/// A clock that can make the claims worker stand still when it reads the time, as a thread does
/// that gets no processor.
#[derive(Debug, Default)]
struct StallingClock {
    clock: SystemClock,
    is_stalling: AtomicBool,
}

impl Clock for StallingClock {
    fn uptime(&self) -> Duration {
        let is_claims_worker = std::thread::current().name() == Some("claims");
        if is_claims_worker && self.is_stalling.load(Ordering::Acquire) {
            std::thread::sleep(STALL);
        }
        self.clock.uptime()
    }

    fn wall(&self) -> SystemTime {
        self.clock.wall()
    }
}

/// Guards against a claims worker that panics while its daemon stops, because the log thread of a
/// partition has ended before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_claims_worker_does_not_panic_while_the_daemon_stops() {
    let panics = count_panics_of("claims");
    let config = TestbedConfig {
        daemons: 1,
        engines: 0,
        service_servers: 2,
        stores: 0,
        ..TestbedConfig::default()
    };
    let mut testbed = Testbed::start(config).await.unwrap();
    testbed.kill_daemon(0).await;
    let clock = Arc::new(StallingClock::default());
    testbed.set_clock(0, Arc::clone(&clock) as Arc<dyn Clock>);
    testbed.start_daemon(0).await.unwrap();
    testbed.wait_for_epoch().await.unwrap();
    for _ in 0..CALLERS {
        let caller = testbed.caller();
        tokio::spawn(async move {
            loop {
                let key = Uuid::now_v7().to_string();
                let call = caller.call_service(0, 0, Method::POST, "/switch", Some(&key), "on");
                // Calls fail once the daemon stops.
                let _ = call.await;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    clock.is_stalling.store(true, Ordering::Release);
    testbed.kill_daemon(0).await;
    testbed.stop().await;
    assert_eq!(panics.load(Ordering::Relaxed), 0);
}

/// Counts the panics of all threads with this name from now on.
fn count_panics_of(thread_name: &'static str) -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        if std::thread::current().name() == Some(thread_name) {
            counted.fetch_add(1, Ordering::Relaxed);
        }
        previous_hook(panic);
    }));
    count
}
