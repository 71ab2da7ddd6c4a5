//! Bound on the bytes a daemon sends.

use std::time::Duration;

/// Rate at which the allowance grows. The rest up to 2 KB/s is left to the mandatory datagrams that
/// are sent while the allowance is used up.
const BYTES_PER_S: f64 = 1_850.0;

/// Most bytes that can accumulate, for the burst that spreads news.
const BURST_BYTES: f64 = 4_000.0;

/// IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Balance above which news is passed on at once. The rest is kept for updates on probes and answers.
const GOSSIP_RESERVE_BYTES: f64 = 1_000.0;

/// Pages of the member list sent per second and at once at most. They have their own bound: when a
/// large fleet starts, the answers to probes use up the allowance of the few members that all know,
/// and nobody would learn of the others. Outside of a start a daemon sends about one in 10 s.
const PAGES_PER_S: f64 = 10.0;
const BURST_PAGES: f64 = 20.0;

/// Token bucket over all bytes sent. Probes and answers are always sent and may overdraw it; updates
/// are sent only while it is positive.
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

    /// Takes the right to send a page.
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
