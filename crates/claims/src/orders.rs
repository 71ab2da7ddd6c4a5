//! Orders to engines, issued under a lease.
//!
//! An engine that rejects old fencing tokens needs no protection beyond the token. For one that
//! ignores tokens, a new lease holder waits until the previous lease has expired and no order of its
//! holder can be in flight any more, and reads the engine's state before and after an order.

use crate::mutation::Flaw;
use anvilgw_core::{ModelId, Offset, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Identifier of an order; an order is sent once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u128);

/// Role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Prefill and decode.
    Both,
}

/// What an order changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderChange {
    /// Load a version of a model.
    LoadModel {
        /// The model.
        model: ModelId,
        /// Version of its weights.
        version: u32,
    },
    /// Load a version of an adapter.
    LoadAdapter {
        /// Number of the adapter in the settings.
        adapter: u16,
        /// Its version.
        version: u32,
    },
    /// Change the role.
    ChangeRole(Role),
}

/// One order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// Its identifier.
    pub id: OrderId,
    /// The engine.
    pub server: ServerId,
    /// The change.
    pub change: OrderChange,
}

/// State that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineState {
    /// Loaded model and weight version.
    pub model: Option<(ModelId, u32)>,
    /// Loaded adapters with their versions.
    pub adapters: BTreeMap<u16, u32>,
    /// Role.
    pub role: Role,
}

impl OrderChange {
    /// Whether the engine's state shows the change.
    #[must_use]
    pub fn is_in_effect(self, state: &EngineState) -> bool {
        match self {
            Self::LoadModel { model, version } => state.model == Some((model, version)),
            Self::LoadAdapter { adapter, version } => {
                state.adapters.get(&adapter) == Some(&version)
            }
            Self::ChangeRole(role) => state.role == role,
        }
    }
}

/// The lease of the duty `orders`, as this daemon knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrant {
    /// Fencing token: the offset of the lease record.
    pub token: Offset,
    /// Uptime after which the lease must not be used; the safety margin is already taken off.
    pub valid_until: Duration,
    /// Uptime at which the previous holder's lease has certainly expired, unless it was this daemon.
    pub previous_expiry: Option<Duration>,
}

/// Settings of an issuer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IssuerConfig {
    /// Longer than any time from the check before sending until an order takes effect.
    pub max_time_to_effect: Duration,
    /// Time between two attempts to read an engine's state.
    pub retry_interval: Duration,
    /// Largest number of orders that wait or are in flight.
    pub max_orders: usize,
    /// Number of ended orders that are remembered so that their ids are not used again.
    pub max_ended_ids: usize,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// The engine took the order.
    Accepted,
    /// The engine has seen a newer fencing token.
    TokenTooOld,
    /// The engine refused the order.
    Refused,
    /// The answer was lost, or the order was not sent.
    Unknown,
}

