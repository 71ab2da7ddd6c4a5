//! Weights that one backend server holds beyond what its entry tells, and its switch to other ones.

use indexmap::IndexMap;
use std::time::Duration;

/// Weights that a server holds or will hold although its entry names older ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AheadOfEntry {
    version: u64,
    /// The server told so, as opposed to a conclusion from a refusal.
    is_told: bool,
}

/// A switch that was announced or ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Switch {
    model: String,
    version: u64,
    /// Time until which the server takes no requests.
    until: Duration,
}

/// What is known of a server's weights beside its entry. Versions of the entry are arguments.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadedWeights {
    /// By model.
    ahead: IndexMap<String, AheadOfEntry>,
    switch: Option<Switch>,
}

impl LoadedWeights {
    /// Version that the server probably holds.
    pub(crate) fn version(&self, model: &str, entry: u64) -> u64 {
        let ahead = self.ahead.get(model);
        ahead.map_or(entry, |ahead| ahead.version)
    }

    /// Version that the server itself has told.
    pub(crate) fn confirmed_version(&self, model: &str, entry: u64) -> u64 {
        let told = self.ahead.get(model).filter(|ahead| ahead.is_told);
        told.map_or(entry, |ahead| ahead.version)
    }

    /// Sets the version that the server holds, if its entry names an older one.
    pub(crate) fn set_version(
        &mut self,
        model: &str,
        entry: Option<u64>,
        version: u64,
        is_told: bool,
    ) {
        self.ahead.shift_remove(model);
        if entry.is_some_and(|entry| entry < version) {
            let ahead = AheadOfEntry { version, is_told };
            self.ahead.insert(model.to_owned(), ahead);
        }
    }

    /// Forgets the versions of a model that an entry replaces.
    pub(crate) fn discard_version(&mut self, model: &str) {
        self.ahead.shift_remove(model);
    }

    /// Forgets all versions, because a newer entry tells them.
    pub(crate) fn on_entry(&mut self) {
        self.ahead.clear();
    }

    /// Notes a switch of a server that told to hold `told`. A server that holds the version already has
    /// switched before: a daemon that starts reads announcements of any age.
    pub(crate) fn on_switch_announced(
        &mut self,
        model: &str,
        told: Option<u64>,
        version: u64,
        until: Duration,
    ) {
        if told.is_some_and(|told| told >= version) {
            return;
        }
        self.switch = Some(Switch {
            model: model.to_owned(),
            version,
            until,
        });
    }

    /// Notes that the server told to hold a version, which ends a switch to it.
    pub(crate) fn on_switched(&mut self, model: &str, version: u64) {
        let is_over = |switch: &Switch| switch.model == model && version >= switch.version;
        if self.switch.as_ref().is_some_and(is_over) {
            self.switch = None;
        }
    }

    /// Whether the server switches and takes no requests.
    pub(crate) fn is_switching(&self, now: Duration) -> bool {
        let switch = self.switch.as_ref();
        switch.is_some_and(|switch| now < switch.until)
    }
}
