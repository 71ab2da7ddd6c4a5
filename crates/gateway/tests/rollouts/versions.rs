//! Which versions may serve.

use RolloutState::{Complete, RolledBack, Running};
use VersionUse::{All, Canary, Excluded};
use anvilgw_gateway::rollout::{
    OrderId, RolloutOrder, RolloutState, RolloutStatus, ServiceVersions, VersionUse,
};
use std::time::Duration;

fn order(id: u64, target: &str) -> RolloutOrder {
    RolloutOrder {
        id: OrderId(id),
        service: "engines".to_owned(),
        target: target.to_owned(),
        step: Duration::from_secs(12),
        learned_at: Duration::from_secs(id),
    }
}

fn status(id: Option<u64>, target: &str, state: RolloutState, base: Option<&str>) -> RolloutStatus {
    RolloutStatus {
        service: "engines".to_owned(),
        target: target.to_owned(),
        state,
        order: id.map(OrderId),
        base: base.map(str::to_owned),
    }
}

/// A stored status.
struct Stored {
    order: Option<u64>,
    target: &'static str,
    state: RolloutState,
    base: Option<&'static str>,
}

/// What a daemon has read, in this order, and how it uses v1, v2 and v3.
struct Case {
    name: &'static str,
    order: Option<(u64, &'static str)>,
    status: Option<Stored>,
    listed: &'static [(&'static str, usize)],
    uses: [VersionUse; 3],
    in_force: Option<&'static str>,
}

const CASES: [Case; 10] = [
    Case {
        name: "nothing listed",
        order: None,
        status: None,
        listed: &[],
        uses: [All, All, All],
        in_force: None,
    },
    Case {
        name: "a version that was never ordered",
        order: None,
        status: None,
        listed: &[("v1", 3), ("v2", 1)],
        uses: [All, Excluded, Excluded],
        in_force: Some("v1"),
    },
    Case {
        name: "a running order, more servers of its target",
        order: Some((1, "v2")),
        status: None,
        listed: &[("v1", 3), ("v2", 5)],
        uses: [All, Canary, Excluded],
        in_force: Some("v1"),
    },
    Case {
        name: "completed",
        order: Some((1, "v2")),
        status: Some(Stored {
            order: Some(1),
            target: "v2",
            state: Complete,
            base: Some("v1"),
        }),
        listed: &[("v1", 3), ("v2", 3)],
        uses: [Excluded, All, Excluded],
        in_force: Some("v2"),
    },
    Case {
        name: "rolled back",
        order: Some((1, "v2")),
        status: Some(Stored {
            order: Some(1),
            target: "v2",
            state: RolledBack,
            base: None,
        }),
        listed: &[("v1", 3), ("v2", 5)],
        uses: [All, Excluded, Excluded],
        in_force: Some("v1"),
    },
    Case {
        name: "a status without an order's identifier",
        order: Some((7, "v2")),
        status: Some(Stored {
            order: None,
            target: "v2",
            state: RolledBack,
            base: None,
        }),
        listed: &[("v1", 3), ("v2", 3)],
        uses: [All, Excluded, Excluded],
        in_force: Some("v1"),
    },
    Case {
        name: "ordered again after it was rolled back",
        order: Some((2, "v2")),
        status: Some(Stored {
            order: Some(1),
            target: "v2",
            state: RolledBack,
            base: Some("v1"),
        }),
        listed: &[("v1", 3), ("v2", 3)],
        uses: [All, Canary, Excluded],
        in_force: Some("v1"),
    },
    Case {
        name: "replaced, while servers of the first target are listed",
        order: Some((2, "v3")),
        status: Some(Stored {
            order: Some(2),
            target: "v3",
            state: Running,
            base: Some("v1"),
        }),
        listed: &[("v1", 3), ("v2", 3), ("v3", 3)],
        uses: [All, Excluded, Canary],
        in_force: Some("v1"),
    },
    Case {
        name: "removed before the end",
        order: None,
        status: Some(Stored {
            order: Some(1),
            target: "v2",
            state: Running,
            base: Some("v1"),
        }),
        listed: &[("v1", 3), ("v2", 3)],
        uses: [All, Excluded, Excluded],
        in_force: Some("v1"),
    },
    Case {
        name: "the version in force is ordered",
        order: Some((2, "v2")),
        status: Some(Stored {
            order: Some(1),
            target: "v2",
            state: Complete,
            base: Some("v1"),
        }),
        listed: &[("v2", 3)],
        uses: [Excluded, All, Excluded],
        in_force: Some("v2"),
    },
];

/// Guards against a version that no order allows, or one that was rolled back, getting requests,
/// also at a daemon that has just started.
#[test]
fn versions_are_used_as_orders_and_statuses_say() {
    for case in CASES {
        let mut versions = ServiceVersions::default();
        versions.on_order(case.order.map(|(id, target)| order(id, target)));
        if let Some(stored) = case.status {
            let Stored {
                order,
                target,
                state,
                base,
            } = stored;
            versions.on_status(status(order, target, state, base));
        }
        versions.on_listed(case.listed);
        let uses = ["v1", "v2", "v3"].map(|version| versions.use_of(Some(version)));
        assert_eq!(uses, case.uses, "{}", case.name);
        assert_eq!(versions.in_force(), case.in_force, "{}", case.name);
        assert_eq!(versions.use_of(None), All, "{}: without version", case.name);
    }
}

/// Guards against an order that starts again when it is listed a second time, and against a removed
/// order that stays `running`.
#[test]
fn an_order_keeps_its_age_and_is_rolled_back_when_removed() {
    let mut versions = ServiceVersions::default();
    versions.on_listed(&[("v1", 3)]);
    versions.on_order(Some(order(1, "v2")));
    versions.on_order(Some(RolloutOrder {
        learned_at: Duration::from_secs(9),
        ..order(1, "v2")
    }));
    let learned_at = versions.running().map(|order| order.learned_at);
    assert_eq!(learned_at, Some(Duration::from_secs(1)));
    assert_eq!(versions.withdrawn_to_store(), None);
    let running = versions.status_to_store(Running);
    let expected = status(Some(1), "v2", Running, Some("v1"));
    assert_eq!(running, Some(expected.clone()));
    versions.on_status(expected);
    versions.on_order(None);
    let withdrawn = versions.withdrawn_to_store();
    let expected = status(Some(1), "v2", RolledBack, Some("v1"));
    assert_eq!(withdrawn, Some(expected.clone()));
    versions.on_status(expected);
    assert_eq!(versions.withdrawn_to_store(), None);
}
