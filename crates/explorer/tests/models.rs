//! The protocols within the short bounds, and every mutant.

use anvilgw_explorer::{
    ClaimBounds, Mutant, OrderBounds, SearchOutcome, claims_model, orders_model,
};

fn assert_holds(name: &str, outcome: &SearchOutcome) {
    println!("{name}: {} states, depth {}", outcome.states, outcome.depth);
    if let Some(trace) = &outcome.violation {
        panic!("{name}:\n{trace}");
    }
    assert!(outcome.is_complete, "{name}: the model has too many states");
}

fn assert_caught(mutant: Mutant, outcome: &SearchOutcome) {
    let Some(trace) = &outcome.violation else {
        panic!("{mutant:?} is not caught in {} states", outcome.states);
    };
    println!("{mutant:?}: {} states\n{trace}", outcome.states);
}

/// Guards against a second execution, an untrue refusal, a wrong recorded answer and a claim without
/// an end.
#[test]
fn claims_hold() {
    assert_holds("claims", &claims_model(ClaimBounds::short(), None));
}

/// Guards against invariants that a fault in the claim protocol does not violate.
#[test]
fn claim_mutants_are_caught() {
    for &mutant in Mutant::CLAIMS {
        assert_caught(mutant, &claims_model(ClaimBounds::short(), Some(mutant)));
    }
}

/// Guards against orders of two lease holders that reach an engine in the wrong order, and against
/// an order that is sent twice.
#[test]
fn orders_hold() {
    for checks_fencing in [false, true] {
        let bounds = OrderBounds {
            checks_fencing,
            ..OrderBounds::short()
        };
        assert_holds("orders", &orders_model(bounds, None));
    }
}

/// Guards against invariants that a fault in the order protocol does not violate.
#[test]
fn order_mutants_are_caught() {
    for &mutant in Mutant::ORDERS {
        assert_caught(mutant, &orders_model(OrderBounds::short(), Some(mutant)));
    }
}
