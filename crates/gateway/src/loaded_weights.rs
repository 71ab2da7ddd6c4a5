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

/// A switch of weights that was announced or ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Switch {
    model: String,
    version: u64,
    /// Time after which the server counts as available even if it has not reported the version.
    until: Duration,
}

/// An order to load weights that may take effect although the server loads nothing now: its answer
/// is missing. The server rejects it once it has accepted another order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingOrder {
    model: String,
    version: u64,
    /// Time after which the order no longer takes effect.
    until: Duration,
    /// Number of accepted orders that the order requires, if this daemon has sent it.
    expected_orders: Option<u64>,
}

/// What is known of a server's weights besides its entry. Callers pass in the version that the
/// entry states.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadedWeights {
    /// Versions that replace those of the entry, by model.
    overrides: IndexMap<String, VersionOverride>,
    switch: Option<Switch>,
    pending_order: Option<PendingOrder>,
}

impl PendingOrder {
    pub(crate) fn until(&self) -> Duration {
        self.until
    }

    pub(crate) fn model(&self) -> &str {
        &self.model
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

    /// Discards all versions, because a newer entry states them.
    pub(crate) fn on_entry(&mut self) {
        self.overrides.clear();
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
        self.switch = Some(Switch {
            model: model.to_owned(),
            version,
            until,
        });
    }

    /// Records that the server reported a version, which ends a switch to that version or an older
    /// one.
    pub(crate) fn on_switched(&mut self, model: &str, version: u64) {
        let is_over = |switch: &Switch| switch.model == model && version >= switch.version;
        if self.switch.as_ref().is_some_and(is_over) {
            self.switch = None;
        }
        let has_taken_effect =
            |order: &PendingOrder| order.model == model && version >= order.version;
        if self.pending_order.as_ref().is_some_and(has_taken_effect) {
            self.pending_order = None;
        }
    }

    /// Records that an announced switch to `version` does not take place now.
    pub(crate) fn on_switch_cancelled(&mut self, model: &str, version: u64) {
        let is_cancelled = |switch: &Switch| switch.model == model && switch.version == version;
        if self.switch.as_ref().is_some_and(is_cancelled) {
            self.switch = None;
        }
    }

    /// Records until when an order to load `version` may take effect. It replaces what was known of
    /// earlier orders.
    pub(crate) fn set_pending_order(
        &mut self,
        model: &str,
        version: u64,
        until: Duration,
        expected_orders: Option<u64>,
    ) {
        self.pending_order = Some(PendingOrder {
            model: model.to_owned(),
            version,
            until,
            expected_orders,
        });
    }

    /// Records that no order may take effect any more.
    pub(crate) fn discard_pending_order(&mut self) {
        self.pending_order = None;
    }

    /// Records that the server loads nothing and has accepted `orders_accepted` orders. An order
    /// that requires another number is rejected by the server, or has ended.
    pub(crate) fn on_orders_reported(&mut self, orders_accepted: u64) {
        let expected = |order: &PendingOrder| order.expected_orders;
        let expected = self.pending_order.as_ref().and_then(expected);
        if expected.is_some_and(|expected| expected != orders_accepted) {
            self.pending_order = None;
        }
    }

    /// Returns the order that may still take effect.
    pub(crate) fn pending_order(&self, now: Duration) -> Option<&PendingOrder> {
        self.pending_order
            .as_ref()
            .filter(|order| now < order.until)
    }

    /// Restores the order that was known before the server's entry was removed.
    pub(crate) fn restore_pending_order(&mut self, order: Option<PendingOrder>) {
        self.pending_order = order;
    }

    /// Returns whether the server is switching weights and accepts no requests.
    pub(crate) fn is_switching(&self, now: Duration) -> bool {
        let switch = self.switch.as_ref();
        switch.is_some_and(|switch| now < switch.until)
    }
}
