//! Orders to engines.

use anvilgw_claims::{
    EngineState, IssuerAction, IssuerConfig, IssuerEvent, LeaseGrant, Order, OrderChange, OrderEnd,
    OrderId, OrderIssuer, Role, SendResult,
};
use anvilgw_core::{ModelId, Offset, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

const FLIGHT_MS: u64 = 100;
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

fn issuer(previous_expiry: Option<Duration>) -> OrderIssuer {
    let mut issuer = OrderIssuer::new(IssuerConfig {
        max_time_to_effect: ms(FLIGHT_MS),
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

fn state(issuer: &mut OrderIssuer, id: u128, version: u32, now: u64) -> Vec<IssuerAction> {
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

/// Guards against an order that overtakes one of the previous lease holder.
#[test]
fn waits_out_the_previous_holder_unless_tokens_are_obeyed() {
    let mut issuer = issuer(Some(ms(50)));
    assert_eq!(submit(&mut issuer, 1, false, 0), []);
    assert_eq!(issuer.handle(IssuerEvent::Tick, ms(149)), []);
    let read = [IssuerAction::ReadState(order(1))];
    assert_eq!(issuer.handle(IssuerEvent::Tick, ms(150)), read);
    let mut obeying = self::issuer(Some(ms(50)));
    assert_eq!(submit(&mut obeying, 1, true, 0), read);
}

/// Guards against a second send, and against two orders in flight to one engine.
#[test]
fn sends_once_and_one_at_a_time() {
    let mut issuer = issuer(None);
    submit(&mut issuer, 1, false, 0);
    assert_eq!(submit(&mut issuer, 2, false, 0), []);
    assert_eq!(
        submit(&mut issuer, 1, false, 0),
        [ended(1, OrderEnd::NotQueued)]
    );
    assert_eq!(state(&mut issuer, 1, 0, 1), [sent(1)]);
    assert_eq!(state(&mut issuer, 1, 0, 2), []);
    let lost = IssuerEvent::OrderSent {
        id: OrderId(1),
        result: SendResult::Unknown,
    };
    assert_eq!(issuer.handle(lost, ms(50)), []);
    let read = IssuerAction::ReadState;
    assert_eq!(issuer.handle(IssuerEvent::Tick, ms(101)), [read(order(1))]);
    let next = [ended(1, OrderEnd::InEffect), read(order(2))];
    assert_eq!(state(&mut issuer, 1, 1, 102), next);
    assert_eq!(
        submit(&mut issuer, 1, false, 103),
        [ended(1, OrderEnd::NotQueued)]
    );
}

/// Guards against an order that is sent under an expired lease after a pause.
#[test]
fn lease_is_checked_before_sending() {
    let mut issuer = issuer(None);
    submit(&mut issuer, 1, false, 0);
    assert_eq!(
        state(&mut issuer, 1, 0, LEASE_MS),
        [ended(1, OrderEnd::NotSent)]
    );
}

/// Guards against an end that says more than is known.
#[test]
fn lost_lease_ends_orders_by_step() {
    let mut issuer = issuer(None);
    submit(&mut issuer, 1, false, 0);
    state(&mut issuer, 1, 0, 1);
    submit(&mut issuer, 2, false, 2);
    let ends = [ended(1, OrderEnd::Unknown), ended(2, OrderEnd::NotSent)];
    assert_eq!(issuer.handle(IssuerEvent::LeaseLost, ms(3)), ends);
    assert_eq!(
        submit(&mut issuer, 3, false, 4),
        [ended(3, OrderEnd::NotSent)]
    );
}
