//! Start-time fair queueing over a set of flows.
//!
//! Each flow has a finish tag. The start tag of its next request is the larger of the finish tag
//! and the virtual time, and the flow with the smallest start tag is served first. The virtual time
//! is the start tag of the request that started last, so a flow gets no credit for the time in
//! which it was idle.

/// Scheduling state of one flow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flow {
    /// Finish tag of the request that started last, in tokens per weight.
    finish_tag: f64,
}

impl Flow {
    /// Returns the start tag of the flow's next request.
    pub(crate) fn start_tag(&self, virtual_time: f64) -> f64 {
        self.finish_tag.max(virtual_time)
    }

    /// Records the start of a request of `cost` tokens: advances the virtual time to its start tag
    /// and the finish tag by its cost over the flow's weight.
    pub(crate) fn start_request(&mut self, virtual_time: &mut f64, cost: f64, weight: f64) {
        let start_tag = self.start_tag(*virtual_time);
        *virtual_time = start_tag;
        self.finish_tag = start_tag + cost / weight;
    }

    /// Corrects the cost of an earlier request by `difference` tokens. A refund does not lower the
    /// finish tag below the virtual time, since the flow would then be served before flows that
    /// have waited meanwhile.
    pub(crate) fn correct_cost(&mut self, virtual_time: f64, difference: f64, weight: f64) {
        let corrected = self.finish_tag + difference / weight;
        self.finish_tag = if difference < 0.0 {
            corrected.max(virtual_time.min(self.finish_tag))
        } else {
            corrected
        };
    }
}
