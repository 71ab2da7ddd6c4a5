//! Statuses and orders after the metadata store was restored from an older copy.

use RolloutState::{Complete, RolledBack, Running};
use anvilgw_gateway::rollout::{
    OrderId, RolloutOrder, RolloutState, RolloutStatus, ServiceVersions,
};
use std::time::Duration;

fn order(id: u64, target: &str) -> RolloutOrder {
    RolloutOrder {
        id: OrderId(id),
        service: "engines".to_owned(),
        target: target.to_owned(),
        step: Duration::from_secs(12),
        learned_at: Duration::ZERO,
    }
}

/// Order and state of a status.
type Status = (u64, RolloutState);

/// Returns the status of an order, whose target is named after it.
fn status((id, state): Status) -> RolloutStatus {
    RolloutStatus {
        service: "engines".to_owned(),
        target: format!("v{id}"),
        state,
        order: Some(OrderId(id)),
        base: Some(format!("v{}", id - 1)),
    }
}

struct Case {
    name: &'static str,
    /// Newest order that the daemon knows.
    order: Option<u64>,
    known: Status,
    /// Statuses that it reads in the new epoch, in this order.
    read: &'static [Status],
    newest: Status,
    is_to_be_stored: bool,
}

const CASES: [Case; 10] = [
    Case {
        name: "lost, nothing in the copy",
        order: Some(2),
        known: (2, Complete),
        read: &[],
        newest: (2, Complete),
        is_to_be_stored: true,
    },
    Case {
        name: "not lost",
        order: Some(2),
        known: (2, Complete),
        read: &[(2, Complete)],
        newest: (2, Complete),
        is_to_be_stored: false,
    },
    Case {
        name: "the copy holds the state before",
        order: Some(2),
        known: (2, RolledBack),
        read: &[(2, Running)],
        newest: (2, RolledBack),
        is_to_be_stored: true,
    },
    Case {
        name: "the copy holds the state before, another daemon stores it again",
        order: Some(2),
        known: (2, RolledBack),
        read: &[(2, Running), (2, RolledBack)],
        newest: (2, RolledBack),
        is_to_be_stored: false,
    },
    Case {
        name: "the copy holds the status of an earlier order",
        order: Some(2),
        known: (2, Complete),
        read: &[(1, Complete)],
        newest: (2, Complete),
        is_to_be_stored: true,
    },
    Case {
        name: "the same, the order was removed",
        order: None,
        known: (2, Complete),
        read: &[(1, Complete)],
        newest: (2, Complete),
        is_to_be_stored: true,
    },
    Case {
        name: "a running one is decided meanwhile",
        order: Some(2),
        known: (2, Running),
        read: &[(2, Complete)],
        newest: (2, Complete),
        is_to_be_stored: false,
    },
    Case {
        name: "another final state of the order is stored already",
        order: Some(2),
        known: (2, Complete),
        read: &[(2, RolledBack)],
        newest: (2, RolledBack),
        is_to_be_stored: false,
    },
    Case {
        name: "a new order has a status",
        order: Some(3),
        known: (2, Complete),
        read: &[(3, Running)],
        newest: (3, Running),
        is_to_be_stored: false,
    },
    Case {
        name: "a new order has none yet",
        order: Some(3),
        known: (2, Complete),
        read: &[(1, RolledBack)],
        newest: (2, Complete),
        is_to_be_stored: false,
    },
];

/// Guards against a final state that an older copy undoes, that nobody stores again, or beside which
/// a contradicting one is stored.
#[test]
fn a_lost_status_stays_in_force_until_it_is_stored_again() {
    for case in &CASES {
        for restores in 1..=2 {
            let mut versions = ServiceVersions::default();
            let known_order = case.order.map(|id| order(id, &format!("v{id}")));
            versions.on_order(known_order);
            versions.on_status(status(case.known));
            for _ in 0..restores {
                versions.on_restored();
            }
            for read in case.read {
                versions.on_status(status(*read));
            }
            let newest = status(case.newest);
            assert_eq!(versions.status(), Some(&newest), "{}", case.name);
            let expected = case.is_to_be_stored.then_some(&newest);
            assert_eq!(versions.lost_to_store(), expected, "{}", case.name);
        }
    }
}

/// Guards against an order that starts over because operators wrote it again, at another offset, so
/// that a version that was found bad gets requests again.
#[test]
fn an_order_that_is_written_again_keeps_its_status() {
    for state in [Running, Complete, RolledBack] {
        let mut versions = ServiceVersions::default();
        versions.on_order(Some(order(2, "v2")));
        versions.on_status(status((2, state)));
        versions.on_restored();
        versions.on_order_written_again(OrderId(9));
        assert_eq!(versions.order().map(|order| order.id), Some(OrderId(9)));
        let is_running = versions.running().is_some();
        assert_eq!(is_running, state == Running, "{state:?}");
        let expected = RolloutStatus {
            order: Some(OrderId(9)),
            ..status((2, state))
        };
        assert_eq!(versions.lost_to_store(), Some(&expected), "{state:?}");
        // A daemon that has not read of it yet stores the status under the earlier identifier.
        versions.on_status(status((2, state)));
        assert_eq!(versions.lost_to_store(), Some(&expected), "{state:?}");
        versions.on_status(expected.clone());
        assert_eq!(versions.lost_to_store(), None, "{state:?}");
    }
}
