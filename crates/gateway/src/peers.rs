//! Load that the other daemons put on the backend servers.
//!
//! Each daemon tells the others a few times a second how many tokens its requests take up on each
//! engine. Engines themselves tell only the number of requests, and one long prompt takes as much
//! memory as ten short ones. The reports are hints: a lost or late one costs balance only.

use bincode::{Decode, Encode};
use indexmap::IndexMap;
use quick_error::quick_error;
use std::time::Duration;

/// Longest datagram that is sent. It fits into one packet of an Ethernet link.
pub const DATAGRAM_MAX_BYTES: usize = 1400;
/// Entries of a report, so that it fits into a datagram.
const ENTRIES_MAX: usize = 80;
/// Periods after which a report no longer counts.
const VALID_PERIODS: u32 = 4;
/// Shortest period between two reports.
const PERIOD_MIN: Duration = Duration::from_millis(70);
/// Datagrams that a daemon sends in a second to a large fleet.
const DATAGRAMS_PER_S: u32 = 240;

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

/// Tokens on one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineLoad {
    /// Hash of the identifier of the engine.
    pub server_hash: u64,
    /// Tokens of the requests of the sender.
    pub tokens: u32,
}

/// Report of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Hash of the name of the sender's instance.
    pub sender_hash: u64,
    /// Increases with each report of a sender, also across its restarts.
    pub sequence: u64,
    /// Engines with requests of the sender.
    pub loads: Vec<EngineLoad>,
}

impl LoadReport {
    /// Whether a report has to be sent after the previous one. Without requests there is nothing to tell
    /// again; if the last report is lost, the one before it expires.
    #[must_use]
    pub fn is_due_after(&self, previous: Option<&Self>) -> bool {
        let had_loads = previous.is_none_or(|previous| !previous.loads.is_empty());
        had_loads || !self.loads.is_empty()
    }

    /// Writes the report into a datagram. The engines with the least load are left out if it would
    /// become too long.
    ///
    /// # Errors
    ///
    /// The encoder refuses the report.
    pub fn encode(mut self) -> Result<Vec<u8>, ReportError> {
        self.loads
            .sort_by_key(|load| std::cmp::Reverse(load.tokens));
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

/// Time between two reports in a fleet of some size.
#[must_use]
pub fn report_period(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    PERIOD_MIN.max(Duration::from_secs(1) * peers / DATAGRAMS_PER_S)
}

#[derive(Debug)]
struct PeerLoad {
    report: LoadReport,
    received_at: Duration,
}

/// The newest reports of all other daemons.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: IndexMap<u64, PeerLoad>,
    tokens: IndexMap<u64, u64>,
}

impl PeerLoads {
    /// Takes over a report. One that was overtaken by a newer one is ignored.
    pub fn on_report(&mut self, report: LoadReport, now: Duration) {
        let sender = report.sender_hash;
        let known = self.reports.get(&sender);
        if known.is_some_and(|known| known.report.sequence >= report.sequence) {
            return;
        }
        self.remove(sender);
        for load in &report.loads {
            *self.tokens.entry(load.server_hash).or_default() += u64::from(load.tokens);
        }
        let received_at = now;
        self.reports.insert(
            sender,
            PeerLoad {
                report,
                received_at,
            },
        );
    }

    /// Drops reports that are too old in a fleet of some size.
    pub fn expire(&mut self, peers: usize, now: Duration) {
        let valid_for = report_period(peers) * VALID_PERIODS;
        let expired: Vec<u64> = self
            .reports
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.received_at) > valid_for)
            .map(|(sender, _)| *sender)
            .collect();
        for sender in expired {
            self.remove(sender);
        }
    }

    /// Tokens that the requests of the other daemons take up on an engine.
    #[must_use]
    pub fn tokens_on(&self, server_hash: u64) -> u64 {
        self.tokens.get(&server_hash).copied().unwrap_or(0)
    }

    fn remove(&mut self, sender: u64) {
        let Some(peer) = self.reports.swap_remove(&sender) else {
            return;
        };
        for load in &peer.report.loads {
            if let Some(tokens) = self.tokens.get_mut(&load.server_hash) {
                *tokens = tokens.saturating_sub(u64::from(load.tokens));
            }
        }
    }
}
