//! Decides from acknowledgements whether the machine of a peer that receives a request still runs.
//!
//! A process that does not read closes its receive window, and no more of a request can be sent.
//! Its kernel still answers window probes, so the machine is reachable and the request may go on at
//! any time. A machine that has lost power, or is cut off, answers nothing.

use crate::tcp_info::TcpInfo;
use std::fmt;
use std::time::Duration;

/// Time without an acknowledgement after which a peer with a closed window counts as unreachable.
/// Window probes follow each other within [`PROBE_INTERVAL_MAX`], and kernels answer at most two a
/// second, so that a machine which stands still for a second has answered one by then.
const CLOSED_WINDOW_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which a window probe has to be unanswered before its peer counts as unreachable.
const PROBE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time between two window probes or retransmissions. The kernel doubles the time between
/// them, but sends the next one no later than at the end of its limit on unacknowledged data.
pub const PROBE_INTERVAL_MAX: Duration = Duration::from_millis(1000);
/// Time without outstanding data after which the whole request has arrived. A closed window shows
/// with the first probe, which the kernel sends after a fifth of a second or a few round trips.
const SETTLED_AFTER: Duration = Duration::from_millis(500);
/// Time between two observations after which the first one shows nothing: this process, or its
/// machine, was stopped in between.
const OBSERVATION_GAP_MAX: Duration = Duration::from_millis(1000);

/// What an observation shows about the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// All data has arrived.
    Settled,
    /// Data is on its way, or has arrived lately.
    Receiving,
    /// Data has to be sent again, or the window is closed. The connection must be kept for at least
    /// this long from the beginning of that.
    Stalled(Duration),
    /// Nothing is acknowledged any more.
    Unreachable(Unacknowledged),
}

/// What a peer did not acknowledge, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unacknowledged {
    /// Whether it was a probe of a closed window. Otherwise it was data.
    pub is_window_closed: bool,
    /// Time since the last acknowledgement, or since one is overdue if that is shorter.
    pub silence: Duration,
}

impl fmt::Display for Unacknowledged {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = if self.is_window_closed {
            "window probes"
        } else {
            "data"
        };
        let silence_ms = self.silence.as_millis();
        write!(formatter, "{what} not acknowledged for {silence_ms} ms")
    }
}

/// Follows one request on its way to the peer.
#[derive(Clone, Copy, Debug)]
pub struct PeerLiveness {
    observed_at: Duration,
    /// When there was no outstanding data, or the last acknowledgement arrived.
    acknowledged_at: Duration,
    /// Last observation without an unanswered window probe.
    probes_answered_at: Duration,
    /// Last observation at which nothing had to be sent again and the window was open.
    progress_at: Duration,
    /// Since when there is no outstanding data.
    settled_since: Option<Duration>,
}

impl PeerLiveness {
    /// Starts to follow a request that is sent at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            observed_at: now,
            acknowledged_at: now,
            probes_answered_at: now,
            progress_at: now,
            settled_since: None,
        }
    }

    /// Evaluates the statistics of the connection at `now`. `timeout` is the time without an
    /// acknowledgement of data after which the peer counts as unreachable.
    pub fn observe(&mut self, info: &TcpInfo, timeout: Duration, now: Duration) -> PeerState {
        if now > self.observed_at + OBSERVATION_GAP_MAX {
            self.acknowledged_at = now;
            self.probes_answered_at = now;
        }
        self.observed_at = now;
        let last_ack_at = now.saturating_sub(info.last_ack_age);
        self.acknowledged_at = self.acknowledged_at.max(last_ack_at);
        if info.unanswered_probes == 0 {
            self.probes_answered_at = now;
        }
        if info.unacked_packets > 0 {
            self.settled_since = None;
            return self.observe_data(info, timeout, now);
        }
        if info.backoff > 0 || info.unanswered_probes > 0 {
            self.settled_since = None;
            return self.observe_closed_window(timeout, now);
        }
        self.acknowledged_at = now;
        self.progress_at = now;
        self.settled_since.get_or_insert(now);
        if self.is_settled() {
            PeerState::Settled
        } else {
            PeerState::Receiving
        }
    }

    /// Returns whether the whole request has arrived.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let settled_since = self.settled_since;
        settled_since.is_some_and(|since| self.observed_at >= since + SETTLED_AFTER)
    }

    fn observe_data(&mut self, info: &TcpInfo, timeout: Duration, now: Duration) -> PeerState {
        // The first retransmission follows once an acknowledgement is overdue.
        let overdue_since = self.acknowledged_at.max(self.progress_at);
        let silence = now.saturating_sub(overdue_since);
        if info.retransmits > 0 && silence >= timeout {
            return PeerState::Unreachable(Unacknowledged {
                is_window_closed: false,
                silence,
            });
        }
        if info.retransmits > 0 {
            return self.stalled(timeout, now);
        }
        self.progress_at = now;
        PeerState::Receiving
    }

    fn observe_closed_window(&self, timeout: Duration, now: Duration) -> PeerState {
        let silence = now.saturating_sub(self.acknowledged_at);
        let unanswered = now.saturating_sub(self.probes_answered_at);
        if silence >= CLOSED_WINDOW_TIMEOUT && unanswered >= PROBE_ANSWER_TIMEOUT {
            return PeerState::Unreachable(Unacknowledged {
                is_window_closed: true,
                silence,
            });
        }
        self.stalled(timeout, now)
    }

    fn stalled(&self, timeout: Duration, now: Duration) -> PeerState {
        let stalled_for = now.saturating_sub(self.progress_at);
        PeerState::Stalled(timeout.max(stalled_for + PROBE_INTERVAL_MAX))
    }
}
