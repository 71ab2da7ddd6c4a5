//! Orders to engines, which one daemon at a time issues under a lease.
//!
//! An engine that rejects orders with an old fencing token is protected from the orders of previous
//! lease holders. For an engine that ignores the token, a new lease holder waits until the previous
//! lease has expired and no order under it can still take effect. For all engines, the holder reads
//! the engine's state before and after an order.

use crate::mutation::Flaw;
use anvilgw_core::{ModelId, Offset, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Identifier of an order. An order is sent at most once under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u128);

/// Kind of work that an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Prefill only, of prompts that another engine decodes.
    Prefill,
    /// Decode only, after another engine's prefill.
    Decode,
    /// Prefill and decode.
    Both,
}

/// Change of an engine that an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderChange {
    /// Load a version of a model.
    LoadModel {
        /// The model to load.
        model: ModelId,
        /// Version of the model's weights.
        version: u32,
    },
    /// Load a version of an adapter.
    LoadAdapter {
        /// Number of the adapter in the settings.
        adapter: u16,
        /// Version of the adapter.
        version: u32,
    },
    /// Change the engine's role.
    ChangeRole(Role),
}

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// Identifier of the order.
    pub id: OrderId,
    /// The engine that the order is for.
    pub server: ServerId,
    /// The change that the order asks for.
    pub change: OrderChange,
}

/// State of an engine, as the engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineState {
    /// Loaded model and version of its weights, if any is loaded.
    pub model: Option<(ModelId, u32)>,
    /// Versions of the loaded adapters, by number of the adapter in the settings.
    pub adapters: BTreeMap<u16, u32>,
    /// Role that the engine has.
    pub role: Role,
}

impl OrderChange {
    /// Returns whether the engine's state shows the change.
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

/// The lease of the duty `orders`, which allows this daemon to issue orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrant {
    /// Fencing token: offset of the lease record in the log. A later lease has a larger token.
    pub token: Offset,
    /// Uptime from which the lease must not be used. The safety margin is already subtracted.
    pub valid_until: Duration,
    /// Uptime at which the previous lease has certainly expired. None if there was none or this
    /// daemon held it.
    pub previous_expiry: Option<Duration>,
}

/// Settings of an order issuer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IssuerConfig {
    /// Upper bound for the time between the check of the lease before sending and the moment at
    /// which the order takes effect in the engine. An order that is not in effect by then never
    /// will be.
    pub max_time_to_effect: Duration,
    /// Shortest time between two reads of an engine's state for an order.
    pub retry_interval: Duration,
    /// Largest number of orders that wait or are in flight. Further orders are not queued.
    pub max_orders: usize,
    /// Number of ended orders whose ids are remembered, so that an order under one of them is not
    /// sent again.
    pub max_ended_ids: usize,
}

/// Result of sending an order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order because it has seen a newer fencing token.
    TokenTooOld,
    /// The engine refused the order for another reason.
    Refused,
    /// The engine's response was lost or the order was not written, so the engine may or may not
    /// have the order.
    Unknown,
}

