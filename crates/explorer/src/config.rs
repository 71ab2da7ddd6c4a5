//! Model of the configuration: daemons fold one stream while operators change the configuration,
//! the log service trims the stream, snapshots replace the trimmed records and daemons send their
//! configuration to peers.
//!
//! Simplifications: a read returns one record, which covers reads that end at any offset. A record
//! is trimmed only if an undamaged snapshot covers it, since the snapshot duty writes one long
//! before the record's retention ends. Each operator makes one change. Daemons are interchangeable,
//! so they are sorted after every step to merge equivalent states; a number in a trace is the
//! daemon's position in the state before that step and can name different daemons at different
//! steps.

mod state;

use crate::mutant::Mutant;
use crate::search::{Model, SearchOutcome, Successor, explore};
use state::SystemState;
use std::fmt;

/// Bounds of the configuration model. Within them every order of steps is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigBounds {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of operators, each of whom makes one change.
    pub operators: usize,
    /// Number of appends that are repeated after a lost answer.
    pub repeated_appends: u32,
    /// Number of snapshots that are written, by any daemon. The same snapshot may be written twice.
    pub snapshots: usize,
    /// Number of snapshots that are damaged when they are stored.
    pub damaged_snapshots: u32,
    /// Number of daemon crashes. A crashed daemon may start again.
    pub crashes: u32,
    /// Number of outages of the log service.
    pub outages: u32,
    /// Number of times that a daemon fetches a peer's configuration.
    pub peer_fetches: u32,
    /// Maximum number of states. A search that would exceed it is reported as incomplete.
    pub max_states: usize,
}

impl ConfigBounds {
    /// Returns the bounds that every CI run uses for races, repeated records, damaged snapshots and
    /// trimming.
    #[must_use]
    pub fn short() -> Self {
        Self {
            daemons: 2,
            operators: 2,
            repeated_appends: 1,
            snapshots: 2,
            damaged_snapshots: 1,
            crashes: 1,
            outages: 0,
            peer_fetches: 0,
            max_states: 1_000_000,
        }
    }

    /// Returns the bounds that every CI run uses for outages of the log and late answers of peers.
    #[must_use]
    pub fn short_peers() -> Self {
        Self {
            repeated_appends: 0,
            snapshots: 1,
            damaged_snapshots: 0,
            outages: 1,
            peer_fetches: 1,
            ..Self::short()
        }
    }

    /// Returns the bounds for long runs, with all kinds of steps together. The model may have more
    /// than `max_states` states; the search then covers all runs up to some number of steps.
    #[must_use]
    pub fn long() -> Self {
        Self {
            daemons: 3,
            outages: 1,
            peer_fetches: 1,
            max_states: 2_000_000,
            ..Self::short()
        }
    }
}

/// Explores the distribution of the configuration. Daemons with the same version have the same
/// configuration, versions never decrease and no accepted change is lost.
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
    AppendChange { operator: usize, daemon: usize },
    RepeatAppend(usize),
    ReadLog(usize),
    WriteSnapshot { daemon: usize, is_damaged: bool },
    TrimLog,
    LogDown,
    LogUp,
    Crash(usize),
    StartFromLog(usize),
    StartFromPeer { daemon: usize, peer: usize },
    FetchFromPeer { daemon: usize, peer: usize },
    DeliverUpdate(usize),
}

impl Step {
    fn is_fault(self) -> bool {
        match self {
            Self::RepeatAppend(_) | Self::LogDown | Self::Crash(_) => true,
            Self::WriteSnapshot { is_damaged, .. } => is_damaged,
            _ => false,
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AppendChange { operator, daemon } => write!(
                f,
                "operator {operator} appends a change to the version of daemon {daemon}"
            ),
            Self::RepeatAppend(operator) => {
                write!(f, "the append of operator {operator} is repeated")
            }
            Self::ReadLog(daemon) => write!(f, "daemon {daemon} reads the log"),
            Self::WriteSnapshot { daemon, is_damaged } => {
                let how = if *is_damaged {
                    ", which is damaged"
                } else {
                    ""
                };
                write!(f, "daemon {daemon} writes a snapshot{how}")
            }
            Self::TrimLog => write!(f, "the oldest record is trimmed"),
            Self::LogDown => write!(f, "the log goes down"),
            Self::LogUp => write!(f, "the log is available again"),
            Self::Crash(daemon) => write!(f, "daemon {daemon} crashes"),
            Self::StartFromLog(daemon) => write!(f, "daemon {daemon} starts from the log"),
            Self::StartFromPeer { daemon, peer } => {
                write!(
                    f,
                    "daemon {daemon} starts from the configuration of daemon {peer}"
                )
            }
            Self::FetchFromPeer { daemon, peer } => {
                write!(
                    f,
                    "daemon {daemon} fetches from daemon {peer}, which answers"
                )
            }
            Self::DeliverUpdate(daemon) => {
                write!(f, "daemon {daemon} gets the answer to its fetch")
            }
        }
    }
}

impl Model for ConfigModel {
    type State = SystemState;
    type Step = Step;

    fn initial_state(&self) -> SystemState {
        SystemState::new(&self.bounds, self.mutant.and_then(Mutant::config_flaw))
    }

    fn successors(&self, system: &SystemState) -> Vec<Successor<Self>> {
        let successor = |step: Step| {
            let mut state = system.clone();
            state.apply(step).then_some(Successor {
                state,
                step,
                is_fault: step.is_fault(),
            })
        };
        let steps = system.steps(&self.bounds);
        steps.into_iter().filter_map(successor).collect()
    }

    fn violation(&self, system: &SystemState) -> Option<String> {
        system.violation()
    }

    fn is_settled(&self, system: &SystemState) -> bool {
        system.is_settled()
    }
}
