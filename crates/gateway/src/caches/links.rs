//! Account of the transfers that this daemon has planned on the links of cache stores and engines.
//!
//! A link carries one transfer after another, so a read waits for those that were planned before. A
//! server reports nothing about its reads, so a transfer counts from its plan to its expected end.

use crate::cache_store::name_hash;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Expected share of the tokens with a source that the server which ranks first for a prompt reads.
/// It has most of them in its own cache.
const READ_FRACTION_FIRST: f64 = 0.25;
/// The same for any other server.
const READ_FRACTION_OTHER: f64 = 0.75;

/// A transfer that a plan causes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedTransfer {
    /// Store or engine that sends the data.
    pub source: SocketAddr,
    /// Tokens by which the link is occupied: those of the part, times the factor by which the
    /// transfer takes longer to another failure domain.
    pub link_tokens: f64,
    /// Time from the plan until the transfer is expected to begin, in milliseconds.
    pub begins_ms: f64,
    /// Time from the plan until it is expected to end, in milliseconds.
    pub ends_ms: f64,
}

/// A transfer in the account.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    tokens: f64,
    begins_at: Duration,
    ends_at: Duration,
}

impl Transfer {
    /// Returns the tokens that are not transferred yet.
    fn tokens_left(&self, now: Duration) -> f64 {
        let total = self.ends_at.saturating_sub(self.begins_at).as_secs_f64();
        let left = self.ends_at.saturating_sub(now).as_secs_f64();
        if total > 0.0 {
            self.tokens * (left / total).min(1.0)
        } else {
            0.0
        }
    }
}

/// Planned transfers of this daemon that are not over, by the address of their source.
#[derive(Debug, Default)]
pub struct LinkAccount {
    links: IndexMap<SocketAddr, Vec<Transfer>>,
}

impl LinkAccount {
    /// Records the transfers of a request that is sent to a server.
    pub fn on_planned(
        &mut self,
        transfers: &[PlannedTransfer],
        is_first_in_rank: bool,
        now: Duration,
    ) {
        let read_fraction = if is_first_in_rank {
            READ_FRACTION_FIRST
        } else {
            READ_FRACTION_OTHER
        };
        for planned in transfers {
            let link = self.links.entry(planned.source).or_default();
            link.retain(|transfer| now < transfer.ends_at);
            link.push(Transfer {
                tokens: planned.link_tokens * read_fraction,
                begins_at: now + Duration::from_secs_f64(planned.begins_ms.max(0.0) / 1000.0),
                ends_at: now + Duration::from_secs_f64(planned.ends_ms.max(0.0) / 1000.0),
            });
        }
    }

    /// Returns the tokens that this daemon's requests still transfer from a source.
    #[must_use]
    pub fn tokens_left(&self, source: SocketAddr, now: Duration) -> f64 {
        let transfers = self.links.get(&source);
        let left = |transfer: &Transfer| transfer.tokens_left(now);
        transfers.map_or(0.0, |transfers| transfers.iter().map(left).sum())
    }

    /// Removes the links whose transfers are all over.
    pub fn expire(&mut self, now: Duration) {
        self.links
            .retain(|_, transfers| transfers.iter().any(|transfer| now < transfer.ends_at));
    }
}

/// Returns the hash that identifies the link of a store in load reports between daemons.
#[must_use]
pub fn link_hash(source: SocketAddr) -> u32 {
    name_hash(&format!("link {source}")) as u32
}
