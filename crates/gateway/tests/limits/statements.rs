//! What a daemon takes for the limit in force after a series of answers.

use anvilgw_gateway::request_limit::{LimitStatement, RequestLimit, RequestRate, StatementSource};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("rate")
}

use Step::{Named, NotNamed, Told};

#[derive(Clone, Copy)]
enum Step {
    /// An answer that names a limit, at a time in milliseconds.
    Named(f64, u64),
    /// An answer without a limit.
    NotNamed(u64),
    /// A statement that another daemon has passed on.
    Told(Option<f64>, u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    in_force_per_s: Option<f64>,
}

const CASES: [Case; 10] = [
    Case {
        name: "never named",
        steps: &[NotNamed(0)],
        in_force_per_s: None,
    },
    Case {
        name: "named",
        steps: &[Named(2.5, 0)],
        in_force_per_s: Some(2.5),
    },
    Case {
        name: "changed",
        steps: &[Named(2.5, 0), Named(4.0, 10)],
        in_force_per_s: Some(4.0),
    },
    Case {
        name: "an answer without a limit overtakes",
        steps: &[Named(2.5, 0), NotNamed(20)],
        in_force_per_s: Some(2.5),
    },
    Case {
        name: "ended",
        steps: &[Named(2.5, 0), NotNamed(1_500)],
        in_force_per_s: None,
    },
    Case {
        name: "named again",
        steps: &[Named(2.5, 0), NotNamed(1_500), Named(3.0, 1_600)],
        in_force_per_s: Some(3.0),
    },
    Case {
        name: "learned from another daemon",
        steps: &[Told(Some(2.0), 100)],
        in_force_per_s: Some(2.0),
    },
    Case {
        name: "an older statement arrives late",
        steps: &[Named(2.5, 200), Told(Some(9.0), 100)],
        in_force_per_s: Some(2.5),
    },
    Case {
        name: "another daemon saw the end",
        steps: &[Named(2.5, 0), Told(None, 1_500)],
        in_force_per_s: None,
    },
    Case {
        name: "an older end arrives late",
        steps: &[Named(2.5, 2_000), Told(None, 1_500)],
        in_force_per_s: Some(2.5),
    },
];

/// Guards against a limit that is lost to an answer which overtook another, against one that stays
/// in force after the server has ended it, and against an old statement that replaces a newer one.
#[test]
fn the_newest_statement_of_a_server_is_in_force() {
    for case in CASES {
        let mut limit = RequestLimit::default();
        for step in case.steps {
            match *step {
                Named(per_s, ms) => limit.on_named(rate(per_s), at(ms)),
                NotNamed(ms) => limit.on_not_named(at(ms)),
                Told(per_s, ms) => limit.on_statement(
                    LimitStatement {
                        limit: per_s.map(rate),
                        stated_at: at(ms),
                        source: StatementSource::Fleet,
                    },
                    at(ms),
                ),
            };
        }
        let in_force = limit.in_force().map(RequestRate::per_s);
        assert_eq!(in_force, case.in_force_per_s, "{}", case.name);
    }
}
