//! Checks the models of configuration, freshness, leases and budgets within the short bounds,
//! without a fault and with each mutant.

use anvilgw_explorer::{
    BudgetBounds, ConfigBounds, FreshnessBounds, LeaseBounds, Mutant, SearchOutcome, budgets_model,
    config_model, freshness_model, leases_model,
};

fn assert_no_violation(name: &str, outcome: &SearchOutcome) {
    println!("{name}: {} states, depth {}", outcome.states, outcome.depth);
    if let Some(trace) = &outcome.violation {
        panic!("{name}:\n{trace}");
    }
    assert!(outcome.is_complete, "{name}: the model has too many states");
}

fn assert_detected(mutants: &[Mutant], model: impl Fn(Option<Mutant>) -> SearchOutcome) {
    for &mutant in mutants {
        let outcome = model(Some(mutant));
        let Some(trace) = &outcome.violation else {
            panic!(
                "{mutant:?} is not detected within {} states",
                outcome.states
            );
        };
        let steps = trace.steps.len();
        println!(
            "{mutant:?}: {} states, {steps} steps\n{trace}",
            outcome.states
        );
    }
}

/// Guards against a configuration version that decreases, differs between daemons or lacks an
/// accepted change, and against an operator who is told the wrong outcome of a change.
#[test]
fn config_model_has_no_violation() {
    let cases = [
        ("config", ConfigBounds::short()),
        ("config_peers", ConfigBounds::short_peers()),
    ];
    for (name, bounds) in cases {
        assert_no_violation(name, &config_model(bounds, None));
    }
}

/// Fails if the invariants miss one of the faults put into the configuration code.
#[test]
fn config_mutants_are_detected() {
    assert_detected(Mutant::CONFIG, |mutant| {
        let bounds = match mutant {
            Some(Mutant::OlderUpdateApplied) => ConfigBounds::short_peers(),
            _ => ConfigBounds::short(),
        };
        config_model(bounds, mutant)
    });
}

/// Guards against work that is sent to a failure domain too long after it was taken out of service,
/// and against daemons that take no work because the log is down for all of them.
#[test]
fn freshness_model_has_no_violation() {
    let cases = [
        ("freshness", FreshnessBounds::short()),
        ("freshness_outage", FreshnessBounds::short_outage()),
        ("freshness_clock", FreshnessBounds::short_clock()),
        ("freshness_late", FreshnessBounds::short_late()),
    ];
    for (name, bounds) in cases {
        assert_no_violation(name, &freshness_model(bounds, None));
    }
}

/// Fails if the invariants miss one of the faults put into the freshness rules.
#[test]
fn freshness_mutants_are_detected() {
    assert_detected(Mutant::FRESHNESS, |mutant| {
        let bounds = FreshnessBounds {
            events: 2,
            ..FreshnessBounds::short()
        };
        freshness_model(bounds, mutant)
    });
}

/// Guards against two daemons that carry out the same duty at the same time, and against a fencing
/// token that decreases or is used by two daemons.
#[test]
fn lease_model_has_no_violation() {
    assert_no_violation("leases", &leases_model(LeaseBounds::short(), None));
}

/// Fails if the invariants miss one of the faults put into the lease rules.
#[test]
fn lease_mutants_are_detected() {
    assert_detected(Mutant::LEASES, |mutant| {
        let bounds = LeaseBounds {
            appends: 2,
            ..LeaseBounds::short()
        };
        leases_model(bounds, mutant)
    });
}

/// Guards against shares in use that add up to more than the capacity of the budget.
#[test]
fn budget_model_has_no_violation() {
    let cases = [
        ("budgets", BudgetBounds::short()),
        ("budgets_transfers", BudgetBounds::short_transfers()),
    ];
    for (name, bounds) in cases {
        assert_no_violation(name, &budgets_model(bounds, None));
    }
}

/// Fails if the invariants miss one of the faults put into the rules for budget shares.
#[test]
fn budget_mutants_are_detected() {
    assert_detected(Mutant::BUDGETS, |mutant| {
        budgets_model(BudgetBounds::short(), mutant)
    });
}
