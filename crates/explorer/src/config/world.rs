//! State of the configuration model.

use super::{ConfigBounds, Step};
use crate::keyed::Keyed;
use anvilgw_config::{
    Bootstrap, ConfigChange, ConfigFold, ConfigRecord, ConfigState, Flaw, FoldError,
    Outcome as RecordEnd, PeerUpdate, RecordId, Snapshot,
};
use anvilgw_core::{LogRecord, LogSlice, Offset};
use std::collections::BTreeSet;
use uuid::Uuid;

/// What each operator takes out of service.
const DOMAINS: [&str; 3] = ["porto", "braga", "evora"];

/// Content of a damaged snapshot that no operator asked for.
const DAMAGE: &str = "lagos";

/// A record of the log: the change of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    operator: usize,
    expected_version: u64,
}

impl Entry {
    fn record(self) -> ConfigRecord {
        ConfigRecord {
            record_id: record_id(self.operator),
            author: format!("operator-{}", self.operator),
            written_ms: 1,
            expected_version: self.expected_version,
            change: ConfigChange::DomainOut(DOMAINS[self.operator].to_owned()),
        }
    }
}

fn record_id(operator: usize) -> RecordId {
    RecordId(Uuid::from_u128(operator as u128))
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Stored {
    snapshot: Keyed<Snapshot>,
    is_damaged: bool,
}

impl Stored {
    /// Bytes in the log. Damage leaves a snapshot that can be decoded and has the digest of another.
    fn payload(&self) -> Vec<u8> {
        let good = self.snapshot.get().encode();
        if !self.is_damaged {
            return good;
        }
        let mut altered = self.snapshot.get().clone();
        altered.state.domains_out.insert(DAMAGE.to_owned());
        let altered = altered.encode();
        let content = |bytes: &[u8]| {
            let key = b"\"snapshot\":";
            let found = bytes.windows(key.len()).position(|part| part == key);
            found.expect("an encoded snapshot has a content")
        };
        [&good[..content(&good)], &altered[content(&altered)..]].concat()
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Daemon {
    fold: Keyed<ConfigFold>,
    /// Highest version that this process has had.
    highest: u64,
    /// Answer to a fetch that is on its way.
    update: Option<Keyed<PeerUpdate>>,
}

impl Daemon {
    fn new(fold: ConfigFold) -> Self {
        Self {
            highest: fold.current().version,
            fold: Keyed::new(fold),
            update: None,
        }
    }

    /// Order without a meaning, equal for equal states.
    fn rank(daemon: &Option<Self>) -> impl Ord + use<> {
        daemon.as_ref().map(|daemon| {
            let update = daemon.update.as_ref().map(Keyed::key);
            (daemon.fold.key(), daemon.highest, update)
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Operator {
    Idle,
    Appended(Entry),
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct World {
    flaw: Option<Flaw>,
    log: Vec<Entry>,
    first_offset: usize,
    is_log_up: bool,
    snapshots: Vec<Stored>,
    /// `None`: not running.
    daemons: Vec<Option<Daemon>>,
    operators: Vec<Operator>,
    repeats: u32,
    damages: u32,
    crashes: u32,
    outages: u32,
    fetches: u32,
    /// A decision that no daemon may make in this model.
    fault: Option<&'static str>,
}

impl World {
    pub(super) fn new(bounds: &ConfigBounds, flaw: Option<Flaw>) -> Self {
        let daemon = Daemon::new(ConfigFold::new().with_flaw(flaw));
        Self {
            flaw,
            log: Vec::new(),
            first_offset: 0,
            is_log_up: true,
            snapshots: Vec::new(),
            daemons: vec![Some(daemon); bounds.daemons],
            operators: vec![Operator::Idle; bounds.operators],
            repeats: 0,
            damages: 0,
            crashes: 0,
            outages: 0,
            fetches: 0,
            fault: None,
        }
    }

    /// Operators whose changes are accepted, in order, by the rule and not by the decision code: of
    /// the records with one expected version the first counts.
    fn accepted(&self) -> Vec<usize> {
        let mut accepted = Vec::new();
        let mut seen = BTreeSet::new();
        for entry in &self.log {
            if seen.insert(entry.operator) && entry.expected_version == accepted.len() as u64 {
                accepted.push(entry.operator);
            }
        }
        accepted
    }

    fn bootstrap(&self) -> Bootstrap {
        let mut bootstrap = Bootstrap::new().with_flaw(self.flaw);
        for (number, stored) in self.snapshots.iter().enumerate() {
            let record = LogRecord {
                offset: Offset(number as u64),
                payload: stored.payload(),
            };
            // A damaged snapshot is counted by the bootstrap and has no other effect.
            drop(bootstrap.add_snapshot(&record));
        }
        bootstrap
    }

    fn slice(&self, from: u64) -> LogSlice {
        let from = (from as usize).max(self.first_offset);
        let records = self.log.get(from).map(|entry| LogRecord {
            offset: Offset(from as u64),
            payload: entry.record().encode().expect("the record is small"),
        });
        LogSlice {
            first_offset: Offset(self.first_offset as u64),
            next_offset: Offset(self.log.len() as u64),
            records: records.into_iter().collect(),
        }
    }

    fn running(&self) -> impl Iterator<Item = (usize, &Daemon)> {
        let daemons = self.daemons.iter().enumerate();
        daemons.filter_map(|(number, daemon)| Some((number, daemon.as_ref()?)))
    }

    fn fold(&self, daemon: usize) -> &ConfigFold {
        let daemon = self.daemons[daemon].as_ref();
        daemon.expect("the daemon runs").fold.get()
    }

    /// Carries out a change of a daemon's fold.
    fn change<R>(&mut self, daemon: usize, change: impl FnOnce(&mut ConfigFold) -> R) -> R {
        let daemon = self.daemons[daemon].as_mut().expect("the daemon runs");
        let result = daemon.fold.change(change);
        daemon.highest = daemon.highest.max(daemon.fold.get().current().version);
        result
    }

    fn read(&mut self, daemon: usize) {
        let next = self.fold(daemon).next_offset();
        let slice = next.map(|next| self.slice(next.0));
        let folded = slice.map(|slice| self.change(daemon, |fold| fold.fold_slice(&slice, drop)));
        match folded {
            Some(Ok(())) => {}
            None | Some(Err(FoldError::Gap(..))) => {
                let bootstrap = self.bootstrap();
                let first_offset = Offset(self.first_offset as u64);
                let restarted =
                    self.change(daemon, |fold| fold.resync_with_log(bootstrap, first_offset));
                if restarted.is_err() {
                    self.fault = Some("a daemon cannot connect with the log");
                }
            }
            Some(Err(_)) => self.fault = Some("a daemon stops at a record of the log"),
        }
    }

    fn start(&mut self, daemon: usize, fold: Option<ConfigFold>) {
        match fold {
            Some(fold) => self.daemons[daemon] = Some(Daemon::new(fold)),
            None => self.fault = Some("a daemon cannot start from the log"),
        }
    }

    fn deliver(&mut self, daemon: usize) {
        let update = self.daemons[daemon].as_mut();
        let update = update.and_then(|daemon| daemon.update.take());
        let Some(update) = update else { return };
        if self
            .change(daemon, |fold| fold.apply_update(update.get().clone()))
            .is_err()
        {
            self.fault = Some("a daemon refuses the update of a peer");
        }
    }

    /// Carries out a step. Returns whether it changed anything.
    pub(super) fn apply(&mut self, step: Step) -> bool {
        let before = self.clone();
        match step {
            Step::Append { operator, daemon } => {
                let entry = Entry {
                    operator,
                    expected_version: self.fold(daemon).current().version,
                };
                self.log.push(entry);
                self.operators[operator] = Operator::Appended(entry);
            }
            Step::Repeat(operator) => {
                self.repeats += 1;
                if let Operator::Appended(entry) = self.operators[operator] {
                    self.log.push(entry);
                }
            }
            Step::Read(daemon) => self.read(daemon),
            Step::WriteSnapshot { daemon, is_damaged } => {
                self.damages += u32::from(is_damaged);
                let snapshot = self.fold(daemon).snapshot();
                self.snapshots.extend(snapshot.map(|snapshot| Stored {
                    snapshot: Keyed::new(snapshot),
                    is_damaged,
                }));
            }
            Step::Trim => self.first_offset += 1,
            Step::LogDown => {
                self.is_log_up = false;
                self.outages += 1;
            }
            Step::LogUp => self.is_log_up = true,
            Step::Crash(daemon) => {
                self.daemons[daemon] = None;
                self.crashes += 1;
            }
            Step::StartFromLog(daemon) => {
                let first_offset = Offset(self.first_offset as u64);
                let fold = self.bootstrap().start(first_offset).ok();
                self.start(daemon, fold);
            }
            Step::StartFromPeer { daemon, peer } => {
                let state = ConfigState::clone(&self.fold(peer).current());
                let fold = ConfigFold::from_peer(state).with_flaw(self.flaw);
                self.start(daemon, Some(fold));
            }
            Step::Fetch { daemon, peer } => {
                self.fetches += 1;
                let version = self.fold(daemon).current().version;
                let update = Keyed::new(self.fold(peer).update_since(version));
                self.daemons[daemon].as_mut().expect("it runs").update = Some(update);
            }
            Step::Deliver(daemon) => self.deliver(daemon),
        }
        self.daemons.sort_by_cached_key(Daemon::rank);
        *self != before
    }

    fn is_covered(&self, offset: usize) -> bool {
        self.snapshots.iter().any(|stored| {
            !stored.is_damaged && stored.snapshot.get().through_offset.0 >= offset as u64
        })
    }

    fn log_steps(&self, bounds: &ConfigBounds, steps: &mut Vec<Step>) {
        for (operator, state) in self.operators.iter().enumerate() {
            if *state == Operator::Idle {
                let daemons = self.running().map(|(daemon, _)| daemon);
                steps.extend(daemons.map(|daemon| Step::Append { operator, daemon }));
            }
            if *state != Operator::Idle && self.repeats < bounds.repeats {
                steps.push(Step::Repeat(operator));
            }
        }
        for (daemon, running) in self.daemons.iter().enumerate() {
            match running {
                None => steps.push(Step::StartFromLog(daemon)),
                Some(running) => {
                    steps.push(Step::Read(daemon));
                    let has_snapshot = running.fold.get().next_offset() > Some(Offset(0));
                    if has_snapshot && self.snapshots.len() < bounds.snapshots {
                        let write = |is_damaged| Step::WriteSnapshot { daemon, is_damaged };
                        steps.push(write(false));
                        steps.extend((self.damages < bounds.damages).then(|| write(true)));
                    }
                }
            }
        }
        if self.outages < bounds.outages {
            steps.push(Step::LogDown);
        }
    }

    pub(super) fn steps(&self, bounds: &ConfigBounds) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.is_log_up {
            self.log_steps(bounds, &mut steps);
        } else {
            steps.push(Step::LogUp);
        }
        if self.first_offset < self.log.len() && self.is_covered(self.first_offset) {
            steps.push(Step::Trim);
        }
        for daemon in 0..self.daemons.len() {
            let peers = self.running().map(|(peer, _)| peer);
            let peers = peers.filter(|peer| *peer != daemon);
            match &self.daemons[daemon] {
                None if self.is_log_up => {}
                None => steps.extend(peers.map(|peer| Step::StartFromPeer { daemon, peer })),
                Some(running) => {
                    if self.crashes < bounds.crashes {
                        steps.push(Step::Crash(daemon));
                    }
                    if running.update.is_some() {
                        steps.push(Step::Deliver(daemon));
                    } else if self.fetches < bounds.fetches {
                        steps.extend(peers.map(|peer| Step::Fetch { daemon, peer }));
                    }
                }
            }
        }
        steps
    }

    pub(super) fn violation(&self) -> Option<String> {
        if let Some(fault) = self.fault {
            return Some(fault.to_owned());
        }
        let accepted = self.accepted();
        let mut current: Vec<(u64, _)> = Vec::new();
        for (number, daemon) in self.running() {
            let fold = daemon.fold.get();
            let state = fold.current();
            if state.version < daemon.highest {
                return Some(format!("the version of daemon {number} goes back"));
            }
            let (version, digest) = (state.version, state.digest());
            if current.contains(&(version, digest)) {
                continue;
            }
            if current.iter().any(|other| other.0 == version) {
                return Some(format!("two daemons have different versions {version}"));
            }
            current.push((version, digest));
            let Some(expected) = accepted.get(..version as usize) else {
                return Some(format!("daemon {number} accepted what must be rejected"));
            };
            let expected: BTreeSet<_> = expected.iter().map(|&o| DOMAINS[o].to_owned()).collect();
            if state.domains_out != expected {
                return Some(format!("version {version} of daemon {number} is wrong"));
            }
        }
        self.lost_change(&accepted)
            .or_else(|| self.wrong_answer(&accepted))
    }

    /// A daemon that read everything and lacks an accepted change.
    fn lost_change(&self, accepted: &[usize]) -> Option<String> {
        let end = Some(Offset(self.log.len() as u64));
        let (number, _) = self.running().find(|(_, daemon)| {
            let fold = daemon.fold.get();
            fold.next_offset() == end && fold.log_version() != Some(accepted.len() as u64)
        })?;
        Some(format!("daemon {number} lost an accepted change"))
    }

    /// An outcome that a daemon tells its operator and that is not the true one.
    fn wrong_answer(&self, accepted: &[usize]) -> Option<String> {
        (0..self.operators.len()).find_map(|operator| {
            let is_accepted = accepted.contains(&operator);
            let is_wrong = |(_, daemon): &(usize, &Daemon)| {
                daemon
                    .fold
                    .get()
                    .outcome(record_id(operator))
                    .is_some_and(|told| {
                        matches!(told.outcome, RecordEnd::Accepted { .. }) != is_accepted
                    })
            };
            let (number, _) = self.running().find(is_wrong)?;
            Some(format!(
                "daemon {number} tells operator {operator} the wrong outcome"
            ))
        })
    }

    /// Every daemon has everything and can tell every operator the outcome.
    pub(super) fn is_settled(&self) -> bool {
        let end = Some(Offset(self.log.len() as u64));
        self.operators.iter().all(|state| *state != Operator::Idle)
            && self.daemons.iter().flatten().count() == self.daemons.len()
            && self.running().all(|(_, daemon)| {
                let fold = daemon.fold.get();
                let mut operators = 0..self.operators.len();
                fold.next_offset() == end
                    && operators.all(|operator| fold.outcome(record_id(operator)).is_some())
            })
    }
}
