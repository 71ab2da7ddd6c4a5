//! Checks the claim and order models within the short bounds, without a fault and with each mutant.

use anvilgw_explorer::{
    ClaimBounds, Mutant, OrderBounds, SearchOutcome, claims_model, orders_model,
};

fn assert_no_violation(name: &str, outcome: &SearchOutcome) {
    println!("{name}: {} states, depth {}", outcome.states, outcome.depth);
    if let Some(trace) = &outcome.violation {
        panic!("{name}:\n{trace}");
    }
    assert!(outcome.is_complete, "{name}: the model has too many states");
}

fn assert_detected(mutant: Mutant, outcome: &SearchOutcome) {
    let Some(trace) = &outcome.violation else {
        panic!(
            "{mutant:?} is not detected within {} states",
            outcome.states
        );
    };
    println!("{mutant:?}: {} states\n{trace}", outcome.states);
}

/// Guards against a request that is executed twice, reported as not executed although it was, or
/// answered with a recorded answer that no execution gave, and against a claim that never ends.
#[test]
fn claim_model_has_no_violation() {
    assert_no_violation("claims", &claims_model(ClaimBounds::short(), None));
}

/// Fails if the invariants miss one of the faults put into the claim protocol.
#[test]
fn claim_mutants_are_detected() {
    for &mutant in Mutant::CLAIMS {
        assert_detected(mutant, &claims_model(ClaimBounds::short(), Some(mutant)));
    }
}

/// Guards against an order of an earlier lease holder that takes effect after one of a later
/// holder, and against an order that takes effect twice under one lease.
#[test]
fn order_model_has_no_violation() {
    for checks_fencing in [false, true] {
        let bounds = OrderBounds {
            checks_fencing,
            ..OrderBounds::short()
        };
        assert_no_violation("orders", &orders_model(bounds, None));
    }
}

/// Fails if the invariants miss one of the faults put into the order protocol.
#[test]
fn order_mutants_are_detected() {
    for &mutant in Mutant::ORDERS {
        assert_detected(mutant, &orders_model(OrderBounds::short(), Some(mutant)));
    }
}
