//! Model of the view's freshness: daemons that read the log or don't, exchange reports, and take work
//! for a failure domain that an operator takes out meanwhile.
//!
//! Simplifications: a tick is half of the freshness limit. In an exchange two daemons probe
//! each other and both answer in one step; a bounded number of answers arrives later instead. A paused or isolated
//! daemon, or one without access to the log, is one that takes no such step for some ticks. Work is
//! checked and sent in one step, except for the mutant that does not check again. A stopped clock can be noticed only from peers, so a daemon whose clock
//! stopped counts again once it has heard all peers afterwards. The change is in force from the
//! moment at which a majority of the epoch has applied it.

mod world;

use crate::mutant::Mutant;
use crate::search::{Model, SearchOutcome, Successor, explore};
use std::fmt;
use world::World;

/// Bounds of the freshness model. Within them every order of steps is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBounds {
    /// Daemons, all of them members of the epoch.
    pub daemons: usize,
    /// Ticks of the clock.
    pub ticks: u64,
    /// Reads of the log and exchanges, without those in the last tick if there is an outage.
    pub events: u32,
    /// Whether an operator takes the domain out.
    pub changes: bool,
    /// Whether the log goes down for everyone. In the last tick there is no limit of events then, so
    /// that every daemon has the chance to recover.
    pub outage: bool,
    /// Whether a daemon can lose its connections to all others.
    pub isolates: bool,
    /// Ticks that pass while one daemon's clock stands still.
    pub stopped_ticks: u64,
    /// Answers that arrive late.
    pub late_answers: u32,
    /// Whether a read of the log can take time.
    pub slow_reads: bool,
    /// States after which the search gives up.
    pub max_states: usize,
}

impl FreshnessBounds {
    /// Bounds for every run of CI: the change, lost access to the log and lost exchanges.
    #[must_use]
    pub fn short() -> Self {
        Self {
            daemons: 3,
            ticks: 3,
            events: 3,
            changes: true,
            outage: false,
            isolates: false,
            stopped_ticks: 0,
            late_answers: 0,
            slow_reads: false,
            max_states: 400_000,
        }
    }

    /// Bounds for every run of CI: an outage of the log for everyone, with an isolated daemon.
    #[must_use]
    pub fn short_outage() -> Self {
        Self {
            events: 1,
            changes: false,
            outage: true,
            isolates: true,
            ..Self::short()
        }
    }

    /// Bounds for every run of CI: a clock that stops.
    #[must_use]
    pub fn short_clock() -> Self {
        Self {
            stopped_ticks: 2,
            ..Self::short()
        }
    }

    /// Bounds for every run of CI: slow reads and late answers.
    #[must_use]
    pub fn short_late() -> Self {
        Self {
            events: 2,
            late_answers: 1,
            slow_reads: true,
            ..Self::short()
        }
    }

    /// Bounds for long runs. The model may have more states than the search may hold, so it covers the
    /// runs up to some depth then.
    #[must_use]
    pub fn long() -> Self {
        Self {
            ticks: 5,
            events: 7,
            stopped_ticks: 2,
            late_answers: 1,
            slow_reads: true,
            max_states: 2_000_000,
            ..Self::short()
        }
    }
}

/// Explores the freshness of views.
#[must_use]
pub fn freshness_model(bounds: FreshnessBounds, mutant: Option<Mutant>) -> SearchOutcome {
    explore(&FreshnessModel { bounds, mutant }, bounds.max_states)
}

struct FreshnessModel {
    bounds: FreshnessBounds,
    mutant: Option<Mutant>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Clock,
    ClockWithout(usize),
    DomainOut,
    LogDown,
    Isolate(usize),
    Read(usize),
    ReadSlowly(usize),
    EndRead(usize),
    FailRead(usize),
    Exchange { daemon: usize, peer: usize },
    ExchangeSlowly { daemon: usize, peer: usize },
    Deliver,
    CatchUp { daemon: usize, peer: usize },
    Accept(usize),
    Send,
}

impl Step {
    fn is_event(self) -> bool {
        matches!(
            self,
            Self::Read(_)
                | Self::ReadSlowly(_)
                | Self::FailRead(_)
                | Self::Exchange { .. }
                | Self::ExchangeSlowly { .. }
        )
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clock => write!(f, "time passes"),
            Self::ClockWithout(daemon) => {
                write!(
                    f,
                    "time passes while daemon {daemon} and its clock stand still"
                )
            }
            Self::DomainOut => write!(f, "an operator takes the domain out"),
            Self::LogDown => write!(f, "the log goes down for everyone"),
            Self::Isolate(daemon) => write!(f, "daemon {daemon} is cut off from the others"),
            Self::Read(daemon) => write!(f, "daemon {daemon} reads the log"),
            Self::ReadSlowly(daemon) => write!(f, "daemon {daemon} begins to read the log"),
            Self::EndRead(daemon) => write!(f, "daemon {daemon} applies what it read"),
            Self::FailRead(daemon) => write!(f, "daemon {daemon} fails to read the log"),
            Self::Exchange { daemon, peer } => {
                write!(f, "daemons {daemon} and {peer} probe each other")
            }
            Self::ExchangeSlowly { daemon, peer } => {
                write!(
                    f,
                    "daemons {daemon} and {peer} probe each other, the answer of {peer} is slow"
                )
            }
            Self::Deliver => write!(f, "the slow answer arrives"),
            Self::CatchUp { daemon, peer } => {
                write!(f, "daemon {daemon} gets the configuration of daemon {peer}")
            }
            Self::Accept(daemon) => write!(f, "daemon {daemon} accepts work for the domain"),
            Self::Send => write!(f, "the work is sent, or refused"),
        }
    }
}

impl Model for FreshnessModel {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
        World::new(&self.bounds, self.mutant.and_then(Mutant::fleet_flaw))
    }

    fn successors(&self, world: &World) -> Vec<Successor<Self>> {
        let rechecks = self.mutant != Some(Mutant::FreshnessNotRechecked);
        let after = |step: Step| {
            let mut state = world.clone();
            state.apply(step);
            let is_fault = matches!(
                step,
                Step::ClockWithout(_) | Step::LogDown | Step::Isolate(_) | Step::DomainOut
            );
            Successor {
                state,
                step,
                is_fault,
            }
        };
        world
            .steps(&self.bounds, rechecks)
            .into_iter()
            .map(after)
            .collect()
    }

    fn violation(&self, world: &World) -> Option<String> {
        world.violation()
    }

    fn is_settled(&self, world: &World) -> bool {
        world.is_settled()
    }
}
