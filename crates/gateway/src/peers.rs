//! Load reports: how much load the other daemons put on the backend servers.
//!
//! A few times a second, each daemon reports how many tokens its requests occupy on each engine.
//! Engines themselves report only the number of requests, but one long prompt takes as much memory
//! as ten short ones. [`groups`](crate::groups) decides which daemons receive the reports. Reports
//! are hints: a report that is lost or late only makes load balancing worse.

use crate::groups::Role;
use bincode::de::Decoder;
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};
use indexmap::IndexMap;
use std::time::Duration;

/// Maximum size of a datagram, in bytes. It fits into one packet of an Ethernet link.
pub const DATAGRAM_MAX_BYTES: usize = 1400;
/// Maximum number of engines in a datagram, which keeps it below [`DATAGRAM_MAX_BYTES`].
const ENGINES_MAX: usize = 140;
/// Maximum number of engines in a datagram that also states the work at each engine. An engine
/// takes at most 16 bytes.
const ENGINES_WITH_WORK_MAX: usize = 84;
/// Unit of tokens to be computed in datagrams.
const UNCOMPUTED_TOKENS_PER_UNIT: u64 = 64;
/// Unit of load in datagrams, in tokens.
const TOKENS_PER_UNIT: u64 = 32;
/// Number of report periods after which a received report expires.
const EXPIRY_PERIODS: u32 = 4;
/// Minimum period between the reports of a daemon that reports to every other one.
const MESH_PERIOD_MIN: Duration = Duration::from_millis(70);
/// Datagrams that such a daemon sends per second; a larger fleet lengthens its period.
const MESH_DATAGRAMS_PER_S: u32 = 240;
/// Period between reports within and between groups. Each report passes through up to two leaders.
const GROUP_PERIOD: Duration = Duration::from_millis(200);

/// Load on one engine. Its encoding contains the memory only; a report with work carries the rest
/// as [`EngineWork`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Hash of the identifier of the engine's backend server.
    pub server_hash: u32,
    /// Load in units of [`TOKENS_PER_UNIT`] tokens.
    units: u32,
    work: EngineWork,
}

/// Work at one engine that has not begun or not ended, as in datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EngineWork {
    /// Prompt tokens to be computed, in units of [`UNCOMPUTED_TOKENS_PER_UNIT`].
    uncomputed_units: u16,
    /// Number of requests.
    requests: u16,
}

impl EngineWork {
    /// Returns whether there is no work.
    #[must_use]
    pub fn is_none(self) -> bool {
        self == Self::default()
    }
}

impl Encode for EngineLoad {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.server_hash.encode(encoder)?;
        self.units.encode(encoder)
    }
}

impl<C> Decode<C> for EngineLoad {
    fn decode<D: Decoder<Context = C>>(decoder: &mut D) -> Result<Self, DecodeError> {
        Ok(Self {
            server_hash: u32::decode(decoder)?,
            units: u32::decode(decoder)?,
            work: EngineWork::default(),
        })
    }
}

bincode::impl_borrow_decode!(EngineLoad);

impl EngineLoad {
    /// Creates the entry of an engine with a load in tokens.
    #[must_use]
    pub fn new(server_hash: u32, tokens: u64) -> Self {
        Self {
            server_hash,
            units: u32::try_from(tokens.div_ceil(TOKENS_PER_UNIT)).unwrap_or(u32::MAX),
            work: EngineWork::default(),
        }
    }

    /// Creates the entry of an engine with its load and work.
    #[must_use]
    pub fn with_work(server_hash: u32, total: EngineTotal) -> Self {
        let uncomputed = total.uncomputed_tokens.div_ceil(UNCOMPUTED_TOKENS_PER_UNIT);
        Self {
            work: EngineWork {
                uncomputed_units: u16::try_from(uncomputed).unwrap_or(u16::MAX),
                requests: u16::try_from(total.requests).unwrap_or(u16::MAX),
            },
            ..Self::new(server_hash, total.tokens)
        }
    }

    /// Returns the load in tokens, rounded up to a whole unit.
    #[must_use]
    pub fn tokens(self) -> u64 {
        u64::from(self.units) * TOKENS_PER_UNIT
    }

    /// Returns the load and the work.
    #[must_use]
    pub fn total(self) -> EngineTotal {
        EngineTotal {
            tokens: self.tokens(),
            uncomputed_tokens: u64::from(self.work.uncomputed_units) * UNCOMPUTED_TOKENS_PER_UNIT,
            requests: u64::from(self.work.requests),
        }
    }

