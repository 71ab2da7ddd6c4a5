//! State of the freshness model.

use super::{FreshnessBounds, Step};
use crate::keyed::Keyed;
use anvilgw_core::DaemonId;
use anvilgw_fleet::{
    DaemonStatus, Epoch, FRESHNESS_LIMIT, Flaw, Freshness, PeerReport, PeerVerdict, RecordId,
};
use std::time::Duration;

const TICK: Duration = Duration::from_secs(1);

/// Uptime of a daemon at the start of the model, with evidence long in the past possible.
const BOOTED: Duration = Duration::from_secs(1_000);

fn id(index: usize) -> DaemonId {
    DaemonId {
        index: index as u32,
        incarnation: 1,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    freshness: Keyed<Freshness>,
    version: u64,
    is_isolated: bool,
    /// Ticks for which the clock stood still.
    stopped: u64,
    /// Peers heard since the clock stood still, as a set of bits; all of them before.
    heard: u32,
    /// Uptime at which a read began, and the version that it found.
    reading: Option<(Duration, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SlowAnswer {
    daemon: usize,
    report: Keyed<PeerReport>,
    /// Time of the model at which the peer made it.
    made: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Request {
    None,
    Accepted(usize),
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    now: u64,
    /// Version of the configuration in the log. The domain is out from version 1 on.
    version: u64,
    in_force: Option<u64>,
    daemons: Vec<Daemon>,
    slow_answer: Option<SlowAnswer>,
    request: Request,
    is_log_up: bool,
    events: u32,
    max_events: u32,
    stopped_ticks: u64,
    late_answers: u32,
    /// When the last clock that stood still went on.
    resumed: u64,
    late_work: Option<usize>,
}

impl World {
    pub(super) fn new(bounds: &FreshnessBounds, flaw: Option<Flaw>) -> Self {
        let epoch = Epoch {
            number: 1,
            members: (0..bounds.daemons).map(id).collect(),
            record: RecordId(1),
        };
        let daemon = |index| {
            let mut freshness = Freshness::new(id(index)).with_flaw(flaw);
            freshness.set_epoch(&epoch);
            freshness.on_log_read(BOOTED);
            Daemon {
                freshness: Keyed::new(freshness),
                version: 0,
                is_isolated: false,
                stopped: 0,
                heard: u32::MAX,
                reading: None,
            }
        };
        let mut world = Self {
            now: 0,
            version: 0,
            in_force: None,
            daemons: (0..bounds.daemons).map(daemon).collect(),
            slow_answer: None,
            request: Request::None,
            is_log_up: true,
            events: 0,
            max_events: bounds.events,
            stopped_ticks: 0,
            late_answers: 0,
            resumed: 0,
            late_work: None,
        };
        // Everyone has compared clocks with everyone.
        for daemon in 0..bounds.daemons {
            for peer in daemon + 1..bounds.daemons {
                world.exchange(daemon, peer, false);
            }
        }
        world
    }

    fn uptime(&self, daemon: usize) -> Duration {
        BOOTED + TICK * (self.now - self.daemons[daemon].stopped) as u32
    }

    fn vitals(&self, daemon: usize) -> DaemonStatus {
        self.daemons[daemon]
            .freshness
            .get()
            .daemon_status(self.uptime(daemon))
    }

    fn hear(&mut self, daemon: usize, report: &PeerReport, made: u64) {
        let uptime = self.uptime(daemon);
        let is_later = made >= self.resumed;
        let state = &mut self.daemons[daemon];
        let verdict = state
            .freshness
            .change(|freshness| freshness.on_peer_report(uptime, report));
        if is_later {
            state.heard |= 1 << report.peer.index;
        }
        if verdict == PeerVerdict::ClockStopped {
            state.heard = u32::MAX;
        }
    }

    /// Two daemons probe each other. One of the answers may be slow.
    fn exchange(&mut self, daemon: usize, peer: usize, is_slow: bool) {
        let answer_of = |from: usize, to: usize| PeerReport {
            peer: id(from),
            daemon_status: self.vitals(from),
            probe_sent: Some(self.uptime(to)),
        };
        let (answer, other_answer) = (answer_of(peer, daemon), answer_of(daemon, peer));
        self.hear(peer, &other_answer, self.now);
        if is_slow {
            self.late_answers += 1;
            self.slow_answer = Some(SlowAnswer {
                daemon,
                report: Keyed::new(answer),
                made: self.now,
            });
        } else {
            self.hear(daemon, &answer, self.now);
        }
    }

    fn end_read(&mut self, daemon: usize, began: Duration, version: u64) {
        let state = &mut self.daemons[daemon];
        state.version = state.version.max(version);
        state.freshness.change(|freshness| {
            freshness.set_config_version(version);
            freshness.on_log_read(began);
        });
    }

    fn may_work(&self, daemon: usize) -> bool {
        let freshness = self.daemons[daemon].freshness.get();
        freshness.may_take_new_work(self.uptime(daemon)).is_ok()
    }

    fn send(&mut self) {
        if let Request::Accepted(daemon) = self.request {
            let is_sent = self.daemons[daemon].version == 0;
            let limit = self
                .in_force
                .map(|since| TICK * since as u32 + FRESHNESS_LIMIT);
            let is_late = limit.is_some_and(|limit| TICK * self.now as u32 > limit);
            self.late_work = Some(daemon).filter(|_| is_sent && is_late);
        }
        self.request = Request::Ended;
    }

    pub(super) fn apply(&mut self, step: Step) {
        self.events += u32::from(step.is_event() && self.events < self.max_events);
        match step {
            Step::Clock => self.now += 1,
            Step::ClockWithout(daemon) => {
                self.now += 1;
                self.resumed = self.now;
                self.stopped_ticks += 1;
                self.daemons[daemon].stopped += 1;
                self.daemons[daemon].heard = 1 << daemon;
            }
            Step::DomainOut => self.version = 1,
            Step::LogDown => self.is_log_up = false,
            Step::Isolate(daemon) => self.daemons[daemon].is_isolated = true,
            Step::Read(daemon) => self.end_read(daemon, self.uptime(daemon), self.version),
            Step::ReadSlowly(daemon) => {
                self.daemons[daemon].reading = Some((self.uptime(daemon), self.version));
            }
            Step::EndRead(daemon) => {
                if let Some((began, version)) = self.daemons[daemon].reading.take() {
                    self.end_read(daemon, began, version);
                }
            }
            Step::FailRead(daemon) => {
                let began = self.uptime(daemon);
                let freshness = &mut self.daemons[daemon].freshness;
                freshness.change(|freshness| freshness.on_log_read_failed(began));
            }
            Step::Exchange { daemon, peer } => self.exchange(daemon, peer, false),
            Step::ExchangeSlowly { daemon, peer } => self.exchange(daemon, peer, true),
            Step::Deliver => {
                if let Some(slow) = self.slow_answer.take() {
                    self.hear(slow.daemon, slow.report.get(), slow.made);
                }
            }
            Step::CatchUp { daemon, peer } => {
                let version = self.daemons[peer].version;
                let state = &mut self.daemons[daemon];
                state.version = version;
                let freshness = &mut state.freshness;
                freshness.change(|freshness| freshness.set_config_version(version));
            }
            Step::Accept(daemon) => self.request = Request::Accepted(daemon),
            Step::Send => self.send(),
        }
        let applied = self.daemons.iter().filter(|daemon| daemon.version > 0);
        if self.in_force.is_none() && applied.count() * 2 > self.daemons.len() {
            self.in_force = Some(self.now);
        }
    }

    fn are_linked(&self, daemon: usize, peer: usize) -> bool {
        daemon != peer && !self.daemons[daemon].is_isolated && !self.daemons[peer].is_isolated
    }

    fn event_steps(&self, bounds: &FreshnessBounds, daemon: usize, steps: &mut Vec<Step>) {
        let state = &self.daemons[daemon];
        if self.is_log_up && state.reading.is_none() {
            steps.push(Step::Read(daemon));
            steps.extend(bounds.slow_reads.then_some(Step::ReadSlowly(daemon)));
        }
        // Further failures change nothing but the time of the next read.
        if self.vitals(daemon).reaches_log {
            steps.push(Step::FailRead(daemon));
        }
        for peer in (0..self.daemons.len()).filter(|peer| self.are_linked(daemon, *peer)) {
            // An exchange is symmetric.
            steps.extend((daemon < peer).then_some(Step::Exchange { daemon, peer }));
            if self.late_answers < bounds.late_answers {
                steps.push(Step::ExchangeSlowly { daemon, peer });
            }
        }
    }

    fn fault_steps(&self, bounds: &FreshnessBounds, steps: &mut Vec<Step>) {
        steps.extend((bounds.changes && self.version == 0).then_some(Step::DomainOut));
        steps.extend((bounds.outage && self.is_log_up).then_some(Step::LogDown));
        // The daemons are alike at the start, so the one concerned can have any number.
        let is_isolated = self.daemons[0].is_isolated;
        steps.extend((bounds.isolates && !is_isolated).then_some(Step::Isolate(0)));
        if self.stopped_ticks < bounds.stopped_ticks && self.now < bounds.ticks {
            steps.push(Step::ClockWithout(0));
        }
    }

    pub(super) fn steps(&self, bounds: &FreshnessBounds, rechecks: bool) -> Vec<Step> {
        let mut steps = Vec::new();
        let is_last = self.now >= bounds.ticks;
        steps.extend((!is_last).then_some(Step::Clock));
        steps.extend(self.slow_answer.is_some().then_some(Step::Deliver));
        self.fault_steps(bounds, &mut steps);
        if matches!(self.request, Request::Accepted(_)) {
            steps.push(Step::Send);
        }
        for daemon in 0..self.daemons.len() {
            let state = &self.daemons[daemon];
            if self.events < bounds.events || (is_last && !self.is_log_up) {
                self.event_steps(bounds, daemon, &mut steps);
            }
            steps.extend(state.reading.map(|_| Step::EndRead(daemon)));
            let peers = (0..self.daemons.len()).filter(|peer| self.are_linked(daemon, *peer));
            let newer = peers.filter(|peer| self.daemons[*peer].version > state.version);
            steps.extend(newer.map(|peer| Step::CatchUp { daemon, peer }));
            let accepts = !rechecks && self.request == Request::None && state.version == 0;
            steps.extend((accepts && self.may_work(daemon)).then_some(Step::Accept(daemon)));
        }
        steps
    }

    /// Whether the daemon can know how much time has passed.
    fn knows_time(&self, daemon: usize) -> bool {
        let others = (1 << self.daemons.len()) - 1;
        self.daemons[daemon].heard & others == others
    }

    pub(super) fn violation(&self) -> Option<String> {
        if let Some(daemon) = self.late_work {
            return Some(format!(
                "daemon {daemon} sends work into the domain too late"
            ));
        }
        let limit = TICK * self.in_force? as u32 + FRESHNESS_LIMIT;
        let late = (0..self.daemons.len()).find(|&daemon| {
            TICK * self.now as u32 > limit
                && self.daemons[daemon].version == 0
                && self.knows_time(daemon)
                && self.may_work(daemon)
        })?;
        Some(format!("daemon {late} takes work for the domain too late"))
    }

    /// Daemons that can be expected to work: in an outage of the log those in a majority.
    fn is_expected(&self, daemon: usize) -> bool {
        let peers = (0..self.daemons.len()).filter(|peer| self.are_linked(daemon, *peer));
        !self.is_log_up && (peers.count() + 1) * 2 > self.daemons.len()
    }

    pub(super) fn is_settled(&self) -> bool {
        let mut daemons = 0..self.daemons.len();
        let is_open = matches!(self.request, Request::Accepted(_));
        !is_open && daemons.all(|daemon| !self.is_expected(daemon) || self.may_work(daemon))
    }
}
