//! Configuration, freshness, leases and shares within the short bounds, and every mutant.

use anvilgw_explorer::{
    BudgetBounds, ConfigBounds, FreshnessBounds, LeaseBounds, Mutant, SearchOutcome, budgets_model,
    config_model, freshness_model, leases_model,
};

fn assert_holds(name: &str, outcome: &SearchOutcome) {
    println!("{name}: {} states, depth {}", outcome.states, outcome.depth);
    if let Some(trace) = &outcome.violation {
        panic!("{name}:\n{trace}");
    }
    assert!(outcome.is_complete, "{name}: the model has too many states");
}

fn assert_caught(mutants: &[Mutant], model: impl Fn(Option<Mutant>) -> SearchOutcome) {
    for &mutant in mutants {
        let outcome = model(Some(mutant));
        let Some(trace) = &outcome.violation else {
            panic!("{mutant:?} is not caught in {} states", outcome.states);
        };
        let steps = trace.steps.len();
        println!(
            "{mutant:?}: {} states, {steps} steps\n{trace}",
            outcome.states
        );
    }
}

/// Guards against a version that goes back, differs between daemons or lacks an accepted change, and
/// against an operator who is not told that the change lost.
#[test]
fn configuration_holds() {
    let cases = [
        ("config", ConfigBounds::short()),
        ("config_peers", ConfigBounds::short_peers()),
    ];
    for (name, bounds) in cases {
        assert_holds(name, &config_model(bounds, None));
    }
}

/// Guards against invariants that a fault in the configuration does not violate.
#[test]
fn configuration_mutants_are_caught() {
    assert_caught(Mutant::CONFIG, |mutant| {
        let bounds = match mutant {
            Some(Mutant::OlderUpdateApplied) => ConfigBounds::short_peers(),
            _ => ConfigBounds::short(),
        };
        config_model(bounds, mutant)
    });
}

/// Guards against work that goes into a domain long after it was taken out, and against a fleet that
/// stops because the log is down for everyone.
#[test]
fn freshness_holds() {
    let cases = [
        ("freshness", FreshnessBounds::short()),
        ("freshness_outage", FreshnessBounds::short_outage()),
        ("freshness_clock", FreshnessBounds::short_clock()),
        ("freshness_late", FreshnessBounds::short_late()),
    ];
    for (name, bounds) in cases {
        assert_holds(name, &freshness_model(bounds, None));
    }
}

/// Guards against invariants that a fault in the freshness rules does not violate.
#[test]
fn freshness_mutants_are_caught() {
    assert_caught(Mutant::FRESHNESS, |mutant| {
        let bounds = FreshnessBounds {
            events: 2,
            ..FreshnessBounds::short()
        };
        freshness_model(bounds, mutant)
    });
}

/// Guards against two daemons that carry out one duty at a time, and against a fencing token that is
/// used twice.
#[test]
fn leases_hold() {
    assert_holds("leases", &leases_model(LeaseBounds::short(), None));
}

/// Guards against invariants that a fault in the lease rules does not violate.
#[test]
fn lease_mutants_are_caught() {
    assert_caught(Mutant::LEASES, |mutant| {
        let bounds = LeaseBounds {
            appends: 2,
            ..LeaseBounds::short()
        };
        leases_model(bounds, mutant)
    });
}

/// Guards against shares in use that add up to more than the budget.
#[test]
fn budgets_hold() {
    let cases = [
        ("budgets", BudgetBounds::short()),
        ("budgets_transfers", BudgetBounds::short_transfers()),
    ];
    for (name, bounds) in cases {
        assert_holds(name, &budgets_model(bounds, None));
    }
}

/// Guards against invariants that a fault in the rules of shares does not violate.
#[test]
fn budget_mutants_are_caught() {
    assert_caught(Mutant::BUDGETS, |mutant| {
        budgets_model(BudgetBounds::short(), mutant)
    });
}