    /// Returns the work.
    pub(crate) fn work(self) -> EngineWork {
        self.work
    }

    /// Sets the work, which is decoded apart from the load.
    pub(crate) fn set_work(&mut self, work: EngineWork) {
        self.work = work;
    }
}

/// Sum of loads on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineTotal {
    /// Tokens in the engine's memory.
    pub tokens: u64,
    /// Prompt tokens that are not computed yet.
    pub uncomputed_tokens: u64,
    /// Number of requests.
    pub requests: u64,
}

impl EngineTotal {
    fn add(&mut self, other: Self) {
        self.tokens += other.tokens;
        self.uncomputed_tokens += other.uncomputed_tokens;
        self.requests += other.requests;
    }

    fn saturating_sub(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(other.tokens),
            uncomputed_tokens: self
                .uncomputed_tokens
                .saturating_sub(other.uncomputed_tokens),
            requests: self.requests.saturating_sub(other.requests),
        }
    }
}

/// Whose requests a load report covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum ReportScope {
    /// Requests of the daemon that sends the report.
    Daemon,
    /// Requests of the group that the sender leads.
    Group,
    /// Requests of all daemons.
    Fleet,
}

/// One part of a load report. A report on many engines is divided into several parts, one per
/// datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Whose requests the report covers.
    pub scope: ReportScope,
    /// Hash of the name of the sender's instance.
    pub sender_hash: u64,
    /// Sequence number; increases with each report of a sender, also across its restarts.
    pub sequence: u64,
    /// Number of this part, from 0. Engines are assigned to parts by their hash.
    pub part: u16,
    /// Engines that have load.
    pub loads: Vec<EngineLoad>,
}

impl LoadReport {
    /// Returns the report with the engines that fit into one datagram. If there are too many, those
    /// with the least load are left out.
    #[must_use]
    pub fn fit_datagram(mut self) -> Self {
        self.loads.sort_by_key(|load| std::cmp::Reverse(load.units));
        self.loads.truncate(engines_max(self.has_work()));
        self
    }

    /// Returns whether the report states the work at an engine.
    #[must_use]
    pub fn has_work(&self) -> bool {
        self.loads.iter().any(|load| !load.work.is_none())
    }
}

fn engines_max(has_work: bool) -> usize {
    if has_work {
        ENGINES_WITH_WORK_MAX
    } else {
        ENGINES_MAX
    }
}

/// Creates the load reports of one daemon for one scope.
#[derive(Debug)]
pub struct LoadReporter {
    scope: ReportScope,
    sender_hash: u64,
    had_loads: bool,
    has_work: bool,
}

impl LoadReporter {
    /// Creates a reporter. Its first report is sent even if there is no load.
    #[must_use]
    pub fn new(scope: ReportScope, sender_hash: u64) -> Self {
        Self {
            scope,
            sender_hash,
            had_loads: true,
            has_work: false,
        }
    }

    /// Leaves room for the work at each engine in every part of a report.
    #[must_use]
    pub fn with_work(mut self) -> Self {
        self.has_work = true;
        self
    }

    /// Returns the parts of the next report, or none if neither this report nor the previous one
    /// contains load. `engines` is the number of all engines, with or without load. When load ends,
    /// one empty report is sent; if it is lost, receivers expire the previous one.
    pub fn next_reports(
        &mut self,
        loads: &[EngineLoad],
        engines: usize,
        sequence: u64,
    ) -> Vec<LoadReport> {
        let has_loads = !loads.is_empty();
        let had_loads = std::mem::replace(&mut self.had_loads, has_loads);
        if !has_loads && !had_loads {
            return Vec::new();
        }
        // The number of engines rarely changes, so an engine usually stays in its part.
        let parts = engines
            .div_ceil(engines_max(self.has_work))
            .clamp(1, usize::from(u16::MAX)) as u32;
        let part_of = |load: &EngineLoad| load.server_hash % parts;
        (0..parts)
            .map(|part| LoadReport {
                scope: self.scope,
                sender_hash: self.sender_hash,
                sequence,
                part: part as u16,
                loads: loads
                    .iter()
                    .copied()
                    .filter(|load| part_of(load) == part)
                    .collect(),
            })
            .collect()
    }
}