/// Input of an order issuer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssuerEvent {
    /// The lease was acquired or renewed.
    LeaseGranted(LeaseGrant),
    /// The lease has expired or another daemon holds it.
    LeaseLost,
    /// An order is to be issued.
    Submit {
        /// The order.
        order: Order,
        /// Whether the engine rejects orders with an old fencing token.
        checks_fencing: bool,
    },
    /// A timer has fired. The daemon sends this at short intervals while orders are open.
    Tick,
    /// Sending an order has ended, with or without a response of the engine.
    OrderSent {
        /// The order.
        id: OrderId,
        /// Result of sending.
        result: SendResult,
    },
    /// A read of an engine's state, which [`IssuerAction::ReadState`] asked for, has ended.
    StateRead {
        /// The order that the state was read for.
        id: OrderId,
        /// The engine's state, or none if it could not be read.
        state: Option<EngineState>,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderEnd {
    /// The engine's state shows the change.
    InEffect,
    /// The engine's state did not show the change [`IssuerConfig::max_time_to_effect`] after the
    /// order was sent.
    NotInEffect,
    /// The engine refused the order.
    Refused,
    /// The order was not sent and never will be, since the lease was lost.
    NotSent,
    /// The order was sent, but the lease was lost before its effect was seen. The next lease holder
    /// reads the engine's state.
    Unknown,
    /// The order was not queued: its id was used before, or [`IssuerConfig::max_orders`] are open.
    NotQueued,
}

/// Output of an order issuer, which the daemon carries out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum IssuerAction {
    /// Read the state of the order's engine and report it with [`IssuerEvent::StateRead`].
    ReadState(Order),
    /// Send the order now and report the result with [`IssuerEvent::OrderSent`].
    Send {
        /// The order.
        order: Order,
        /// Fencing token to send with the order.
        token: Offset,
        /// Uptime from which the daemon must not write the order.
        valid_until: Duration,
    },
    /// The order has ended.
    Ended {
        /// The order.
        id: OrderId,
        /// How the order ended.
        end: OrderEnd,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum OrderStep {
    /// Waits until the previous lease holder's orders can no longer take effect, until the orders
    /// before it to the same engine have ended, or after a failed read.
    Waiting { not_before: Duration },
    /// The engine's state is read before sending, since the change may be in effect already.
    Reading,
    /// The order was sent and is not sent again. The engine's state is read at `check_at`.
    Sent { at: Duration, check_at: Duration },
    /// The engine's state is read after sending.
    Checking { sent_at: Duration },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenOrder {
    order: Order,
    checks_fencing: bool,
    step: OrderStep,
}

/// State machine that issues orders to engines while its daemon holds the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderIssuer {
    config: IssuerConfig,
    flaw: Option<Flaw>,
    lease: Option<LeaseGrant>,
    /// Orders that wait or are in flight.
    open: Vec<OpenOrder>,
    /// Uptime of the last send whose effect was not seen before the lease was lost.
    last_unchecked_send: Option<Duration>,
    /// Ids of the orders that ended last.
    ended_ids: VecDeque<OrderId>,
}

impl OrderIssuer {
    /// Creates an issuer that holds no lease.
    #[must_use]
    pub fn new(config: IssuerConfig) -> Self {
        Self {
            config,
            flaw: None,
            lease: None,
            open: Vec::new(),
            last_unchecked_send: None,
            ended_ids: VecDeque::new(),
        }
    }

    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self
    }

    /// Returns the number of orders that wait or are in flight.
    #[must_use]
    pub fn open_orders(&self) -> usize {
        self.open.len()
    }

    /// Handles an event and returns the actions that it leads to.
    ///
    /// # Panics
    ///
    /// Panics if an order would be sent twice, which would be a defect in this module.
    pub fn handle(&mut self, event: IssuerEvent, now: Duration) -> Vec<IssuerAction> {
        let mut actions = Vec::new();
        match event {
            IssuerEvent::LeaseGranted(lease) => self.on_lease_granted(lease),
            IssuerEvent::LeaseLost => self.on_lease_lost(&mut actions),
            IssuerEvent::Submit {
                order,
                checks_fencing,
            } => self.submit(order, checks_fencing, &mut actions),
            IssuerEvent::Tick => {}
            IssuerEvent::OrderSent { id, result } => self.on_order_sent(id, result, &mut actions),
            IssuerEvent::StateRead { id, state } => {
                self.on_state_read(id, state.as_ref(), now, &mut actions);
            }
        }
        self.advance(now, &mut actions);
        actions
    }

    fn on_lease_granted(&mut self, lease: LeaseGrant) {
        // A renewal names no previous holder, so the wait of the lease held until now continues.
        // Orders that this daemon sent under a lost lease may take effect late like another
        // holder's.
        let previous_expiry = lease
            .previous_expiry
            .max(self.lease.and_then(|held| held.previous_expiry))
            .max(self.last_unchecked_send);
        self.lease = Some(LeaseGrant {
            previous_expiry,
            ..lease
        });
    }

    fn on_lease_lost(&mut self, actions: &mut Vec<IssuerAction>) {
        self.lease = None;
        for open in self.open.clone() {
            let end = match open.step {
                OrderStep::Waiting { .. } | OrderStep::Reading => OrderEnd::NotSent,
                OrderStep::Sent { at, .. } | OrderStep::Checking { sent_at: at } => {
                    self.last_unchecked_send = self.last_unchecked_send.max(Some(at));
                    OrderEnd::Unknown
                }
            };
            self.end_order(open.order.id, end, actions);
        }
    }

    fn submit(&mut self, order: Order, checks_fencing: bool, actions: &mut Vec<IssuerAction>) {
        let is_known = self.find_order(order.id).is_some() || self.ended_ids.contains(&order.id);
        let end = if is_known || self.open.len() >= self.config.max_orders {
            OrderEnd::NotQueued
        } else if self.lease.is_none() {
            OrderEnd::NotSent
        } else {
            let step = OrderStep::Waiting {
                not_before: Duration::ZERO,
            };
            self.open.push(OpenOrder {
                order,
                checks_fencing,
                step,
            });
            return;
        };
        actions.push(IssuerAction::Ended { id: order.id, end });
    }

    fn on_order_sent(&mut self, id: OrderId, result: SendResult, actions: &mut Vec<IssuerAction>) {
        let Some(open) = self.find_order(id) else {
            return;
        };
        let OrderStep::Sent { at, .. } = open.step else {
            return;
        };
        match result {
            SendResult::Accepted => {
                open.step = OrderStep::Checking { sent_at: at };
                actions.push(IssuerAction::ReadState(open.order));
            }
            // The order may still take effect. The engine's state is read once that is impossible.
            SendResult::Unknown => {}
            SendResult::Refused => self.end_order(id, OrderEnd::Refused, actions),
            SendResult::TokenTooOld => {
                self.end_order(id, OrderEnd::Refused, actions);
                self.on_lease_lost(actions);
            }
        }
    }

    fn on_state_read(
        &mut self,
        id: OrderId,
        state: Option<&EngineState>,
        now: Duration,
        actions: &mut Vec<IssuerAction>,
    ) {
        let (max_time_to_effect, retry_interval) =
            (self.config.max_time_to_effect, self.config.retry_interval);
        let Some(open) = self.find_order(id) else {
            return;
        };
        let in_effect = state.map(|state| open.order.change.is_in_effect(state));
        match (open.step, in_effect) {
            (OrderStep::Reading | OrderStep::Checking { .. }, Some(true)) => {
                self.end_order(id, OrderEnd::InEffect, actions);
            }
            (OrderStep::Reading, Some(false)) => self.send(id, now, actions),
            (OrderStep::Reading, None) => {
                let not_before = now + retry_interval;
                open.step = OrderStep::Waiting { not_before };
            }
            (OrderStep::Checking { sent_at }, Some(false))
                if now >= sent_at + max_time_to_effect =>
            {
                self.end_order(id, OrderEnd::NotInEffect, actions);
            }
            (OrderStep::Checking { sent_at }, _) => {
                let in_effect_by = sent_at + max_time_to_effect;
                open.step = OrderStep::Sent {
                    at: sent_at,
                    check_at: in_effect_by.max(now + retry_interval),
                };
            }
            (OrderStep::Waiting { .. } | OrderStep::Sent { .. }, _) => {}
        }
    }

    fn send(&mut self, id: OrderId, now: Duration, actions: &mut Vec<IssuerAction>) {
        let Some(lease) = self.lease else {
            return self.end_order(id, OrderEnd::NotSent, actions);
        };
        // The lease is checked again directly before sending, since the daemon may have been paused
        // during the read.
        if now >= lease.valid_until && self.flaw != Some(Flaw::LeaseNotRechecked) {
            return self.end_order(id, OrderEnd::NotSent, actions);
        }
        let check_at = now + self.config.max_time_to_effect;
        let Some(open) = self.find_order(id) else {
            return;
        };
        assert!(
            matches!(open.step, OrderStep::Reading),
            "an order is sent only once"
        );
        open.step = OrderStep::Sent { at: now, check_at };
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
        let is_wait_over = lease
            .previous_expiry
            .is_none_or(|until| now >= until + max_time_to_effect);
        let skips_wait = self.flaw == Some(Flaw::NoWaitOut);
        // Each engine gets one order at a time, since two in flight could arrive in reverse order.
        let mut busy_servers = BTreeSet::new();
        for open in &mut self.open {
            let is_first = busy_servers.insert(open.order.server);
            match open.step {
                OrderStep::Waiting { not_before }
                    if is_first
                        && now >= not_before
                        && (is_wait_over || open.checks_fencing || skips_wait) =>
                {
                    open.step = OrderStep::Reading;
                    actions.push(IssuerAction::ReadState(open.order));
                }
                OrderStep::Sent { at, check_at } if now >= check_at => {
                    open.step = OrderStep::Checking { sent_at: at };
                    actions.push(IssuerAction::ReadState(open.order));
                }
                OrderStep::Waiting { .. }
                | OrderStep::Sent { .. }
                | OrderStep::Reading
                | OrderStep::Checking { .. } => {}
            }
        }
    }

    fn find_order(&mut self, id: OrderId) -> Option<&mut OpenOrder> {
        self.open.iter_mut().find(|open| open.order.id == id)
    }

    fn end_order(&mut self, id: OrderId, end: OrderEnd, actions: &mut Vec<IssuerAction>) {
        self.open.retain(|open| open.order.id != id);
        if self.ended_ids.len() >= self.config.max_ended_ids {
            self.ended_ids.pop_front();
        }
        self.ended_ids.push_back(id);
        actions.push(IssuerAction::Ended { id, end });
    }
}
