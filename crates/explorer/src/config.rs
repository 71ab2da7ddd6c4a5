//! Model of the configuration: daemons that fold one stream while two operators change it, the log
//! service trims it, snapshots replace what was trimmed and peers pass on what they know.
//!
//! Simplifications: a read returns one record, which covers reads that end anywhere. A record is
//! trimmed only if a good snapshot covers it, since the duty writes one long before the record's
//! retention ends. Each operator makes one change. Daemons are interchangeable, so they are sorted
//! after every step and the numbers in a trace are positions in the order of that state.

mod world;

use crate::mutant::Mutant;
use crate::search::{Model, SearchOutcome, Successor, explore};
use std::fmt;
use world::World;

/// Bounds of the configuration model. Within them every order of steps is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigBounds {
    /// Daemons.
    pub daemons: usize,
    /// Operators, each with one change.
    pub operators: usize,
    /// Appends that are repeated after a lost answer.
    pub repeats: u32,
    /// Snapshots that are written, by any daemon and also twice.
    pub snapshots: usize,
    /// Snapshots that arrive damaged.
    pub damages: u32,
    /// Ends of a daemon's process. Each can be started again.
    pub crashes: u32,
    /// Outages of the log service.
    pub outages: u32,
    /// Fetches of a peer's configuration.
    pub fetches: u32,
    /// States after which the search gives up.
    pub max_states: usize,
}

impl ConfigBounds {
    /// Bounds for every run of CI: races, repeated records, damaged snapshots and trimming.
    #[must_use]
    pub fn short() -> Self {
        Self {
            daemons: 2,
            operators: 2,
            repeats: 1,
            snapshots: 2,
            damages: 1,
            crashes: 1,
            outages: 0,
            fetches: 0,
            max_states: 1_000_000,
        }
    }

    /// Bounds for every run of CI: outages, peers and late answers of theirs.
    #[must_use]
    pub fn short_peers() -> Self {
        Self {
            repeats: 0,
            snapshots: 1,
            damages: 0,
            outages: 1,
            fetches: 1,
            ..Self::short()
        }
    }

    /// Bounds for long runs: everything together. The model may have more states than the search may hold,
    /// and it then covers the runs up to some depth.
    #[must_use]
    pub fn long() -> Self {
        Self {
            daemons: 3,
            outages: 1,
            fetches: 1,
            max_states: 2_000_000,
            ..Self::short()
        }
    }
}

/// Explores the configuration.
#[must_use]
pub fn config_model(bounds: ConfigBounds, mutant: Option<Mutant>) -> SearchOutcome {
    explore(&ConfigModel { bounds, mutant }, bounds.max_states)
}

struct ConfigModel {
    bounds: ConfigBounds,
    mutant: Option<Mutant>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Append { operator: usize, daemon: usize },
    Repeat(usize),
    Read(usize),
    WriteSnapshot { daemon: usize, is_damaged: bool },
    Trim,
    LogDown,
    LogUp,
    Crash(usize),
    StartFromLog(usize),
    StartFromPeer { daemon: usize, peer: usize },
    Fetch { daemon: usize, peer: usize },
    Deliver(usize),
}

impl Step {
    fn is_fault(self) -> bool {
        match self {
            Self::Repeat(_) | Self::LogDown | Self::Crash(_) => true,
            Self::WriteSnapshot { is_damaged, .. } => is_damaged,
            _ => false,
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append { operator, daemon } => write!(
                f,
                "operator {operator} appends a change to the version of daemon {daemon}"
            ),
            Self::Repeat(operator) => write!(f, "the append of operator {operator} is repeated"),
            Self::Read(daemon) => write!(f, "daemon {daemon} reads the log"),
            Self::WriteSnapshot { daemon, is_damaged } => {
                let how = if *is_damaged {
                    ", which is damaged"
                } else {
                    ""
                };
                write!(f, "daemon {daemon} writes a snapshot{how}")
            }
            Self::Trim => write!(f, "the oldest record is trimmed"),
            Self::LogDown => write!(f, "the log goes down"),
            Self::LogUp => write!(f, "the log returns"),
            Self::Crash(daemon) => write!(f, "daemon {daemon} ends"),
            Self::StartFromLog(daemon) => write!(f, "daemon {daemon} starts from the log"),
            Self::StartFromPeer { daemon, peer } => {
                write!(f, "daemon {daemon} starts from daemon {peer}")
            }
            Self::Fetch { daemon, peer } => {
                write!(f, "daemon {peer} answers the fetch of daemon {daemon}")
            }
            Self::Deliver(daemon) => write!(f, "daemon {daemon} gets the answer to its fetch"),
        }
    }
}

impl Model for ConfigModel {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
        World::new(&self.bounds, self.mutant.and_then(Mutant::config_flaw))
    }

    fn successors(&self, world: &World) -> Vec<Successor<Self>> {
        let after = |step: Step| {
            let mut state = world.clone();
            state.apply(step).then_some(Successor {
                state,
                step,
                is_fault: step.is_fault(),
            })
        };
        let steps = world.steps(&self.bounds);
        steps.into_iter().filter_map(after).collect()
    }

    fn violation(&self, world: &World) -> Option<String> {
        world.violation()
    }

    fn is_settled(&self, world: &World) -> bool {
        world.is_settled()
    }
}
