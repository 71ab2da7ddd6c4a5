//! Model of the freshness of a daemon's view: daemons read the log or fail to, exchange reports,
//! and take work for a failure domain that an operator takes out of service meanwhile.
//!
//! Simplifications: a tick is half of the freshness limit. In an exchange two daemons probe each
//! other and both answer in one step; a bounded number of answers arrives in a later step instead.
//! A daemon that is paused or isolated, or has no access to the log, is one that takes no such step
//! for some ticks. Work is checked and sent in one step, except with the mutant that does not check
//! again. Only the reports of its peers let a daemon notice that its clock stopped, so the
//! invariant covers such a daemon again once it has received a report from every peer afterwards.
//! The change is in force as soon as a majority of the epoch's members has applied it.

mod state;

use crate::mutant::Mutant;
use crate::search::{Model, SearchOutcome, Successor, explore};
use state::SystemState;
use std::fmt;

/// Bounds of the freshness model. Within them every order of steps is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBounds {
    /// Number of daemons, all of them members of the epoch.
    pub daemons: usize,
    /// Number of ticks of the clock.
    pub ticks: u64,
    /// Number of reads of the log, failed ones included, and exchanges of reports. Does not limit
    /// them in the last tick if the log is down.
    pub events: u32,
    /// Whether an operator may take the failure domain out of service.
    pub takes_domain_out: bool,
    /// Whether the log may go down for all daemons. In the last tick the number of events is
    /// then unlimited, so that every daemon can recover.
    pub has_log_outage: bool,
    /// Whether one daemon may lose its connections to all others.
    pub isolates_daemon: bool,
    /// Number of ticks that one daemon's clock may miss because it stands still.
    pub stopped_ticks: u64,
    /// Number of answers in exchanges that may arrive in a later step.
    pub late_answers: u32,
    /// Whether a read of the log may take time, so that other steps come between its start and its
    /// end.
    pub slow_reads: bool,
    /// Maximum number of states. A search that would exceed it is reported as incomplete.
    pub max_states: usize,
}

impl FreshnessBounds {
    /// Returns the bounds that every CI run uses for the change of the failure domain, daemons
    /// without access to the log and lost exchanges.
    #[must_use]
    pub fn short() -> Self {
        Self {
            daemons: 3,
            ticks: 3,
            events: 3,
            takes_domain_out: true,
            has_log_outage: false,
            isolates_daemon: false,
            stopped_ticks: 0,
            late_answers: 0,
            slow_reads: false,
            max_states: 400_000,
        }
    }

    /// Returns the bounds that every CI run uses for an outage of the log for all daemons, with an
    /// isolated daemon.
    #[must_use]
    pub fn short_outage() -> Self {
        Self {
            events: 1,
            takes_domain_out: false,
            has_log_outage: true,
            isolates_daemon: true,
            ..Self::short()
        }
    }

    /// Returns the bounds that every CI run uses for a clock that stops.
    #[must_use]
    pub fn short_clock() -> Self {
        Self {
            stopped_ticks: 2,
            ..Self::short()
        }
    }

    /// Returns the bounds that every CI run uses for slow reads and late answers.
    #[must_use]
    pub fn short_late() -> Self {
        Self {
            events: 2,
            late_answers: 1,
            slow_reads: true,
            ..Self::short()
        }
    }

    /// Returns the bounds for long runs. The model may have more than `max_states` states; the
    /// search then covers all runs up to some number of steps.
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

/// Explores the freshness of the daemons' views. No daemon may take or send work for a failure
/// domain later than the freshness limit after the domain was taken out.
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
    AdvanceClock,
    AdvanceClockExcept(usize),
    TakeDomainOut,
    LogDown,
    Isolate(usize),
    ReadLog(usize),
    BeginSlowRead(usize),
    CompleteRead(usize),
    FailRead(usize),
    ExchangeReports { daemon: usize, peer: usize },
    ExchangeWithSlowAnswer { daemon: usize, peer: usize },
    DeliverSlowAnswer,
    FetchConfig { daemon: usize, peer: usize },
    AcceptWork(usize),
    SendWork,
}

impl Step {
    fn counts_as_event(self) -> bool {
        matches!(
            self,
            Self::ReadLog(_)
                | Self::BeginSlowRead(_)
                | Self::FailRead(_)
                | Self::ExchangeReports { .. }
                | Self::ExchangeWithSlowAnswer { .. }
        )
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AdvanceClock => write!(f, "time passes"),
            Self::AdvanceClockExcept(daemon) => {
                write!(
                    f,
                    "time passes while daemon {daemon} and its clock stand still"
                )
            }
            Self::TakeDomainOut => write!(f, "an operator takes the domain out"),
            Self::LogDown => write!(f, "the log goes down for all daemons"),
            Self::Isolate(daemon) => {
                write!(f, "daemon {daemon} loses its connections to the others")
            }
            Self::ReadLog(daemon) => write!(f, "daemon {daemon} reads the log"),
            Self::BeginSlowRead(daemon) => write!(f, "daemon {daemon} begins to read the log"),
            Self::CompleteRead(daemon) => write!(f, "daemon {daemon} applies what it read"),
            Self::FailRead(daemon) => write!(f, "daemon {daemon} fails to read the log"),
            Self::ExchangeReports { daemon, peer } => {
                write!(f, "daemons {daemon} and {peer} probe each other")
            }
            Self::ExchangeWithSlowAnswer { daemon, peer } => {
                write!(
                    f,
                    "daemons {daemon} and {peer} probe each other, the answer of {peer} is slow"
                )
            }
            Self::DeliverSlowAnswer => write!(f, "the slow answer arrives"),
            Self::FetchConfig { daemon, peer } => {
                write!(f, "daemon {daemon} gets the configuration of daemon {peer}")
            }
            Self::AcceptWork(daemon) => write!(f, "daemon {daemon} accepts work for the domain"),
            Self::SendWork => write!(f, "the accepted work is sent or refused"),
        }
    }
}

impl Model for FreshnessModel {
    type State = SystemState;
    type Step = Step;

    fn initial_state(&self) -> SystemState {
        SystemState::new(&self.bounds, self.mutant.and_then(Mutant::fleet_flaw))
    }

    fn successors(&self, system: &SystemState) -> Vec<Successor<Self>> {
        let rechecks_freshness = self.mutant != Some(Mutant::FreshnessNotRechecked);
        let successor = |step: Step| {
            let mut state = system.clone();
            state.apply(step);
            let is_fault = matches!(
                step,
                Step::AdvanceClockExcept(_)
                    | Step::LogDown
                    | Step::Isolate(_)
                    | Step::TakeDomainOut
            );
            Successor {
                state,
                step,
                is_fault,
            }
        };
        system
            .steps(&self.bounds, rechecks_freshness)
            .into_iter()
            .map(successor)
            .collect()
    }

    fn violation(&self, system: &SystemState) -> Option<String> {
        system.violation()
    }

    fn is_settled(&self, system: &SystemState) -> bool {
        system.is_settled()
    }
}
