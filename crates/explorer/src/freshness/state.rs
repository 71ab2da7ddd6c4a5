//! State of the freshness model.

use super::{FreshnessBounds, Step};
use crate::digested::Digested;
use anvilgw_core::DaemonId;
use anvilgw_fleet::{
    DaemonStatus, Epoch, FRESHNESS_LIMIT, Flaw, Freshness, PeerReport, PeerVerdict, RecordId,
};
use std::time::Duration;

const TICK: Duration = Duration::from_secs(1);

/// Uptime of a daemon at the start of the model, large enough for times far in the past.
const INITIAL_UPTIME: Duration = Duration::from_secs(1_000);

fn daemon_id(index: usize) -> DaemonId {
    DaemonId {
        index: index as u32,
        incarnation: 1,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    freshness: Digested<Freshness>,
    version: u64,
    is_isolated: bool,
    /// Number of ticks that the daemon's clock has missed.
    stopped_ticks: u64,
    /// Bit set of the daemons heard since the clock last stood still, with the daemon itself. All
    /// bits are set if it never stood still or the daemon has noticed it.
    heard_peers: u32,
    /// Uptime at which the slow read began, and the version that it found in the log.
    pending_read: Option<(Duration, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SlowAnswer {
    daemon: usize,
    report: Digested<PeerReport>,
    /// Tick of the model at which the peer made the report.
    made_at: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Work {
    None,
    Accepted(usize),
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SystemState {
    now: u64,
    /// Version of the configuration in the log. The failure domain is out of service from version 1
    /// on.
    version: u64,
    in_force_since: Option<u64>,
    daemons: Vec<Daemon>,
    slow_answer: Option<SlowAnswer>,
    work: Work,
    is_log_up: bool,
    events: u32,
    max_events: u32,
    stopped_ticks: u64,
    late_answers: u32,
    /// Tick at which the clock that stood still last resumed.
    clock_resumed_at: u64,
    sent_late_by: Option<usize>,
}

impl SystemState {
    pub(super) fn new(bounds: &FreshnessBounds, flaw: Option<Flaw>) -> Self {
        let epoch = Epoch {
            number: 1,
            members: (0..bounds.daemons).map(daemon_id).collect(),
            record: RecordId(1),
        };
        let daemon = |index| {
            let mut freshness = Freshness::new(daemon_id(index)).with_flaw(flaw);
            freshness.set_epoch(&epoch);
            freshness.on_log_read(INITIAL_UPTIME);
            Daemon {
                freshness: Digested::new(freshness),
                version: 0,
                is_isolated: false,
                stopped_ticks: 0,
                heard_peers: u32::MAX,
                pending_read: None,
            }
        };
        let mut system = Self {
            now: 0,
            version: 0,
            in_force_since: None,
            daemons: (0..bounds.daemons).map(daemon).collect(),
            slow_answer: None,
            work: Work::None,
            is_log_up: true,
            events: 0,
            max_events: bounds.events,
            stopped_ticks: 0,
            late_answers: 0,
            clock_resumed_at: 0,
            sent_late_by: None,
        };
        // Every two daemons have compared their clocks.
        for daemon in 0..bounds.daemons {
            for peer in daemon + 1..bounds.daemons {
                system.exchange(daemon, peer, false);
            }
        }
        system
    }

    fn uptime(&self, daemon: usize) -> Duration {
        INITIAL_UPTIME + TICK * (self.now - self.daemons[daemon].stopped_ticks) as u32
    }

    fn daemon_status(&self, daemon: usize) -> DaemonStatus {
        self.daemons[daemon]
            .freshness
            .get()
            .daemon_status(self.uptime(daemon))
    }

    fn receive_report(&mut self, daemon: usize, report: &PeerReport, made_at: u64) {
        let uptime = self.uptime(daemon);
        let is_after_resume = made_at >= self.clock_resumed_at;
        let state = &mut self.daemons[daemon];
        let verdict = state
            .freshness
            .update(|freshness| freshness.on_peer_report(uptime, report));
        if is_after_resume {
            state.heard_peers |= 1 << report.peer.index;
        }
        if verdict == PeerVerdict::ClockStopped {
            state.heard_peers = u32::MAX;
        }
    }

    /// Lets two daemons probe each other. The answer to `daemon` is delayed if `is_slow`.
    fn exchange(&mut self, daemon: usize, peer: usize, is_slow: bool) {
        let answer_of = |from: usize, to: usize| PeerReport {
            peer: daemon_id(from),
            daemon_status: self.daemon_status(from),
            probe_sent: Some(self.uptime(to)),
        };
        let (answer, other_answer) = (answer_of(peer, daemon), answer_of(daemon, peer));
        self.receive_report(peer, &other_answer, self.now);
        if is_slow {
            self.late_answers += 1;
            self.slow_answer = Some(SlowAnswer {
                daemon,
                report: Digested::new(answer),
                made_at: self.now,
            });
        } else {
            self.receive_report(daemon, &answer, self.now);
        }
    }

    fn complete_read(&mut self, daemon: usize, began_at: Duration, version: u64) {
        let state = &mut self.daemons[daemon];
        state.version = state.version.max(version);
        state.freshness.update(|freshness| {
            freshness.set_config_version(version);
            freshness.on_log_read(began_at);
        });
    }

    fn may_take_work(&self, daemon: usize) -> bool {
        let freshness = self.daemons[daemon].freshness.get();
        freshness.may_take_new_work(self.uptime(daemon)).is_ok()
    }

    fn send_work(&mut self) {
        if let Work::Accepted(daemon) = self.work {
            let is_sent = self.daemons[daemon].version == 0;
            let limit = self
                .in_force_since
                .map(|since| TICK * since as u32 + FRESHNESS_LIMIT);
            let is_late = limit.is_some_and(|limit| TICK * self.now as u32 > limit);
            self.sent_late_by = Some(daemon).filter(|_| is_sent && is_late);
        }
        self.work = Work::Ended;
    }

    pub(super) fn apply(&mut self, step: Step) {
        self.events += u32::from(step.counts_as_event() && self.events < self.max_events);
        match step {
            Step::AdvanceClock => self.now += 1,
            Step::AdvanceClockExcept(daemon) => {
                self.now += 1;
                self.clock_resumed_at = self.now;
                self.stopped_ticks += 1;
                self.daemons[daemon].stopped_ticks += 1;
                self.daemons[daemon].heard_peers = 1 << daemon;
            }
            Step::TakeDomainOut => self.version = 1,
            Step::LogDown => self.is_log_up = false,
            Step::Isolate(daemon) => self.daemons[daemon].is_isolated = true,
            Step::ReadLog(daemon) => self.complete_read(daemon, self.uptime(daemon), self.version),
            Step::BeginSlowRead(daemon) => {
                self.daemons[daemon].pending_read = Some((self.uptime(daemon), self.version));
            }
            Step::CompleteRead(daemon) => {
                if let Some((began_at, version)) = self.daemons[daemon].pending_read.take() {
                    self.complete_read(daemon, began_at, version);
                }
            }
            Step::FailRead(daemon) => {
                let began_at = self.uptime(daemon);
                let freshness = &mut self.daemons[daemon].freshness;
                freshness.update(|freshness| freshness.on_log_read_failed(began_at));
            }
            Step::ExchangeReports { daemon, peer } => self.exchange(daemon, peer, false),
            Step::ExchangeWithSlowAnswer { daemon, peer } => self.exchange(daemon, peer, true),
            Step::DeliverSlowAnswer => {
                if let Some(slow) = self.slow_answer.take() {
                    self.receive_report(slow.daemon, slow.report.get(), slow.made_at);
                }
            }
            Step::FetchConfig { daemon, peer } => {
                let version = self.daemons[peer].version;
                let state = &mut self.daemons[daemon];
                state.version = version;
                let freshness = &mut state.freshness;
                freshness.update(|freshness| freshness.set_config_version(version));
            }
            Step::AcceptWork(daemon) => self.work = Work::Accepted(daemon),
            Step::SendWork => self.send_work(),
        }
        let applied = self.daemons.iter().filter(|daemon| daemon.version > 0);
        if self.in_force_since.is_none() && applied.count() * 2 > self.daemons.len() {
            self.in_force_since = Some(self.now);
        }
    }

    fn are_connected(&self, daemon: usize, peer: usize) -> bool {
        daemon != peer && !self.daemons[daemon].is_isolated && !self.daemons[peer].is_isolated
    }

    fn event_steps(&self, bounds: &FreshnessBounds, daemon: usize, steps: &mut Vec<Step>) {
        let state = &self.daemons[daemon];
        if self.is_log_up && state.pending_read.is_none() {
            steps.push(Step::ReadLog(daemon));
            steps.extend(bounds.slow_reads.then_some(Step::BeginSlowRead(daemon)));
        }
        // Further failures change only the time of the next read.
        if self.daemon_status(daemon).reaches_log {
            steps.push(Step::FailRead(daemon));
        }
        for peer in (0..self.daemons.len()).filter(|peer| self.are_connected(daemon, *peer)) {
            // An exchange is symmetric.
            steps.extend((daemon < peer).then_some(Step::ExchangeReports { daemon, peer }));
            if self.late_answers < bounds.late_answers {
                steps.push(Step::ExchangeWithSlowAnswer { daemon, peer });
            }
        }
    }

    fn fault_steps(&self, bounds: &FreshnessBounds, steps: &mut Vec<Step>) {
        steps.extend((bounds.takes_domain_out && self.version == 0).then_some(Step::TakeDomainOut));
        steps.extend((bounds.has_log_outage && self.is_log_up).then_some(Step::LogDown));
        // The daemons are interchangeable at the start, so only the first one is isolated or has a
        // clock that stops.
        let is_isolated = self.daemons[0].is_isolated;
        steps.extend((bounds.isolates_daemon && !is_isolated).then_some(Step::Isolate(0)));
        if self.stopped_ticks < bounds.stopped_ticks && self.now < bounds.ticks {
            steps.push(Step::AdvanceClockExcept(0));
        }
    }

    pub(super) fn steps(&self, bounds: &FreshnessBounds, rechecks_freshness: bool) -> Vec<Step> {
        let mut steps = Vec::new();
        let is_last = self.now >= bounds.ticks;
        steps.extend((!is_last).then_some(Step::AdvanceClock));
        steps.extend(
            self.slow_answer
                .is_some()
                .then_some(Step::DeliverSlowAnswer),
        );
        self.fault_steps(bounds, &mut steps);
        if matches!(self.work, Work::Accepted(_)) {
            steps.push(Step::SendWork);
        }
        for daemon in 0..self.daemons.len() {
            let state = &self.daemons[daemon];
            if self.events < bounds.events || (is_last && !self.is_log_up) {
                self.event_steps(bounds, daemon, &mut steps);
            }
            steps.extend(state.pending_read.map(|_| Step::CompleteRead(daemon)));
            let peers = (0..self.daemons.len()).filter(|peer| self.are_connected(daemon, *peer));
            let newer = peers.filter(|peer| self.daemons[*peer].version > state.version);
            steps.extend(newer.map(|peer| Step::FetchConfig { daemon, peer }));
            let may_accept = !rechecks_freshness && self.work == Work::None && state.version == 0;
            steps.extend(
                (may_accept && self.may_take_work(daemon)).then_some(Step::AcceptWork(daemon)),
            );
        }
        steps
    }

    /// Returns whether the daemon can know how much time has passed, because it has heard all peers
    /// since its clock stood still.
    fn knows_time(&self, daemon: usize) -> bool {
        let others = (1 << self.daemons.len()) - 1;
        self.daemons[daemon].heard_peers & others == others
    }

    pub(super) fn violation(&self) -> Option<String> {
        if let Some(daemon) = self.sent_late_by {
            return Some(format!(
                "daemon {daemon} sends work for the domain too late"
            ));
        }
        let limit = TICK * self.in_force_since? as u32 + FRESHNESS_LIMIT;
        let late = (0..self.daemons.len()).find(|&daemon| {
            TICK * self.now as u32 > limit
                && self.daemons[daemon].version == 0
                && self.knows_time(daemon)
                && self.may_take_work(daemon)
        })?;
        Some(format!("daemon {late} takes work for the domain too late"))
    }

    /// Returns whether the daemon has to be able to take work: in an outage of the log if it is
    /// connected to a majority.
    fn is_expected_to_work(&self, daemon: usize) -> bool {
        let peers = (0..self.daemons.len()).filter(|peer| self.are_connected(daemon, *peer));
        !self.is_log_up && (peers.count() + 1) * 2 > self.daemons.len()
    }

    pub(super) fn is_settled(&self) -> bool {
        let mut daemons = 0..self.daemons.len();
        let is_open = matches!(self.work, Work::Accepted(_));
        !is_open
            && daemons.all(|daemon| !self.is_expected_to_work(daemon) || self.may_take_work(daemon))
    }
}
