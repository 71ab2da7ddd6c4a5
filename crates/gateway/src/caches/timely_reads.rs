//! Choice between reading a prompt part and computing it, by the time at which the data arrives.

use super::links::PlannedTransfer;
use crate::weights::FETCH_TIME_MAX;
use std::net::SocketAddr;
use std::time::Duration;

/// Fraction of the time limit of a request's reads within which data has to be expected. The rest
/// covers transfers of other daemons that are not known yet.
const ARRIVAL_FRACTION: f64 = 0.7;
/// Fraction of the longest wait in time that every request accepts.
const WAIT_FRACTION_MIN: f64 = 0.2;

/// Returns how long a server should wait for prompt parts from cache stores and other servers. This
/// is several times what an engine takes to compute them, since computing also delays all other
/// requests on the engine.
#[must_use]
pub fn fetch_time_limit(tokens: u32) -> Duration {
    const BASE: Duration = Duration::from_millis(150);
    const PER_TOKEN: Duration = Duration::from_micros(30);
    (BASE + PER_TOKEN * tokens).min(FETCH_TIME_MAX)
}

/// A source of a prompt part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartSource {
    /// Address of the store or engine.
    pub address: SocketAddr,
    /// Time of the transfer on an idle link, in milliseconds.
    pub transfer_ms: f64,
    /// Tokens by which the transfer occupies the link.
    pub link_tokens: f64,
    /// Throughput of the link in tokens per millisecond.
    pub link_tokens_per_ms: f64,
}

/// A function that returns the tokens that wait on the link of a source.
pub type WaitingTokens<'a> = dyn Fn(SocketAddr) -> f64 + 'a;

/// Reads of one request, planned part by part.
pub struct TimelyReads<'a> {
    waiting_tokens: &'a WaitingTokens<'a>,
    /// Fraction of the longest wait in time that the request accepts.
    wait_fraction: f64,
    transfers: Vec<PlannedTransfer>,
    read_tokens: u32,
}

impl<'a> TimelyReads<'a> {
    /// Creates the reads of a request. `waiting_tokens` returns what waits on a link already, and
    /// `draw` is a random number from 0 to 1.
    ///
    /// Reports of other daemons are some hundred milliseconds old, in which all daemons would send
    /// their reads to a link that looks free. The longer the wait, the fewer requests accept it, so
    /// that the reads that are planned approach what the link carries.
    #[must_use]
    pub fn new(waiting_tokens: &'a WaitingTokens<'a>, draw: f64) -> Self {
        Self {
            waiting_tokens,
            wait_fraction: WAIT_FRACTION_MIN + (1.0 - WAIT_FRACTION_MIN) * draw,
            transfers: Vec::new(),
            read_tokens: 0,
        }
    }

    /// Chooses the source from which a part arrives first, and counts its transfer. Returns `None`
    /// if from no source it arrives before it is computed, or before the server stops to wait.
    /// `compute_ms` is the time of computing it, weighted by what that costs other requests.
    pub fn choose(
        &mut self,
        tokens: u32,
        compute_ms: f64,
        sources: impl Iterator<Item = PartSource>,
    ) -> Option<SocketAddr> {
        let limit = fetch_time_limit(self.read_tokens + tokens);
        let limit_ms = limit.as_secs_f64() * 1000.0 * ARRIVAL_FRACTION;
        let planned = sources.map(|source| self.planned(&source));
        let first = planned.min_by(|a, b| a.ends_ms.total_cmp(&b.ends_ms))?;
        let latest_ms = compute_ms.min(limit_ms);
        let transfer_ms = first.ends_ms - first.begins_ms;
        let accepted_wait_ms = (latest_ms - transfer_ms) * self.wait_fraction;
        if first.ends_ms >= latest_ms || first.begins_ms > accepted_wait_ms {
            return None;
        }
        self.read_tokens += tokens;
        self.transfers.push(first);
        Some(first.source)
    }

    fn planned(&self, source: &PartSource) -> PlannedTransfer {
        let own = self.transfers.iter();
        let own = own.filter(|transfer| transfer.source == source.address);
        let own_tokens: f64 = own.map(|transfer| transfer.link_tokens).sum();
        let waiting_tokens = (self.waiting_tokens)(source.address) + own_tokens;
        let begins_ms = waiting_tokens / source.link_tokens_per_ms.max(1.0);
        PlannedTransfer {
            source: source.address,
            link_tokens: source.link_tokens,
            begins_ms,
            ends_ms: begins_ms + source.transfer_ms,
        }
    }

    /// Returns the transfers that the reads cause.
    #[must_use]
    pub fn into_transfers(self) -> Vec<PlannedTransfer> {
        self.transfers
    }
}
