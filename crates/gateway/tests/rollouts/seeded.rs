//! Seeded runs of the decision: rates of wrong final states, and requests of a bad version.
//!
//! `ROLLOUT_SEEDS` sets the number of seeds for each case.

use super::simulation::{Fault, Outcome, Run, Setup};
use anvilgw_gateway::rollout::RolloutState;

/// Number of seeds for each case, if the environment does not set it.
const SEEDS: u64 = 2;

/// Fleet and load of a run.
struct Fleet {
    name: &'static str,
    daemons: usize,
    servers: u32,
    rate_per_s: f64,
    step_ms: u64,
}

const FLEETS: [Fleet; 5] = [
    Fleet {
        name: "3 daemons, 3 servers, 12/s",
        daemons: 3,
        servers: 3,
        rate_per_s: 12.0,
        step_ms: 12_000,
    },
    Fleet {
        name: "3 daemons, 3 servers, 400/s",
        daemons: 3,
        servers: 3,
        rate_per_s: 400.0,
        step_ms: 12_000,
    },
    Fleet {
        name: "12 daemons, 20 servers, 300/s",
        daemons: 12,
        servers: 20,
        rate_per_s: 300.0,
        step_ms: 14_000,
    },
    Fleet {
        name: "120 daemons, 90 servers, 900/s",
        daemons: 120,
        servers: 90,
        rate_per_s: 900.0,
        step_ms: 12_000,
    },
    Fleet {
        name: "410 daemons, 90 servers, 900/s",
        daemons: 410,
        servers: 90,
        rate_per_s: 900.0,
        step_ms: 16_000,
    },
];

const FAULTS: [Fault; 8] = [
    Fault::None,
    Fault::FailingServers,
    Fault::Failures(0.9),
    Fault::Failures(0.1),
    Fault::Failures(0.02),
    Fault::Slow(3.0),
    Fault::OneRoute,
    Fault::UnderLoad,
];

/// Sums over the seeds of one case.
#[derive(Debug, Default)]
struct Rates {
    wrong: u64,
    unfinished: u64,
    over_exposed: u64,
    late: u64,
    exposed: u64,
    exposed_max: u64,
    requests: u64,
    end_ms: u64,
}

impl Rates {
    /// Adds a run, and returns whether it ended with the wrong state.
    fn add(&mut self, outcome: Outcome, is_bad: bool) -> bool {
        let expected = if is_bad {
            RolloutState::RolledBack
        } else {
            RolloutState::Complete
        };
        let is_wrong = outcome.end.is_some_and(|(state, _)| state != expected);
        self.wrong += u64::from(is_wrong);
        match outcome.end {
            Some((_, end_ms)) => self.end_ms = self.end_ms.max(end_ms),
            None => self.unfinished += 1,
        }
        if is_bad {
            self.over_exposed += u64::from(outcome.is_over_exposed());
            self.late += u64::from(outcome.late > 0);
        }
        self.exposed += outcome.exposed;
        self.exposed_max = self.exposed_max.max(outcome.exposed);
        self.requests += outcome.requests;
        is_wrong
    }
}

fn seeds() -> u64 {
    let seeds = std::env::var("ROLLOUT_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

/// Runs one case with all seeds.
fn run_case(fleet: &Fleet, fault: Fault) -> Rates {
    let mut rates = Rates::default();
    for seed in 0..seeds() {
        let setup = Setup {
            daemons: fleet.daemons,
            servers: fleet.servers,
            rate_per_s: fleet.rate_per_s,
            step_ms: fleet.step_ms,
            fault,
            seed,
        };
        let outcome = Run::new(setup).run();
        if rates.add(outcome, fault.is_bad()) {
            println!("wrong: {setup:?} {outcome:?}");
        }
    }
    println!(
        "{}, {fault:?}, {} seeds: wrong {}, unfinished {}, over the bound {}, late {}; exposed \
         {:.4} of all, at most {}; last end {} ms",
        fleet.name,
        seeds(),
        rates.wrong,
        rates.unfinished,
        rates.over_exposed,
        rates.late,
        rates.exposed as f64 / rates.requests as f64,
        rates.exposed_max,
        rates.end_ms,
    );
    rates
}

fn check_fault(fault: Fault) {
    for fleet in &FLEETS {
        run_case(fleet, fault);
    }
}

#[test]
fn f0() {
    check_fault(FAULTS[0]);
}

#[test]
fn f1() {
    check_fault(FAULTS[1]);
}

#[test]
fn f2() {
    check_fault(FAULTS[2]);
}

#[test]
fn f3() {
    check_fault(FAULTS[3]);
}

#[test]
fn f4() {
    check_fault(FAULTS[4]);
}

#[test]
fn f5() {
    check_fault(FAULTS[5]);
}

#[test]
fn f6() {
    check_fault(FAULTS[6]);
}

#[test]
fn f7() {
    check_fault(FAULTS[7]);
}
