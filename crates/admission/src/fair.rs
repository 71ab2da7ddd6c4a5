//! Start-time fair queueing over a set of flows.
//!
//! Each flow has a finish tag; its next request starts at the larger of that tag and the virtual
//! time, and the flow with the smallest start tag goes first. The virtual time is the start tag of
//! the request that started last, so a flow that was idle has no claim on the past.

/// Tags of one flow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flow {
    finish: f64,
}

impl Flow {
    /// Start tag of the next request.
    pub(crate) fn start_tag(&self, virtual_time: f64) -> f64 {
        self.finish.max(virtual_time)
    }

    /// Starts a request: advances the virtual time and the finish tag.
    pub(crate) fn start(&mut self, virtual_time: &mut f64, cost: f64, weight: f64) {
        let start = self.start_tag(*virtual_time);
        *virtual_time = start;
        self.finish = start + cost / weight;
    }

    /// Corrects the cost of an earlier request. A refund does not reach below the virtual time: it
    /// would let the flow run ahead of flows that waited meanwhile.
    pub(crate) fn correct(&mut self, virtual_time: f64, difference: f64, weight: f64) {
        let corrected = self.finish + difference / weight;
        self.finish = if difference < 0.0 {
            corrected.max(virtual_time.min(self.finish))
        } else {
            corrected
        };
    }
}
