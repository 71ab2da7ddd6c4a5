//! Tests of the order issuer.

use anvilgw_claims::{
    EngineState, IssuerAction, IssuerConfig, IssuerEvent, LeaseGrant, Order, OrderChange, OrderEnd,
    OrderId, OrderIssuer, Role, SendResult,
};
use anvilgw_core::{ModelId, Offset, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

const TIME_TO_EFFECT_MS: u64 = 100;
const LEASE_MS: u64 = 1_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn order(id: u128) -> Order {
    Order {
        id: OrderId(id),
        server: ServerId(0),
        change: OrderChange::LoadModel {
            model: ModelId(0),
            version: id as u32,
        },
    }
}

fn engine(version: u32) -> Option<EngineState> {
    Some(EngineState {
        model: Some((ModelId(0), version)),
        adapters: BTreeMap::new(),
        role: Role::Both,
    })
}

/// Returns an issuer that holds a lease from uptime 0 on.
fn issuer(previous_expiry: Option<Duration>) -> OrderIssuer {
    let mut issuer = OrderIssuer::new(IssuerConfig {
        max_time_to_effect: ms(TIME_TO_EFFECT_MS),
        retry_interval: ms(10),
        max_orders: 4,
        max_ended_ids: 4,
    });
    let lease = LeaseGrant {
        token: Offset(7),
        valid_until: ms(LEASE_MS),
        previous_expiry,
    };
    issuer.handle(IssuerEvent::LeaseGranted(lease), ms(0));
    issuer
}

fn submit(issuer: &mut OrderIssuer, id: u128, checks_fencing: bool, now: u64) -> Vec<IssuerAction> {
    let event = IssuerEvent::Submit {
        order: order(id),
        checks_fencing,
    };
    issuer.handle(event, ms(now))
}

fn report_state(issuer: &mut OrderIssuer, id: u128, version: u32, now: u64) -> Vec<IssuerAction> {
    let event = IssuerEvent::StateRead {
        id: OrderId(id),
        state: engine(version),
    };
    issuer.handle(event, ms(now))
}

fn ended(id: u128, end: OrderEnd) -> IssuerAction {
    IssuerAction::Ended {
        id: OrderId(id),
        end,
    }
}

fn sent(id: u128) -> IssuerAction {
    IssuerAction::Send {
        order: order(id),
        token: Offset(7),
        valid_until: ms(LEASE_MS),
    }
}

/// Guards against an order that takes effect before a late one of the previous lease holder, which
/// then reverts it.
#[test]
fn order_waits_for_the_previous_lease_unless_the_engine_checks_fencing() {
    let mut issuer = issuer(Some(ms(50)));
    assert_eq!(submit(&mut issuer, 1, false, 0), []);
    assert_eq!(issuer.handle(IssuerEvent::Tick, ms(149)), []);
    let read = [IssuerAction::ReadState(order(1))];
    assert_eq!(issuer.handle(IssuerEvent::Tick, ms(150)), read);
    let mut fenced = self::issuer(Some(ms(50)));
    assert_eq!(submit(&mut fenced, 1, true, 0), read);
}

/// Guards against an order that is sent twice, and against two orders in flight to one engine.
#[test]
fn orders_are_sent_once_and_one_at_a_time_per_engine() {
    let mut issuer = issuer(None);
    submit(&mut issuer, 1, false, 0);
    assert_eq!(submit(&mut issuer, 2, false, 0), []);
    assert_eq!(
        submit(&mut issuer, 1, false, 0),
        [ended(1, OrderEnd::NotQueued)]
    );
    assert_eq!(report_state(&mut issuer, 1, 0, 1), [sent(1)]);
    assert_eq!(report_state(&mut issuer, 1, 0, 2), []);
    let lost = IssuerEvent::OrderSent {
        id: OrderId(1),
        result: SendResult::Unknown,
    };
    assert_eq!(issuer.handle(lost, ms(50)), []);
    let read = IssuerAction::ReadState;
    assert_eq!(issuer.handle(IssuerEvent::Tick, ms(101)), [read(order(1))]);
    let next = [ended(1, OrderEnd::InEffect), read(order(2))];
    assert_eq!(report_state(&mut issuer, 1, 1, 102), next);
    assert_eq!(
        submit(&mut issuer, 1, false, 103),
        [ended(1, OrderEnd::NotQueued)]
    );
}

/// Guards against an order that is sent under an expired lease because the daemon was paused after
/// its last check.
#[test]
fn order_is_not_sent_under_an_expired_lease() {
    let mut issuer = issuer(None);
    submit(&mut issuer, 1, false, 0);
    assert_eq!(
        report_state(&mut issuer, 1, 0, LEASE_MS),
        [ended(1, OrderEnd::NotSent)]
    );
}

/// Guards against an order that is reported as not sent although it was, or the reverse, when the
/// lease is lost.
#[test]
fn lost_lease_ends_sent_orders_as_unknown_and_others_as_not_sent() {
    let mut issuer = issuer(None);
    submit(&mut issuer, 1, false, 0);
    report_state(&mut issuer, 1, 0, 1);
    submit(&mut issuer, 2, false, 2);
    let ends = [ended(1, OrderEnd::Unknown), ended(2, OrderEnd::NotSent)];
    assert_eq!(issuer.handle(IssuerEvent::LeaseLost, ms(3)), ends);
    assert_eq!(
        submit(&mut issuer, 3, false, 4),
        [ended(3, OrderEnd::NotSent)]
    );
}
