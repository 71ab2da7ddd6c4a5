//! Tracks the orders to load weights that this daemon has given, and when it calls each server
//! again.

use super::switch_plan::OutdatedServer;
use crate::server::ServerKey;
use indexmap::IndexMap;
use std::time::Duration;

/// Time from an accepted order until it is assumed to have had no effect. It covers the load and
/// one heartbeat.
const ACCEPTED_TIMEOUT: Duration = Duration::from_secs(6);
/// Time until a server is ordered again that has not answered an order or a request for its report.
/// It leaves time for other servers, and is short beside the time limit of a switch.
const NO_ANSWER_PAUSE: Duration = Duration::from_secs(2);
/// Time until a server is ordered again that was busy, or rejected an order.
const REJECTED_PAUSE: Duration = Duration::from_millis(300);
/// Time after an order before the server is first asked for its progress.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(900);
/// Pause between two requests to a server for its progress.
const POLL_PAUSE: Duration = Duration::from_millis(150);
/// The same after one that was not answered.
const POLL_PAUSE_NO_ANSWER: Duration = Duration::from_secs(1);

/// What became of an attempt to order a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server carries the order out.
    Accepted,
    /// The order was not answered. The server may carry it out, even much later.
    Unanswered,
    /// The server is carrying out another order.
    Busy,
    /// The server rejected the order, or no longer carries it out.
    Rejected,
    /// The server did not answer the request for its report, so no order was given.
    NoReport,
}

impl OrderOutcome {
    /// Returns whether the server may be loading weights.
    fn may_be_loading(self) -> bool {
        matches!(self, Self::Accepted | Self::Unanswered | Self::Busy)
    }

    /// Returns how long no other order for the same version is given.
    fn pause(self) -> Duration {
        match self {
            Self::Accepted => ACCEPTED_TIMEOUT,
            Self::Unanswered | Self::NoReport => NO_ANSWER_PAUSE,
            Self::Busy | Self::Rejected => REJECTED_PAUSE,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    version: u64,
    outcome: OrderOutcome,
    retry_at: Duration,
    poll_at: Duration,
}

/// The last order to each server for each model.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    orders: IndexMap<ServerKey, IndexMap<String, LastOrder>>,
}

impl OrderTracker {
    /// Records what became of an attempt to order a server.
    pub fn on_outcome(&mut self, target: &OutdatedServer, outcome: OrderOutcome, now: Duration) {
        let order = LastOrder {
            version: target.version,
            outcome,
            retry_at: now + outcome.pause(),
            poll_at: now + FIRST_POLL_DELAY,
        };
        let orders = self.orders.entry(target.server).or_default();
        orders.insert(target.model.clone(), order);
    }

    /// Records that a server which was ordered still holds the old weights and loads none: it has
    /// restarted, or the order is still on its way. An order that arrives after another one is
    /// rejected by the server.
    pub fn on_idle(&mut self, target: &OutdatedServer, now: Duration) {
        self.on_outcome(target, OrderOutcome::Rejected, now);
    }

    /// Records that a server answered a request for its progress, or did not.
    pub fn on_polled(&mut self, target: &OutdatedServer, is_answered: bool, now: Duration) {
        let pause = if is_answered {
            POLL_PAUSE
        } else {
            POLL_PAUSE_NO_ANSWER
        };
        let orders = self.orders.get_mut(&target.server);
        if let Some(order) = orders.and_then(|orders| orders.get_mut(&target.model)) {
            order.poll_at = now + pause;
        }
    }

    /// Returns whether a server is to be asked for its progress.
    #[must_use]
    pub fn is_poll_due(&self, target: &OutdatedServer, now: Duration) -> bool {
        let order = self.last_order(target);
        order.is_some_and(|order| order.outcome.may_be_loading() && now >= order.poll_at)
    }

    /// Returns whether a server may be ordered now. One that loads a version which is no longer the
    /// newest may be busy, which its report tells.
    #[must_use]
    pub fn may_order(&self, target: &OutdatedServer, now: Duration) -> bool {
        self.last_order(target).is_none_or(|order| {
            let is_other_version =
                order.version != target.version && order.outcome != OrderOutcome::NoReport;
            is_other_version || now >= order.retry_at
        })
    }

    /// Returns whether a server may be loading the version that it has to load.
    #[must_use]
    pub fn may_be_loading(&self, target: &OutdatedServer, now: Duration) -> bool {
        let order = self.last_order(target);
        order.is_some_and(|order| {
            order.version == target.version
                && order.outcome.may_be_loading()
                && now < order.retry_at
        })
    }

    fn last_order(&self, target: &OutdatedServer) -> Option<&LastOrder> {
        self.orders.get(&target.server)?.get(&target.model)
    }

    /// Forgets all orders.
    pub fn clear(&mut self) {
        self.orders.clear();
    }
}
