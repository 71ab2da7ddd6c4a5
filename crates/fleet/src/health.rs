//! Local health of a member.

/// Highest score: timeouts at most double. A slow member is also the one that probes its successor on
/// the ring, and with longer timeouts the failure of that one would be detected too late.
const MAX_SCORE: u32 = 1;

/// Score of the evidence that this daemon itself is slow. A slow daemon sees late answers everywhere;
/// it has to lengthen its own timeouts rather than suspect its peers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub(crate) fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Factor for all timeouts of this daemon.
    pub(crate) fn timeout_factor(self) -> u32 {
        self.score + 1
    }

    pub(crate) fn score(self) -> u32 {
        self.score
    }
}
