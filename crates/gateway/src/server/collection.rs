//! All backend servers that this daemon knows.

use super::{Server, ServerEntry, ServerState};
use crate::removed_servers::RemovedServers;
use indexmap::{IndexMap, IndexSet};
use slotmap::{SlotMap, new_key_type};
use std::time::Duration;

new_key_type! {
    /// Key of a backend server in [`Servers`]. It stays valid until the server is removed.
    pub struct ServerKey;
}

/// All known backend servers, and the failure domains that operators have taken out of service.
#[derive(Debug, Default)]
pub struct Servers {
    arena: SlotMap<ServerKey, Server>,
    by_id: IndexMap<String, ServerKey>,
    removed: RemovedServers,
    domains_out_of_service: IndexSet<String>,
}

impl Servers {
    /// Returns the server under a key, or `None` if it was removed.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.arena.get(key)
    }

    /// Returns the server under a key for modification, or `None` if it was removed.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.arena.get_mut(key)
    }

    /// Returns the key of the server with an identifier.
    #[must_use]
    pub fn key_of(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Iterates over all known servers for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.arena.values_mut()
    }

    /// Iterates over all known servers, including those that are out of service.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.arena.iter()
    }

    /// Applies an entry that a server has published, and returns the server's key. An entry of
    /// an earlier start is ignored; an entry of a new start resets all observations except the
    /// requests in flight.
    pub fn on_entry_published(&mut self, entry: ServerEntry, now: Duration) -> ServerKey {
        let Some(key) = self.key_of(&entry.id) else {
            return self.insert(entry, now);
        };
        let server = &mut self.arena[key];
        if entry.started_at_ms < server.entry.started_at_ms {
            // Ignore a delayed heartbeat of an earlier start of the same server.
            return key;
        }
        if entry.started_at_ms > server.entry.started_at_ms {
            let (in_flight, tokens_in_flight) = (server.in_flight, server.tokens_in_flight);
            let uncomputed_tokens = server.uncomputed_tokens;
            *server = Server::new(entry, now);
            server.in_flight = in_flight;
            server.tokens_in_flight = tokens_in_flight;
            server.uncomputed_tokens = uncomputed_tokens;
            return key;
        }
        let was_draining = server.entry.state == ServerState::Draining;
        server.set_cold_for(entry.cold_for, now);
        for served in &entry.models {
            if server.entry.version_of(&served.model) != Some(served.version) {
                server
                    .weights
                    .on_entry_version(&served.model, served.version);
            }
        }
        if entry.address != server.entry.address {
            server.is_address_reused = false;
        }
        server.entry = entry;
        if was_draining {
            // A drain is never cancelled, so a ready entry that follows one is a delayed heartbeat.
            server.entry.state = ServerState::Draining;
        }
        server.removal_due_at = None;
        key
    }

    /// Returns whether a newer entry of the server, or the removal of its entry, is known.
    #[must_use]
    pub fn is_outdated(&self, entry: &ServerEntry) -> bool {
        match self.key_of(&entry.id).and_then(|key| self.get(key)) {
            Some(known) => {
                entry.started_at_ms == known.entry.started_at_ms
                    && entry.heartbeat < known.entry.heartbeat
            }
            None => self.removed.is_outdated(entry),
        }
    }

    fn insert(&mut self, entry: ServerEntry, now: Duration) -> ServerKey {
        let id = entry.id.clone();
        let mut server = Server::new(entry, now);
        self.removed.restore(&mut server);
        let key = self.arena.insert(server);
        self.by_id.insert(id, key);
        key
    }

    /// Removes a server whose entry was deleted or has expired. It stays in use for the time
    /// `grace`, because entries of running servers expire while the metadata store is
    /// unavailable.
    pub fn on_entry_removed(&mut self, id: &str, grace: Duration, now: Duration) {
        let Some(key) = self.key_of(id) else { return };
        if grace.is_zero() {
            self.remove(key, now);
            return;
        }
        self.arena[key].removal_due_at = Some(now + grace);
    }

    /// Removes the servers whose grace time has ended, and returns their identifiers.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let expired: Vec<ServerKey> = self
            .arena
            .iter()
            .filter(|(_, server)| server.removal_due_at.is_some_and(|until| until <= now))
            .map(|(key, _)| key)
            .collect();
        expired
            .into_iter()
            .filter_map(|key| self.remove(key, now))
            .collect()
    }

    /// Ends the grace time of all servers without an entry at `end`, unless it ends before.
    pub(crate) fn limit_grace(&mut self, end: Duration) {
        for server in self.arena.values_mut() {
            server.removal_due_at = server.removal_due_at.map(|due_at| due_at.min(end));
        }
    }

    /// Returns whether there are servers without an entry that are still used.
    pub(crate) fn has_expired_entries(&self) -> bool {
        self.arena
            .values()
            .any(|server| server.removal_due_at.is_some())
    }

    /// Removes every server that is missing in a complete listing, after the time `grace`.
    pub fn retain_listed(&mut self, listed: &IndexSet<String>, grace: Duration, now: Duration) {
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.on_entry_removed(&id, grace, now);
        }
    }

    fn remove(&mut self, key: ServerKey, now: Duration) -> Option<String> {
        let server = self.arena.remove(key)?;
        self.by_id.swap_remove(&server.entry.id);
        self.removed.on_server_removed(&server, now);
        Some(server.entry.id)
    }

    /// Returns the shortest remaining back-off among the servers of a service that are in
    /// service, or `None` if one of them accepts requests now or none is in service.
    #[must_use]
    pub fn backoff_left(&self, service: &str, now: Duration) -> Option<Duration> {
        let in_service = self
            .arena
            .values()
            .filter(|server| server.entry.service == service && self.is_in_service(server));
        let soonest = in_service.map(|server| server.backoff_left(now)).min();
        soonest.filter(|left| !left.is_zero())
    }

    /// Takes a failure domain out of service: its servers get no new requests.
    pub fn disable_domain(&mut self, domain: &str) {
        self.domains_out_of_service.insert(domain.to_owned());
    }

    /// Returns the failure domains that are out of service.
    pub(crate) fn domains_out_of_service(&self) -> impl Iterator<Item = &str> {
        self.domains_out_of_service.iter().map(String::as_str)
    }

    /// Returns a failure domain to service.
    pub fn enable_domain(&mut self, domain: &str) {
        self.domains_out_of_service.swap_remove(domain);
    }

    /// Returns all failure domains to service. Called before a complete listing is applied,
    /// which names those that are out of service.
    pub fn enable_all_domains(&mut self) {
        self.domains_out_of_service.clear();
    }

    /// Returns whether a server may get new work: it is ready, its address is its own, and its
    /// failure domain is in service.
    #[must_use]
    pub fn is_in_service(&self, server: &Server) -> bool {
        server.entry.state == ServerState::Ready
            && !server.is_address_reused
            && !self
                .domains_out_of_service
                .contains(&server.entry.failure_domain)
    }
}
