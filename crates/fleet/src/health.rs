//! Local health: evidence that this daemon itself is slow.

/// Largest score: timeouts are at most doubled. A slow member also probes its successor on the
/// ring, and with longer timeouts a failure of that successor would be detected too late.
const MAX_SCORE: u32 = 1;

/// Score of the evidence that this daemon itself is slow. A slow daemon sees late answers from all
/// peers; it has to lengthen its own timeouts instead of suspecting the peers.
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

    /// Returns the factor by which this daemon lengthens its timeouts.
    pub(crate) fn timeout_factor(self) -> u32 {
        self.score + 1
    }

    pub(crate) fn score(self) -> u32 {
        self.score
    }
}
