//! State of the configuration model.

use super::{ConfigBounds, Step};
use crate::digested::Digested;
use anvilgw_config::{
    Bootstrap, ConfigChange, ConfigFold, ConfigRecord, ConfigState, Flaw, FoldError,
    Outcome as RecordOutcome, PeerUpdate, RecordId, Snapshot,
};
use anvilgw_core::{LogRecord, LogSlice, Offset};
use std::collections::BTreeSet;
use uuid::Uuid;

/// The failure domain that each operator takes out of service.
const OPERATOR_DOMAINS: [&str; 3] = ["porto", "braga", "evora"];

/// Failure domain that is out of service in a damaged snapshot, although no operator took it out.
const DAMAGED_DOMAIN: &str = "lagos";

/// A record of the configuration stream: the change that an operator makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ChangeRecord {
    operator: usize,
    expected_version: u64,
}

impl ChangeRecord {
    fn to_config_record(self) -> ConfigRecord {
        ConfigRecord {
            record_id: record_id(self.operator),
            author: format!("operator-{}", self.operator),
            written_ms: 1,
            expected_version: self.expected_version,
            change: ConfigChange::DomainOut(OPERATOR_DOMAINS[self.operator].to_owned()),
        }
    }
}

fn record_id(operator: usize) -> RecordId {
    RecordId(Uuid::from_u128(operator as u128))
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct StoredSnapshot {
    snapshot: Digested<Snapshot>,
    is_damaged: bool,
}

impl StoredSnapshot {
    /// Returns the stored bytes. A damaged snapshot can be decoded, but its digest is that of the
    /// undamaged one.
    fn payload(&self) -> Vec<u8> {
        let good = self.snapshot.get().encode();
        if !self.is_damaged {
            return good;
        }
        let mut altered = self.snapshot.get().clone();
        altered.state.domains_out.insert(DAMAGED_DOMAIN.to_owned());
        let altered = altered.encode();
        let content = |bytes: &[u8]| {
            let key = b"\"snapshot\":";
            let found = bytes.windows(key.len()).position(|part| part == key);
            found.expect("an encoded snapshot has content")
        };
        [&good[..content(&good)], &altered[content(&altered)..]].concat()
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Daemon {
    fold: Digested<ConfigFold>,
    /// Highest configuration version that the daemon has had since it started.
    highest_version: u64,
    /// Answer to the daemon's fetch that is in flight.
    update: Option<Digested<PeerUpdate>>,
}

impl Daemon {
    fn new(fold: ConfigFold) -> Self {
        Self {
            highest_version: fold.current().version,
            fold: Digested::new(fold),
            update: None,
        }
    }

    /// Returns a key for an arbitrary but fixed order of the daemons. Equal daemons have equal
    /// keys.
    fn sort_key(daemon: &Option<Self>) -> impl Ord + use<> {
        daemon.as_ref().map(|daemon| {
            let update = daemon.update.as_ref().map(Digested::digest);
            (daemon.fold.digest(), daemon.highest_version, update)
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Operator {
    Idle,
    Appended(ChangeRecord),
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct SystemState {
    flaw: Option<Flaw>,
    log: Vec<ChangeRecord>,
    first_offset: usize,
    is_log_up: bool,
    snapshots: Vec<StoredSnapshot>,
    /// `None` for a daemon that does not run.
    daemons: Vec<Option<Daemon>>,
    operators: Vec<Operator>,
    repeated_appends: u32,
    damaged_snapshots: u32,
    crashes: u32,
    outages: u32,
    peer_fetches: u32,
    /// Error of a daemon that must not occur within the model.
    failure: Option<&'static str>,
}

impl SystemState {
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
            repeated_appends: 0,
            damaged_snapshots: 0,
            crashes: 0,
            outages: 0,
            peer_fetches: 0,
            failure: None,
        }
    }

    /// Returns the operators whose changes have to be accepted, in order. Computed from the rule
    /// and not by the decision code: of the records that expect the same version the first is
    /// accepted.
    fn accepted_operators(&self) -> Vec<usize> {
        let mut accepted_operators = Vec::new();
        let mut seen_operators = BTreeSet::new();
        for record in &self.log {
            if seen_operators.insert(record.operator)
                && record.expected_version == accepted_operators.len() as u64
            {
                accepted_operators.push(record.operator);
            }
        }
        accepted_operators
    }

    fn bootstrap(&self) -> Bootstrap {
        let mut bootstrap = Bootstrap::new().with_flaw(self.flaw);
        for (number, stored) in self.snapshots.iter().enumerate() {
            let record = LogRecord {
                offset: Offset(number as u64),
                payload: stored.payload(),
            };
            // The bootstrap counts a damaged snapshot and ignores it otherwise.
            drop(bootstrap.add_snapshot(&record));
        }
        bootstrap
    }

    fn log_slice(&self, from: u64) -> LogSlice {
        let from = (from as usize).max(self.first_offset);
        let records = self.log.get(from).map(|record| LogRecord {
            offset: Offset(from as u64),
            payload: record
                .to_config_record()
                .encode()
                .expect("the record is small"),
        });
        LogSlice {
            first_offset: Offset(self.first_offset as u64),
            next_offset: Offset(self.log.len() as u64),
            records: records.into_iter().collect(),
        }
    }

    fn running_daemons(&self) -> impl Iterator<Item = (usize, &Daemon)> {
        let daemons = self.daemons.iter().enumerate();
        daemons.filter_map(|(number, daemon)| Some((number, daemon.as_ref()?)))
    }

    fn fold(&self, daemon: usize) -> &ConfigFold {
        let daemon = self.daemons[daemon].as_ref();
        daemon.expect("the daemon runs").fold.get()
    }

    /// Updates a daemon's fold and its highest version.
    fn update_fold<R>(&mut self, daemon: usize, update: impl FnOnce(&mut ConfigFold) -> R) -> R {
        let daemon = self.daemons[daemon].as_mut().expect("the daemon runs");
        let result = daemon.fold.update(update);
        daemon.highest_version = daemon
            .highest_version
            .max(daemon.fold.get().current().version);
        result
    }

    fn read_log(&mut self, daemon: usize) {
        let next = self.fold(daemon).next_offset();
        let slice = next.map(|next| self.log_slice(next.0));
        let folded =
            slice.map(|slice| self.update_fold(daemon, |fold| fold.fold_slice(&slice, drop)));
        match folded {
            Some(Ok(())) => {}
            None | Some(Err(FoldError::Gap(..))) => {
                let bootstrap = self.bootstrap();
                let first_offset = Offset(self.first_offset as u64);
                let restarted =
                    self.update_fold(daemon, |fold| fold.resync_with_log(bootstrap, first_offset));
                if restarted.is_err() {
                    self.failure = Some("a daemon cannot resume from the log's snapshots");
                }
            }
            Some(Err(_)) => self.failure = Some("a daemon cannot fold a record of the log"),
        }
    }

    fn start_daemon(&mut self, daemon: usize, fold: Option<ConfigFold>) {
        match fold {
            Some(fold) => self.daemons[daemon] = Some(Daemon::new(fold)),
            None => self.failure = Some("a daemon cannot start from the log"),
        }
    }

    fn deliver_update(&mut self, daemon: usize) {
        let update = self.daemons[daemon].as_mut();
        let update = update.and_then(|daemon| daemon.update.take());
        let Some(update) = update else { return };
        if self
            .update_fold(daemon, |fold| fold.apply_update(update.get().clone()))
            .is_err()
        {
            self.failure = Some("a daemon refuses the update of a peer");
        }
    }

    /// Applies a step. Returns whether it changed the state.
    pub(super) fn apply(&mut self, step: Step) -> bool {
        let before = self.clone();
        match step {
            Step::AppendChange { operator, daemon } => {
                let record = ChangeRecord {
                    operator,
                    expected_version: self.fold(daemon).current().version,
                };
                self.log.push(record);
                self.operators[operator] = Operator::Appended(record);
            }
            Step::RepeatAppend(operator) => {
                self.repeated_appends += 1;
                if let Operator::Appended(record) = self.operators[operator] {
                    self.log.push(record);
                }
            }
            Step::ReadLog(daemon) => self.read_log(daemon),
            Step::WriteSnapshot { daemon, is_damaged } => {
                self.damaged_snapshots += u32::from(is_damaged);
                let snapshot = self.fold(daemon).snapshot();
                self.snapshots
                    .extend(snapshot.map(|snapshot| StoredSnapshot {
                        snapshot: Digested::new(snapshot),
                        is_damaged,
                    }));
            }
            Step::TrimLog => self.first_offset += 1,
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
                self.start_daemon(daemon, fold);
            }
            Step::StartFromPeer { daemon, peer } => {
                let state = ConfigState::clone(&self.fold(peer).current());
                let fold = ConfigFold::from_peer(state).with_flaw(self.flaw);
                self.start_daemon(daemon, Some(fold));
            }
            Step::FetchFromPeer { daemon, peer } => {
                self.peer_fetches += 1;
                let version = self.fold(daemon).current().version;
                let update = Digested::new(self.fold(peer).update_since(version));
                self.daemons[daemon]
                    .as_mut()
                    .expect("the daemon runs")
                    .update = Some(update);
            }
            Step::DeliverUpdate(daemon) => self.deliver_update(daemon),
        }
        self.daemons.sort_by_cached_key(Daemon::sort_key);
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
                let daemons = self.running_daemons().map(|(daemon, _)| daemon);
                steps.extend(daemons.map(|daemon| Step::AppendChange { operator, daemon }));
            }
            if *state != Operator::Idle && self.repeated_appends < bounds.repeated_appends {
                steps.push(Step::RepeatAppend(operator));
            }
        }
        for (daemon, running) in self.daemons.iter().enumerate() {
            match running {
                None => steps.push(Step::StartFromLog(daemon)),
                Some(running) => {
                    steps.push(Step::ReadLog(daemon));
                    let has_snapshot = running.fold.get().next_offset() > Some(Offset(0));
                    if has_snapshot && self.snapshots.len() < bounds.snapshots {
                        let write = |is_damaged| Step::WriteSnapshot { daemon, is_damaged };
                        steps.push(write(false));
                        steps.extend(
                            (self.damaged_snapshots < bounds.damaged_snapshots)
                                .then(|| write(true)),
                        );
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
            steps.push(Step::TrimLog);
        }
        for daemon in 0..self.daemons.len() {
            let peers = self.running_daemons().map(|(peer, _)| peer);
            let peers = peers.filter(|peer| *peer != daemon);
            match &self.daemons[daemon] {
                None if self.is_log_up => {}
                None => steps.extend(peers.map(|peer| Step::StartFromPeer { daemon, peer })),
                Some(running) => {
                    if self.crashes < bounds.crashes {
                        steps.push(Step::Crash(daemon));
                    }
                    if running.update.is_some() {
                        steps.push(Step::DeliverUpdate(daemon));
                    } else if self.peer_fetches < bounds.peer_fetches {
                        steps.extend(peers.map(|peer| Step::FetchFromPeer { daemon, peer }));
                    }
                }
            }
        }
        steps
    }

    pub(super) fn violation(&self) -> Option<String> {
        if let Some(failure) = self.failure {
            return Some(failure.to_owned());
        }
        let accepted_operators = self.accepted_operators();
        let mut current: Vec<(u64, _)> = Vec::new();
        for (number, daemon) in self.running_daemons() {
            let fold = daemon.fold.get();
            let state = fold.current();
            if state.version < daemon.highest_version {
                return Some(format!(
                    "the configuration version of daemon {number} decreases"
                ));
            }
            let (version, digest) = (state.version, state.digest());
            if current.contains(&(version, digest)) {
                continue;
            }
            if current.iter().any(|other| other.0 == version) {
                return Some(format!(
                    "two daemons have different configurations of version {version}"
                ));
            }
            current.push((version, digest));
            let Some(expected) = accepted_operators.get(..version as usize) else {
                return Some(format!(
                    "daemon {number} accepted a change that must be rejected"
                ));
            };
            let expected: BTreeSet<_> = expected
                .iter()
                .map(|&o| OPERATOR_DOMAINS[o].to_owned())
                .collect();
            if state.domains_out != expected {
                return Some(format!(
                    "version {version} of daemon {number} has the wrong content"
                ));
            }
        }
        self.lost_change(&accepted_operators)
            .or_else(|| self.wrong_answer(&accepted_operators))
    }

    /// Returns a violation if a daemon has read the whole log and lacks an accepted change.
    fn lost_change(&self, accepted_operators: &[usize]) -> Option<String> {
        let end = Some(Offset(self.log.len() as u64));
        let (number, _) = self.running_daemons().find(|(_, daemon)| {
            let fold = daemon.fold.get();
            fold.next_offset() == end && fold.log_version() != Some(accepted_operators.len() as u64)
        })?;
        Some(format!("daemon {number} lost an accepted change"))
    }

    /// Returns a violation if a daemon would report the wrong outcome of a change to its operator.
    fn wrong_answer(&self, accepted_operators: &[usize]) -> Option<String> {
        (0..self.operators.len()).find_map(|operator| {
            let is_accepted = accepted_operators.contains(&operator);
            let is_wrong = |(_, daemon): &(usize, &Daemon)| {
                daemon
                    .fold
                    .get()
                    .outcome(record_id(operator))
                    .is_some_and(|reported| {
                        matches!(reported.outcome, RecordOutcome::Accepted { .. }) != is_accepted
                    })
            };
            let (number, _) = self.running_daemons().find(is_wrong)?;
            Some(format!(
                "daemon {number} tells operator {operator} the wrong outcome"
            ))
        })
    }

    /// Returns whether every daemon runs, has read the whole log and knows the outcome of every
    /// operator's change.
    pub(super) fn is_settled(&self) -> bool {
        let end = Some(Offset(self.log.len() as u64));
        self.operators.iter().all(|state| *state != Operator::Idle)
            && self.daemons.iter().flatten().count() == self.daemons.len()
            && self.running_daemons().all(|(_, daemon)| {
                let fold = daemon.fold.get();
                let mut operators = 0..self.operators.len();
                fold.next_offset() == end
                    && operators.all(|operator| fold.outcome(record_id(operator)).is_some())
            })
    }
}
