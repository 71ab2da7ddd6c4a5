//! Tests of the client of the instance list.

use crate::{loopback, settings};
use anvilgw_platform::{InstanceListClient, InstanceState, PlatformError};
use anvilgw_standin::{
    InstanceEntry, InstanceListConfig, InstanceListFaults, InstanceListStandin,
    InstanceState as StandinState,
};

fn entry(name: &str, state: StandinState) -> InstanceEntry {
    InstanceEntry {
        name: name.to_owned(),
        kind: "entry".to_owned(),
        addr: loopback(),
        domain: "a".to_owned(),
        state,
    }
}

/// Guards against a stand-in whose list is always current, which would hide decisions that rely on
/// a current list.
#[tokio::test]
async fn instance_list_shows_changes_late() {
    let config = InstanceListConfig {
        instances: vec![entry("one", StandinState::Live)],
        ..InstanceListConfig::default()
    };
    let standin = InstanceListStandin::start(config, loopback())
        .await
        .unwrap();
    let client = InstanceListClient::new(standin.addr(), settings());
    let set_frozen = |frozen| {
        standin.set_faults(InstanceListFaults {
            frozen,
            ..InstanceListFaults::default()
        });
    };
    set_frozen(true);
    standin.set_instances(vec![entry("one", StandinState::Leaving)]);
    let before = client.list().await.unwrap();
    assert_eq!(before.instances[0].state, InstanceState::Live);
    set_frozen(false);
    let after = client.list().await.unwrap();
    assert_eq!(after.instances[0].state, InstanceState::Leaving);
    assert!(after.version > before.version);
    standin.set_faults(InstanceListFaults {
        outage: true,
        ..InstanceListFaults::default()
    });
    assert!(matches!(
        client.list().await,
        Err(PlatformError::Status(503, _))
    ));
}
