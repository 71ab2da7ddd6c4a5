//! Limit on the bytes that a daemon sends for membership.

use std::time::Duration;

/// Bytes added to the balance per second. The remainder up to 2 KB/s is left to the mandatory
/// datagrams that are sent while the balance is negative.
const BYTES_PER_S: f64 = 1_850.0;

/// Largest balance, in bytes. It allows a burst that spreads new updates.
const BURST_BYTES: f64 = 4_000.0;

/// Size of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Balance above which new updates are sent at once. The remainder is kept for updates piggybacked
/// on pings and acks.
const GOSSIP_RESERVE_BYTES: f64 = 1_000.0;

/// Largest number of pages of the member list sent per second and in a burst. Pages have their own
/// limit: when a large fleet starts, the acks use up the balance of the few members that all others
/// know, and without pages nobody would learn of the remaining members. Outside of a start a daemon
/// sends about one page in 10 s.
const PAGES_PER_S: f64 = 10.0;
const BURST_PAGES: f64 = 20.0;

/// Token bucket for all bytes sent. Pings and acks are always sent and may overdraw it; updates are
/// sent only while the balance is positive.
#[derive(Clone, Debug)]
pub(crate) struct SendLimit {
    bytes: f64,
    pages: f64,
    refilled_at: Duration,
}

impl SendLimit {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            bytes: BURST_BYTES,
            pages: BURST_PAGES,
            refilled_at: now,
        }
    }

    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.bytes = (self.bytes + elapsed.as_secs_f64() * BYTES_PER_S).min(BURST_BYTES);
        self.pages = (self.pages + elapsed.as_secs_f64() * PAGES_PER_S).min(BURST_PAGES);
        self.refilled_at = self.refilled_at.max(now);
    }

    pub(crate) fn allows_updates(&self) -> bool {
        self.bytes > 0.0
    }

    pub(crate) fn allows_gossip(&self) -> bool {
        self.bytes > GOSSIP_RESERVE_BYTES
    }

    /// Takes a token for one page. Returns `false` if there is none.
    pub(crate) fn try_take_page(&mut self) -> bool {
        let allowed = self.pages >= 1.0;
        if allowed {
            self.pages -= 1.0;
        }
        allowed
    }

    pub(crate) fn spend(&mut self, payload_bytes: usize) {
        self.bytes -= (payload_bytes + HEADER_BYTES) as f64;
    }
}
