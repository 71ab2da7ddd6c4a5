//! Tracks which weights a backend server holds beyond what its published entry states, whether it
//! is switching, and whether an order to switch may still take effect.

use indexmap::IndexMap;
use std::time::Duration;

/// A version that a server holds, or will hold, although its entry states an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct VersionOverride {
    version: u64,
    /// Whether the server itself reported the version. Otherwise it was inferred from a rejected
    /// request.
    is_confirmed: bool,
}

/// A switch of a model's weights that was announced or ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Switch {
    version: u64,
    /// Time after which the server counts as available even if it has not reported the version.
    until: Duration,
}

/// An order to load weights that may take effect although the server loads nothing now: its answer
/// is missing. The server rejects it once it has accepted another order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingOrder {
    version: u64,
    /// Time after which the order no longer takes effect.
    until: Duration,
    /// Number of accepted orders that the order requires, if this daemon has sent it.
    expected_orders: Option<u64>,
}

/// Orders that may still take effect, by model.
pub(crate) type PendingOrders = IndexMap<String, PendingOrder>;

/// What is known of a server's weights besides its entry, by model: a server carries out one order at
/// a time, but orders for several models may be on their way to it. Callers pass in the version that
/// the entry states.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadedWeights {
    /// Versions that replace those of the entry.
    overrides: IndexMap<String, VersionOverride>,
    switches: IndexMap<String, Switch>,
    pending_orders: PendingOrders,
}

impl PendingOrder {
    pub(crate) fn until(&self) -> Duration {
        self.until
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }
}

impl LoadedWeights {
    /// Returns the version that the server probably holds.
    pub(crate) fn version(&self, model: &str, entry_version: u64) -> u64 {
        let known = self.overrides.get(model);
        known.map_or(entry_version, |known| known.version)
    }

    /// Returns the version that the server itself reported.
    pub(crate) fn confirmed_version(&self, model: &str, entry_version: u64) -> u64 {
        let confirmed = self.overrides.get(model).filter(|known| known.is_confirmed);
        confirmed.map_or(entry_version, |known| known.version)
    }

    /// Sets the version that the server holds. A version that is not newer than that of the entry
    /// only discards what was known before.
    pub(crate) fn set_version(
        &mut self,
        model: &str,
        entry_version: Option<u64>,
        version: u64,
        is_confirmed: bool,
    ) {
        self.overrides.shift_remove(model);
        if entry_version.is_some_and(|entry_version| entry_version < version) {
            let known = VersionOverride {
                version,
                is_confirmed,
            };
            self.overrides.insert(model.to_owned(), known);
        }
    }

    /// Discards what is known of a model besides the entry.
    pub(crate) fn discard_version(&mut self, model: &str) {
        self.overrides.shift_remove(model);
    }

    /// Records that a newer entry states another version of a model, which replaces what was known
    /// of it.
    pub(crate) fn on_entry_version(&mut self, model: &str, version: u64) {
        self.discard_version(model);
        self.on_switched(model, version);
    }

    /// Records an announced switch to `version`. `confirmed` is the version that the server has
    /// reported so far; if it is not older, the switch is over already: a daemon that starts reads
    /// announcements of any age.
    pub(crate) fn on_switch_announced(
        &mut self,
        model: &str,
        confirmed: Option<u64>,
        version: u64,
        until: Duration,
    ) {
        if confirmed.is_some_and(|confirmed| confirmed >= version) {
            return;
        }
        let switch = Switch { version, until };
        self.switches.insert(model.to_owned(), switch);
    }

    /// Records that the server reported a version, which ends a switch to that version or an older
    /// one.
    pub(crate) fn on_switched(&mut self, model: &str, version: u64) {
        let switch = self.switches.get(model);
        if switch.is_some_and(|switch| version >= switch.version) {
            self.switches.shift_remove(model);
        }
        let order = self.pending_orders.get(model);
        if order.is_some_and(|order| version >= order.version) {
            self.pending_orders.shift_remove(model);
        }
    }

    /// Records that an announced switch to `version` does not take place now.
    pub(crate) fn on_switch_cancelled(&mut self, model: &str, version: u64) {
        let switch = self.switches.get(model);
        if switch.is_some_and(|switch| switch.version == version) {
            self.switches.shift_remove(model);
        }
    }

    /// Records until when an order to load `version` may take effect. It replaces what was known of
    /// earlier orders for the model.
    pub(crate) fn set_pending_order(
        &mut self,
        model: &str,
        version: u64,
        until: Duration,
        expected_orders: Option<u64>,
    ) {
        let order = PendingOrder {
            version,
            until,
            expected_orders,
        };
        self.pending_orders.insert(model.to_owned(), order);
    }

    /// Records that no order for the model may take effect any more.
    pub(crate) fn discard_pending_order(&mut self, model: &str) {
        self.pending_orders.shift_remove(model);
    }

    /// Records that the server loads nothing and has accepted `orders_accepted` orders. An order
    /// that requires another number is rejected by the server, or has ended.
    pub(crate) fn on_orders_reported(&mut self, orders_accepted: u64) {
        self.pending_orders.retain(|_, order| {
            let expected = order.expected_orders;
            expected.is_none_or(|expected| expected == orders_accepted)
        });
    }

    /// Returns the orders that may still take effect, with their models.
    pub(crate) fn pending_orders(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&String, &PendingOrder)> {
        let orders = self.pending_orders.iter();
        orders.filter(move |(_, order)| now < order.until)
    }

    /// Restores the orders that were known before the server's entry was removed.
    pub(crate) fn restore_pending_orders(&mut self, orders: PendingOrders) {
        self.pending_orders = orders;
    }

    /// Returns whether the server is switching weights of a model and accepts no requests.
    pub(crate) fn is_switching(&self, now: Duration) -> bool {
        let mut switches = self.switches.values();
        switches.any(|switch| now < switch.until)
    }
}
