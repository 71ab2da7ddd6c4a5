//! Retries of idempotent work.

use anvilgw_standin::ServiceFaults;
use anvilgw_testbed::{Bed, BedConfig};
use http::{Method, StatusCode};

const CALLS_PER_DAEMON: usize = 8;

async fn settled(daemons: usize, engines: usize, service_servers: usize) -> Bed {
    let config = BedConfig {
        daemons,
        engines,
        service_servers,
        stores: 0,
        ..BedConfig::default()
    };
    let bed = Bed::start(config).await.unwrap();
    bed.wait_settled().await.unwrap();
    bed
}

async fn read_status(bed: &Bed, daemon: usize) {
    let caller = bed.caller();
    let answer = caller.call_service(daemon, 0, Method::GET, "/status", None, "");
    match answer.await {
        Ok(answer) => assert_eq!(answer.status, StatusCode::OK),
        Err(error) => panic!("daemon {daemon}: {error}"),
    }
}

/// Guards against a retry budget whose share moves away from daemons while nothing fails, and whose
/// tokens accrue only after the first failure.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_daemon_retries_at_once() {
    let bed = settled(3, 0, 2).await;
    bed.services[0].set_faults(ServiceFaults {
        cut_before_probability: 1.0,
        ..ServiceFaults::default()
    });
    for daemon in 0..3 {
        for _ in 0..CALLS_PER_DAEMON {
            read_status(&bed, daemon).await;
        }
    }
    bed.stop().await;
}
