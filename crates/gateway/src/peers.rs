//! Load that the other daemons put on the backend servers.
//!
//! Each daemon tells a few times a second how many tokens its requests take up on each engine.
//! Engines themselves tell only the number of requests, and one long prompt takes as much memory as
//! ten short ones. Which daemons are told is decided in [`groups`](crate::groups). The
//! reports are hints: a lost or late one costs balance only.

use crate::groups::Role;
use bincode::{Decode, Encode};
use indexmap::IndexMap;
use quick_error::quick_error;
use std::time::Duration;

/// Longest datagram that is sent. It fits into one packet of an Ethernet link.
pub const DATAGRAM_MAX_BYTES: usize = 1400;
/// Engines that a datagram tells of, so that it does not become too long.
const ENTRIES_MAX: usize = 140;
/// Tokens of the unit in which datagrams state load.
const TOKENS_PER_UNIT: u64 = 32;
/// Periods after which a report no longer counts.
const VALID_PERIODS: u32 = 4;
/// Shortest period between two reports of a daemon that reports to every other one.
const MESH_PERIOD_MIN: Duration = Duration::from_millis(70);
/// Datagrams that such a daemon sends in a second.
const MESH_DATAGRAMS_PER_S: u32 = 240;
/// Period between two reports within groups, each of which passes through two leaders.
const GROUP_PERIOD: Duration = Duration::from_millis(200);

quick_error! {
    /// Why a datagram is not a report.
    #[derive(Debug)]
    pub enum ReportError {
        /// The bytes are no report.
        Decode(error: bincode::error::DecodeError) {
            display("not a load report: {}", error)
        }
        /// The report does not fit.
        Encode(error: bincode::error::EncodeError) {
            display("the load report cannot be written: {}", error)
        }
    }
}

/// Load on one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineLoad {
    /// Hash of the identifier of the engine.
    pub server_hash: u32,
    /// Load in units of some tokens.
    units: u32,
}

impl EngineLoad {
    /// Load of some tokens on an engine.
    #[must_use]
    pub fn new(server_hash: u32, tokens: u64) -> Self {
        Self {
            server_hash,
            units: u32::try_from(tokens.div_ceil(TOKENS_PER_UNIT)).unwrap_or(u32::MAX),
        }
    }

    /// Tokens on the engine, rounded up to a whole unit.
    #[must_use]
    pub fn tokens(self) -> u64 {
        u64::from(self.units) * TOKENS_PER_UNIT
    }
}

/// Whose load a report tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum ReportScope {
    /// The requests of the sender.
    Daemon,
    /// The requests of the group that the sender leads.
    Group,
    /// The requests of all daemons.
    Fleet,
}

/// A part of what one daemon reports.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Whose load it is.
    pub scope: ReportScope,
    /// Hash of the name of the sender's instance.
    pub sender_hash: u64,
    /// Increases with each report of a sender, also across its restarts.
    pub sequence: u64,
    /// Number of this part. The engines are divided among the parts by their hash.
    pub part: u16,
    /// Engines with load.
    pub loads: Vec<EngineLoad>,
}

impl LoadReport {
    /// Writes the report into a datagram. The engines with the least load are left out if it would
    /// become too long.
    ///
    /// # Errors
    ///
    /// The encoder refuses the report.
    pub fn encode(mut self) -> Result<Vec<u8>, ReportError> {
        self.loads.sort_by_key(|load| std::cmp::Reverse(load.units));
        self.loads.truncate(ENTRIES_MAX);
        bincode::encode_to_vec(self, bincode::config::standard()).map_err(ReportError::Encode)
    }

    /// Reads a report from a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are no report.
    pub fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        let config = bincode::config::standard().with_limit::<DATAGRAM_MAX_BYTES>();
        let (report, _) = bincode::decode_from_slice(bytes, config).map_err(ReportError::Decode)?;
        Ok(report)
    }
}

/// Reports of one scope that one daemon sends, with what it sent last.
#[derive(Debug)]
pub struct LoadReporter {
    scope: ReportScope,
    sender_hash: u64,
    had_loads: bool,
}

impl LoadReporter {
    /// Creates a reporter. The first report is sent whatever it tells.
    #[must_use]
    pub fn new(scope: ReportScope, sender_hash: u64) -> Self {
        Self {
            scope,
            sender_hash,
            had_loads: true,
        }
    }

    /// The parts of the next report, before `engines` engines in all. Without load there is nothing to
    /// tell again; if the last report is lost, the one before it expires.
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
        // The number of engines changes rarely, so an engine stays in its part.
        let parts = engines
            .div_ceil(ENTRIES_MAX)
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

/// Time between two reports of a daemon.
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

/// The newest reports of the other daemons.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: IndexMap<Source, ReceivedReport>,
    tokens: IndexMap<u32, u64>,
    /// What this daemon told its leader. The sum of the fleet contains it.
    told: IndexMap<u32, u64>,
}

impl PeerLoads {
    /// Takes over a report, if the daemon's role has a use for it. One that was overtaken by a newer one
    /// is ignored.
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
            // A new leader replaces the one before it.
            self.remove_where(|other| other.part == source.part);
        } else {
            self.remove(source);
        }
        for load in &report.loads {
            *self.tokens.entry(load.server_hash).or_default() += load.tokens();
        }
        let received = ReceivedReport {
            sequence: report.sequence,
            loads: report.loads,
            received_at: now,
        };
        self.reports.insert(source, received);
    }

    /// Forgets all reports, when the daemon's role changes.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, role: &Role, now: Duration) {
        let valid_for = report_period(role) * VALID_PERIODS;
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

    /// Notes what this daemon tells its leader of its own requests.
    pub fn on_reported(&mut self, loads: &[EngineLoad]) {
        let told = loads.iter().map(|load| (load.server_hash, load.tokens()));
        self.told = told.collect();
    }

    /// Tokens that the requests of the other daemons take up on an engine.
    #[must_use]
    pub fn tokens_on(&self, server_hash: u32) -> u64 {
        let tokens = self.tokens.get(&server_hash).copied().unwrap_or(0);
        let own = self.told.get(&server_hash).copied().unwrap_or(0);
        tokens.saturating_sub(own)
    }

    /// Sum of `own` and the loads that reports of some scopes tell.
    #[must_use]
    pub fn sum_of(&self, own: &[EngineLoad], scopes: &[ReportScope]) -> Vec<EngineLoad> {
        let mut sums: IndexMap<u32, u64> = IndexMap::new();
        let received = self.reports.iter();
        let told = received
            .filter(|(source, _)| scopes.contains(&source.scope))
            .flat_map(|(_, report)| &report.loads);
        for load in told.chain(own) {
            *sums.entry(load.server_hash).or_default() += load.tokens();
        }
        sums.into_iter()
            .map(|(server_hash, tokens)| EngineLoad::new(server_hash, tokens))
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
            if let Some(tokens) = self.tokens.get_mut(&load.server_hash) {
                *tokens = tokens.saturating_sub(load.tokens());
            }
        }
    }
}