/// What happened to the issuer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssuerEvent {
    /// The lease was acquired or renewed.
    LeaseGranted(LeaseGrant),
    /// The lease was lost.
    LeaseLost,
    /// An order is to be issued; `checks_fencing` says whether the engine rejects old tokens.
    Submit {
        /// The order.
        order: Order,
        /// Whether the engine rejects old fencing tokens.
        checks_fencing: bool,
    },
    /// Time passed.
    Tick,
    /// An engine answered an order.
    OrderSent {
        /// The order.
        id: OrderId,
        /// The answer.
        result: SendResult,
    },
    /// An engine reported its state on [`IssuerAction::ReadState`].
    StateRead {
        /// The order that the state was read for.
        id: OrderId,
        /// The state, or none if it could not be read.
        state: Option<EngineState>,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderEnd {
    /// The engine's state shows the change.
    InEffect,
    /// The engine's state did not show the change after the longest flight time.
    NotInEffect,
    /// The engine refused the order.
    Refused,
    /// The order was not sent and never will be: the lease was lost.
    NotSent,
    /// The order was sent under a lease that is lost; the next holder reads the engine's state.
    Unknown,
    /// The order's id was used before, or too many orders wait.
    NotQueued,
}

/// What the daemon has to do for the issuer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum IssuerAction {
    /// Read the engine's state for this order and report it.
    ReadState(Order),
    /// Send the order now.
    Send {
        /// The order.
        order: Order,
        /// Fencing token.
        token: Offset,
        /// Uptime after which the daemon must not write the order any more.
        valid_until: Duration,
    },
    /// The order has ended.
    Ended {
        /// The order.
        id: OrderId,
        /// How.
        end: OrderEnd,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Waits for the previous holder's orders to land, or after a failed read.
    Waiting { not_before: Duration },
    /// The state is read before sending, since the change may be in effect already.
    Reading,
    /// Sent once; nothing follows but reads.
    Sent { at: Duration, check_at: Duration },
    /// The state is read after sending.
    Checking { sent_at: Duration },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Open {
    order: Order,
    checks_fencing: bool,
    step: Step,
}

/// State machine of the daemon that issues orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderIssuer {
    config: IssuerConfig,
    flaw: Option<Flaw>,
    lease: Option<LeaseGrant>,
    open: Vec<Open>,
    /// When the last order was sent under a lease that is lost.
    lost_at: Option<Duration>,
    ended: VecDeque<OrderId>,
}

impl OrderIssuer {
    /// Creates an issuer without a lease.
    #[must_use]
    pub fn new(config: IssuerConfig) -> Self {
        Self {
            config,
            flaw: None,
            lease: None,
            open: Vec::new(),
            lost_at: None,
            ended: VecDeque::new(),
        }
    }

    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self
    }

    /// Number of orders that wait or are in flight.
    #[must_use]
    pub fn open_orders(&self) -> usize {
        self.open.len()
    }

    /// Handles an event.
    pub fn handle(&mut self, event: IssuerEvent, now: Duration) -> Vec<IssuerAction> {
        let mut actions = Vec::new();
        match event {
            IssuerEvent::LeaseGranted(lease) => self.lease_held(lease),
            IssuerEvent::LeaseLost => self.lease_lost(&mut actions),
            IssuerEvent::Submit {
                order,
                checks_fencing,
            } => self.submit(order, checks_fencing, &mut actions),
            IssuerEvent::Tick => {}
            IssuerEvent::OrderSent { id, result } => self.on_order_sent(id, result, &mut actions),
            IssuerEvent::StateRead { id, state } => {
                self.state_read(id, state.as_ref(), now, &mut actions);
            }
        }
        self.advance(now, &mut actions);
        actions
    }

    fn lease_held(&mut self, lease: LeaseGrant) {
        // A renewal has no previous holder but this daemon, so an earlier wait goes on.
        // Orders that this daemon sent under a lost lease may be in flight like another holder's.
        let previous_expiry = lease
            .previous_expiry
            .max(self.lease.and_then(|held| held.previous_expiry))
            .max(self.lost_at);
        self.lease = Some(LeaseGrant {
            previous_expiry,
            ..lease
        });
    }

    fn lease_lost(&mut self, actions: &mut Vec<IssuerAction>) {
        self.lease = None;
        for open in self.open.clone() {
            let end = match open.step {
                Step::Waiting { .. } | Step::Reading => OrderEnd::NotSent,
                Step::Sent { at, .. } | Step::Checking { sent_at: at } => {
                    self.lost_at = self.lost_at.max(Some(at));
                    OrderEnd::Unknown
                }
            };
            self.end(open.order.id, end, actions);
        }
    }

    fn submit(&mut self, order: Order, checks_fencing: bool, actions: &mut Vec<IssuerAction>) {
        let is_known = self.find(order.id).is_some() || self.ended.contains(&order.id);
        let end = if is_known || self.open.len() >= self.config.max_orders {
            OrderEnd::NotQueued
        } else if self.lease.is_none() {
            OrderEnd::NotSent
        } else {
            let step = Step::Waiting {
                not_before: Duration::ZERO,
            };
            self.open.push(Open {
                order,
                checks_fencing,
                step,
            });
            return;
        };
        actions.push(IssuerAction::Ended { id: order.id, end });
    }

    fn on_order_sent(&mut self, id: OrderId, result: SendResult, actions: &mut Vec<IssuerAction>) {
        let Some(open) = self.find(id) else {
            return;
        };
        let Step::Sent { at, .. } = open.step else {
            return;
        };
        match result {
            SendResult::Accepted => {
                open.step = Step::Checking { sent_at: at };
                actions.push(IssuerAction::ReadState(open.order));
            }
            // The order may still be under way: its effect is looked for when it cannot be any more.
            SendResult::Unknown => {}
            SendResult::Refused => self.end(id, OrderEnd::Refused, actions),
            SendResult::TokenTooOld => {
                self.end(id, OrderEnd::Refused, actions);
                self.lease_lost(actions);
            }
        }
    }

    fn state_read(
        &mut self,
        id: OrderId,
        state: Option<&EngineState>,
        now: Duration,
        actions: &mut Vec<IssuerAction>,
    ) {
        let (max_time_to_effect, retry_interval) =
            (self.config.max_time_to_effect, self.config.retry_interval);
        let Some(open) = self.find(id) else {
            return;
        };
        let in_effect = state.map(|state| open.order.change.is_in_effect(state));
        match (open.step, in_effect) {
            (Step::Reading | Step::Checking { .. }, Some(true)) => {
                self.end(id, OrderEnd::InEffect, actions);
            }
            (Step::Reading, Some(false)) => self.send(id, now, actions),
            (Step::Reading, None) => {
                let not_before = now + retry_interval;
                open.step = Step::Waiting { not_before };
            }
            (Step::Checking { sent_at }, Some(false)) if now >= sent_at + max_time_to_effect => {
                self.end(id, OrderEnd::NotInEffect, actions);
            }
            (Step::Checking { sent_at }, _) => {
                let lands_at = sent_at + max_time_to_effect;
                open.step = Step::Sent {
                    at: sent_at,
                    check_at: lands_at.max(now + retry_interval),
                };
            }
            (Step::Waiting { .. } | Step::Sent { .. }, _) => {}
        }
    }

    fn send(&mut self, id: OrderId, now: Duration, actions: &mut Vec<IssuerAction>) {
        let Some(lease) = self.lease else {
            return self.end(id, OrderEnd::NotSent, actions);
        };
        // Checked directly before each order: the daemon may have been paused during the read.
        if now >= lease.valid_until && self.flaw != Some(Flaw::LeaseNotRechecked) {
            return self.end(id, OrderEnd::NotSent, actions);
        }
        let check_at = now + self.config.max_time_to_effect;
        let Some(open) = self.find(id) else {
            return;
        };
        assert!(
            matches!(open.step, Step::Reading),
            "an order is sent only once"
        );
        open.step = Step::Sent { at: now, check_at };
        actions.push(IssuerAction::Send {
            order: open.order,
            token: lease.token,
            valid_until: lease.valid_until,
        });
    }

    fn advance(&mut self, now: Duration, actions: &mut Vec<IssuerAction>) {
        let Some(lease) = self.lease else {
            return;
        };
        let max_time_to_effect = self.config.max_time_to_effect;
        let waited_out = lease
            .previous_expiry
            .is_none_or(|until| now >= until + max_time_to_effect);
        let skips_wait = self.flaw == Some(Flaw::NoWaitOut);
        // One order per engine at a time: two in flight could arrive in the other order.
        let mut busy = BTreeSet::new();
        for open in &mut self.open {
            let is_first = busy.insert(open.order.server);
            match open.step {
                Step::Waiting { not_before }
                    if is_first
                        && now >= not_before
                        && (waited_out || open.checks_fencing || skips_wait) =>
                {
                    open.step = Step::Reading;
                    actions.push(IssuerAction::ReadState(open.order));
                }
                Step::Sent { at, check_at } if now >= check_at => {
                    open.step = Step::Checking { sent_at: at };
                    actions.push(IssuerAction::ReadState(open.order));
                }
                Step::Waiting { .. }
                | Step::Sent { .. }
                | Step::Reading
                | Step::Checking { .. } => {}
            }
        }
    }

    fn find(&mut self, id: OrderId) -> Option<&mut Open> {
        self.open.iter_mut().find(|open| open.order.id == id)
    }

    fn end(&mut self, id: OrderId, end: OrderEnd, actions: &mut Vec<IssuerAction>) {
        self.open.retain(|open| open.order.id != id);
        if self.ended.len() >= self.config.max_ended_ids {
            self.ended.pop_front();
        }
        self.ended.push_back(id);
        actions.push(IssuerAction::Ended { id, end });
    }
}