/// Returns the time between two reports of a daemon.
#[must_use]
pub fn report_period(role: &Role) -> Duration {
    match role {
        Role::Mesh { peers } => {
            let peers = u32::try_from(peers.len()).unwrap_or(u32::MAX);
            MESH_PERIOD_MIN.max(Duration::from_secs(1) * peers / MESH_DATAGRAMS_PER_S)
        }
        Role::Follower { .. } | Role::Leader { .. } => GROUP_PERIOD,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Source {
    scope: ReportScope,
    sender_hash: u64,
    part: u16,
}

#[derive(Debug)]
struct ReceivedReport {
    sequence: u64,
    loads: Vec<EngineLoad>,
    received_at: Duration,
}

/// Newest load reports of the other daemons, with their sum for each engine.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: IndexMap<Source, ReceivedReport>,
    received: IndexMap<u32, EngineTotal>,
    /// Loads that this daemon last reported to its leader, by hash of the server. The reported sum
    /// of the fleet contains them.
    reported_to_leader: IndexMap<u32, EngineTotal>,
}

impl PeerLoads {
    /// Stores a received report if the daemon's role uses its scope. A report that a newer one has
    /// overtaken is ignored.
    pub fn on_report(&mut self, role: &Role, report: LoadReport, now: Duration) {
        let is_wanted = match role {
            Role::Mesh { .. } => report.scope == ReportScope::Daemon,
            Role::Follower { .. } => report.scope == ReportScope::Fleet,
            // The sum of the fleet would count the same requests twice.
            Role::Leader { .. } => report.scope != ReportScope::Fleet,
        };
        let source = Source {
            scope: report.scope,
            sender_hash: report.sender_hash,
            part: report.part,
        };
        let known = self.reports.get(&source);
        if !is_wanted || known.is_some_and(|known| known.sequence >= report.sequence) {
            return;
        }
        if report.scope == ReportScope::Fleet {
            // The report of a new leader replaces that of the previous leader.
            self.remove_where(|other| other.part == source.part);
        } else {
            self.remove(source);
        }
        for load in &report.loads {
            let received = self.received.entry(load.server_hash).or_default();
            received.add(load.total());
        }
        let received = ReceivedReport {
            sequence: report.sequence,
            loads: report.loads,
            received_at: now,
        };
        self.reports.insert(source, received);
    }

    /// Discards all reports, as is necessary when the daemon's role changes.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Discards reports that are too old.
    pub fn expire(&mut self, role: &Role, now: Duration) {
        let valid_for = report_period(role) * EXPIRY_PERIODS;
        let reports = &self.reports;
        let expired: Vec<Source> = reports
            .iter()
            .filter(|(_, report)| now.saturating_sub(report.received_at) > valid_for)
            .map(|(source, _)| *source)
            .collect();
        for source in expired {
            self.remove(source);
        }
    }

    /// Records the loads that this daemon reports to its leader.
    pub fn on_reported(&mut self, loads: &[EngineLoad]) {
        let reported = loads.iter().map(|load| (load.server_hash, load.total()));
        self.reported_to_leader = reported.collect();
    }

    /// Returns the tokens that the requests of the other daemons occupy on an engine.
    #[must_use]
    pub fn tokens_on(&self, server_hash: u32) -> u64 {
        self.total_on(server_hash).tokens
    }

    /// Returns the load and the work of the other daemons' requests on an engine.
    #[must_use]
    pub fn total_on(&self, server_hash: u32) -> EngineTotal {
        let received = self.received.get(&server_hash).copied();
        let own = self.reported_to_leader.get(&server_hash).copied();
        received
            .unwrap_or_default()
            .saturating_sub(own.unwrap_or_default())
    }

    /// Returns the sum of `own` and the loads in received reports of the given scopes, by engine.
    #[must_use]
    pub fn sum_of(&self, own: &[EngineLoad], scopes: &[ReportScope]) -> Vec<EngineLoad> {
        let mut sums: IndexMap<u32, EngineTotal> = IndexMap::new();
        let received = self.reports.iter();
        let reported = received
            .filter(|(source, _)| scopes.contains(&source.scope))
            .flat_map(|(_, report)| &report.loads);
        for load in reported.chain(own) {
            let sum = sums.entry(load.server_hash).or_default();
            sum.add(load.total());
        }
        sums.into_iter()
            .map(|(server_hash, total)| EngineLoad::with_work(server_hash, total))
            .collect()
    }

    fn remove_where(&mut self, is_removed: impl Fn(&Source) -> bool) {
        let removed: Vec<Source> = self.reports.keys().copied().filter(is_removed).collect();
        for source in removed {
            self.remove(source);
        }
    }

    fn remove(&mut self, source: Source) {
        let Some(report) = self.reports.swap_remove(&source) else {
            return;
        };
        for load in &report.loads {
            if let Some(received) = self.received.get_mut(&load.server_hash) {
                *received = received.saturating_sub(load.total());
            }
        }
    }
}
