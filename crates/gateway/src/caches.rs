//! What backend servers and stores hold of prompts, and from where a request takes its parts.
//!
//! The directory follows the cache events of every backend server and store. Events are late and a
//! few are lost, so an entry may be wrong: a read of a part that is gone costs about a millisecond
//! and the part is computed, and a part that is not known to be held is computed or read again.

mod relay;

use crate::holder::HolderKind;
pub use crate::holder::{HeldPart, Holder, PartKey, StoreSpec, name_hash};
use crate::places::Places;
use crate::request::PromptPart;
use crate::store_log::{StoreChange, StoreLog, StoreUpdate};
use indexmap::{IndexMap, IndexSet};
use slotmap::{SlotMap, new_key_type};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Part of a store's capacity that is filled. The rest covers saves that this daemon does not know
/// of yet.
const FILLED_PART: f64 = 0.97;
/// Prompt tokens that an engine computes in a millisecond, for comparisons with a transfer.
const COMPUTED_TOKENS_PER_MS: f64 = 100.0;
/// Weight of the time in which an engine computes against the same time of a transfer: computing
/// delays all runs of the engine, a transfer only the one that waits for it.
const COMPUTING_WEIGHT: f64 = 3.0;

/// Probability that an engine has dropped a part that its events still report.
const ENGINE_MISS_PROBABILITY: f64 = 0.2;

/// Smallest part that is read from an engine that may not hold it. A read that misses takes about as
/// long as computing half of this.
const PREDICTED_TOKENS_MIN: u32 = 256;

new_key_type! {
    /// Position of a holder in the directory.
    pub struct HolderKey;
}

/// Changes at a holder since the last call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Changes at each restart of the holder.
    pub epoch: u64,
    /// The servers' clock in milliseconds, where it is told.
    pub clock_ms: Option<u64>,
    /// From where to continue.
    pub next: u64,
    /// Events before these were dropped.
    pub has_gap: bool,
    /// The changes in order.
    pub changes: Vec<HeldPart>,
}

/// The servers' clock, as the answers of holders tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServerClock {
    clock_ms: u64,
    read_at: Duration,
}

impl ServerClock {
    fn at(self, time: Duration) -> u64 {
        self.clock_ms + time.saturating_sub(self.read_at).as_millis() as u64
    }
}

/// Where one part of a prompt is read from and written to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartPlan {
    /// Holder to read the part from.
    pub fetch: Option<SocketAddr>,
    /// Store to write the part to.
    pub save: Option<SocketAddr>,
}

/// What has to be brought to a server for a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CachePlan {
    /// Sources and stores of the shared parts, in their order.
    pub parts: Vec<PartPlan>,
    /// Tokens that the server probably holds.
    pub held_tokens: u32,
    /// Tokens that are read from other holders.
    pub fetched_tokens: u32,
    /// Tokens that nobody holds from whom they would come soon enough.
    pub computed_tokens: u32,
}

/// A shared part of a prompt with its holders.
#[derive(Clone, Debug)]
struct LocatedPart {
    key: PartKey,
    tokens: u32,
    holders: Vec<HolderKey>,
}

/// The shared parts of a prompt with their holders.
#[derive(Clone, Debug)]
pub struct LocatedPrompt {
    parts: Vec<LocatedPart>,
}

/// The server for which a plan is made.
#[derive(Clone, Copy, Debug)]
pub struct PlanFor<'a> {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: &'a str,
    /// Tokens that the link between engines carries in a millisecond.
    pub engine_tokens_per_ms: f64,
}

/// Holders that a request may use.
#[derive(Clone, Copy)]
pub struct Sources<'a> {
    /// Whether a part, given by the hash of its identifier, may be read from stores.
    pub may_read_from_store: &'a dyn Fn(u64) -> bool,
    /// Whether stores may be written.
    pub may_write_stores: bool,
    /// Engines that may be read.
    pub engines: &'a [SocketAddr],
    /// Engine that probably holds what no store has.
    pub likely_engine: Option<SocketAddr>,
    /// Regions that the prompt may be moved to.
    pub places: Places<'a>,
}

impl Sources<'_> {
    fn allow(&self, holder: &Holder, part: &LocatedPart) -> bool {
        if !self.places.allow(&holder.failure_domain) {
            return false;
        }
        match holder.kind {
            HolderKind::Engine => self.engines.contains(&holder.address),
            HolderKind::Store(_) => (self.may_read_from_store)(part.key.id_hash),
        }
    }
}

/// Kinds of holders whose events a daemon reads itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventSources {
    /// Stores.
    pub stores: bool,
    /// Engines.
    pub engines: bool,
}

impl EventSources {
    fn include(self, holder: &Holder) -> bool {
        if holder.is_store() {
            self.stores
        } else {
            self.engines
        }
    }
}

/// What all backend servers and stores hold.
#[derive(Debug, Default)]
pub struct CacheDirectory {
    holders: SlotMap<HolderKey, Holder>,
    by_address: IndexMap<SocketAddr, HolderKey>,
    /// The stores of a configuration were taken over.
    has_stores: bool,
    clock: Option<ServerClock>,
    /// What engines hold is concluded from the ranks of servers, because their events are not read.
    predicts_engines: bool,
    /// Changes at the stores, if other daemons learn them from this one.
    log: Option<StoreLog>,
}

impl CacheDirectory {
    /// Takes over the stores of a configuration and returns the new ones.
    pub fn on_stores(&mut self, specs: &[StoreSpec]) -> Vec<HolderKey> {
        self.has_stores = true;
        let listed: IndexSet<SocketAddr> = specs.iter().map(|spec| spec.address).collect();
        self.retain(|holder| !holder.is_store() || listed.contains(&holder.address));
        let mut added = Vec::new();
        for spec in specs {
            let kind = HolderKind::Store(spec.clone());
            if let Some(key) = self.by_address.get(&spec.address) {
                self.holders[*key].kind = kind;
                continue;
            }
            let holder = Holder::new(kind, spec.address, spec.failure_domain.clone());
            added.push(self.insert(holder));
        }
        added
    }

    /// Takes over the engines that are in service, by address and failure domain, and returns the
    /// new ones.
    pub fn on_engines(&mut self, engines: &IndexMap<SocketAddr, String>) -> Vec<HolderKey> {
        self.retain(|holder| holder.is_store() || engines.contains_key(&holder.address));
        let mut added = Vec::new();
        for (address, domain) in engines {
            if !self.by_address.contains_key(address) {
                let holder = Holder::new(HolderKind::Engine, *address, domain.clone());
                added.push(self.insert(holder));
            }
        }
        added
    }

    fn insert(&mut self, holder: Holder) -> HolderKey {
        let address = holder.address;
        let key = self.holders.insert(holder);
        self.by_address.insert(address, key);
        key
    }

    fn retain(&mut self, keep: impl Fn(&Holder) -> bool) {
        self.holders.retain(|_, holder| keep(holder));
        let holders = &self.holders;
        self.by_address.retain(|_, key| holders.contains_key(*key));
    }

    /// Number of engines.
    #[must_use]
    pub fn engine_count(&self) -> usize {
        let holders = self.holders.values();
        holders.filter(|holder| !holder.is_store()).count()
    }

    /// Whether the contents of all stores are known, but for those that do not answer. At the start of
    /// a daemon they are not.
    #[must_use]
    pub fn knows_stores(&self) -> bool {
        let mut stores = self.holders.values().filter(|holder| holder.is_store());
        self.has_stores && stores.all(|store| store.was_asked)
    }

    /// Holders whose events this daemon should read itself and does not read yet. They count as read
    /// from now on, until [`Self::on_unfollowed`].
    pub fn take_unfollowed(&mut self, sources: EventSources) -> Vec<HolderKey> {
        let holders = self.holders.iter_mut();
        let unfollowed =
            holders.filter(|(_, holder)| !holder.is_followed && sources.include(holder));
        unfollowed
            .map(|(key, holder)| {
                holder.is_followed = true;
                key
            })
            .collect()
    }

    /// Whether the events of a holder should be read by this daemon.
    #[must_use]
    pub fn is_wanted(&self, key: HolderKey, sources: EventSources) -> bool {
        let holder = self.holders.get(key);
        holder.is_some_and(|holder| sources.include(holder))
    }

    /// Notes that the events of a holder are no longer read. What an engine holds changes all the time,
    /// so it is unknown from then on.
    pub fn on_unfollowed(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.is_followed = false;
            if !holder.is_store() {
                holder.on_lost();
            }
        }
    }

    /// Whether what engines hold is concluded from the ranks of servers.
    #[must_use]
    pub fn predicts_engines(&self) -> bool {
        self.predicts_engines
    }

    /// Sets whether what engines hold is concluded from the ranks of servers.
    pub fn set_predicts_engines(&mut self, predicts_engines: bool) {
        self.predicts_engines = predicts_engines;
    }

    /// A holder.
    #[must_use]
    pub fn get(&self, key: HolderKey) -> Option<&Holder> {
        self.holders.get(key)
    }

    /// Takes over the events of a holder. Returns whether its whole list must be read, because
    /// events are missing.
    pub fn on_events(&mut self, key: HolderKey, events: CacheEvents, now: Duration) -> bool {
        if let Some(clock_ms) = events.clock_ms {
            self.on_clock(clock_ms, now);
        }
        let Some(holder) = self.holders.get_mut(key) else {
            return false;
        };
        let has_restarted = holder.epoch != events.epoch;
        if has_restarted {
            holder.clear();
            log_update(&mut self.log, holder, StoreUpdate::Emptied);
        }
        let is_first = holder.epoch == 0;
        if events.has_gap && !holder.is_store() {
            // What an engine holds changes all the time, and a list would stall its runs.
            holder.clear();
        }
        holder.epoch = events.epoch;
        holder.is_up = true;
        holder.next_event = events.next;
        for part in events.changes {
            log_update(&mut self.log, holder, part_update(&part));
            holder.apply(part);
        }
        let needs_list = events.has_gap && holder.is_store() && (is_first || !has_restarted);
        holder.was_asked |= !needs_list;
        needs_list
    }

    /// Takes over the whole list of a holder.
    pub fn on_list(&mut self, key: HolderKey, list: CacheEvents, now: Duration) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.clear();
            log_update(&mut self.log, holder, StoreUpdate::Emptied);
        }
        self.on_events(key, list, now);
    }

    /// Notes that the list of a holder could not be read. What its events told stays known.
    pub fn on_list_failed(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.was_asked = true;
        }
    }

    /// Notes that a holder does not answer. What it held is not relied on any more.
    pub fn on_lost(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.on_lost();
            log_update(&mut self.log, holder, StoreUpdate::Lost);
        }
    }

    /// Notes that a server has read the shared parts of a prompt, before its events tell.
    pub fn on_read(&mut self, address: SocketAddr, scope: &str, parts: &[PromptPart]) {
        let Some(key) = self.by_address.get(&address) else {
            return;
        };
        if self.predicts_engines {
            // No event would ever tell that the part is gone.
            return;
        }
        let holder = &mut self.holders[*key];
        let scope_hash = name_hash(scope);
        for part in parts {
            let key = PartKey {
                scope_hash,
                id_hash: part.id_hash,
            };
            holder.held.entry(key).or_insert_with(|| HeldPart {
                scope: scope.to_owned(),
                id: String::new(),
                tokens: part.tokens,
            });
        }
    }

    /// The servers' clock at an uptime.
    #[must_use]
    pub fn server_clock_ms(&self, at: Duration) -> Option<u64> {
        Some(self.clock?.at(at))
    }

    /// Takes over a reading of the servers' clock. An answer that was held back tells an old time,
    /// so the reading that is ahead counts.
    fn on_clock(&mut self, clock_ms: u64, now: Duration) {
        let known_ms = self.clock.map_or(0, |clock| clock.at(now));
        if clock_ms >= known_ms {
            self.clock = Some(ServerClock {
                clock_ms,
                read_at: now,
            });
        }
    }

    /// Finds who holds the shared parts of a prompt.
    #[must_use]
    pub fn locate(&self, scope_hash: u64, parts: &[PromptPart]) -> LocatedPrompt {
        let located = parts.iter().map(|part| {
            let key = PartKey {
                scope_hash,
                id_hash: part.id_hash,
            };
            let holders = self.holders.iter();
            LocatedPart {
                key,
                tokens: part.tokens,
                holders: holders
                    .filter(|(_, holder)| holder.holds(&key, part.tokens))
                    .map(|(holder, _)| holder)
                    .collect(),
            }
        });
        LocatedPrompt {
            parts: located.collect(),
        }
    }

    /// Where a server reads the shared parts of a prompt that it lacks, and where it writes those
    /// that no store has.
    #[must_use]
    pub fn plan(
        &self,
        prompt: &LocatedPrompt,
        server: PlanFor<'_>,
        sources: Sources<'_>,
    ) -> CachePlan {
        let own = self.by_address.get(&server.address);
        let mut plan = CachePlan::default();
        for part in &prompt.parts {
            let is_held = own.is_some_and(|own| part.holders.contains(own));
            // The server reads only what it lacks, so a source is also named for what it probably holds.
            let known = self.best_source(part, server, sources);
            let source = known.or_else(|| self.likely_source(part, sources));
            let tokens = match source {
                _ if is_held => &mut plan.held_tokens,
                Some(_) => &mut plan.fetched_tokens,
                None => &mut plan.computed_tokens,
            };
            *tokens += part.tokens;
            plan.parts.push(PartPlan {
                fetch: source,
                save: if sources.may_write_stores {
                    self.store_for(part, server.failure_domain, sources.places)
                } else {
                    None
                },
            });
        }
        plan
    }

    /// The holder from which a part comes soonest, if that takes less time than computing it.
    fn best_source(
        &self,
        part: &LocatedPart,
        server: PlanFor<'_>,
        sources: Sources<'_>,
    ) -> Option<SocketAddr> {
        // Without a time limit, which needs the servers' clock, a part could be freed under the read.
        self.clock?;
        let computing_ms = f64::from(part.tokens) / COMPUTED_TOKENS_PER_MS * COMPUTING_WEIGHT;
        part.holders
            .iter()
            .filter_map(|key| self.holders.get(*key))
            .filter(|holder| holder.address != server.address && sources.allow(holder, part))
            .map(|holder| {
                let transfer_ms = holder.transfer_ms(
                    part.tokens,
                    server.failure_domain,
                    server.engine_tokens_per_ms,
                );
                // An engine may have dropped the part since its last event; a store drops nothing.
                let miss_ms = if holder.is_store() {
                    0.0
                } else {
                    computing_ms * ENGINE_MISS_PROBABILITY
                };
                (holder.address, transfer_ms + miss_ms)
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .filter(|(_, transfer_ms)| *transfer_ms < computing_ms)
            .map(|(address, _)| address)
    }

    /// The engine that probably holds a part, if a read that may miss is worth its time.
    fn likely_source(&self, part: &LocatedPart, sources: Sources<'_>) -> Option<SocketAddr> {
        self.clock?;
        sources
            .likely_engine
            .filter(|_| part.tokens >= PREDICTED_TOKENS_MIN)
    }

    /// The store to which a part is written, if no store has it.
    fn store_for(
        &self,
        part: &LocatedPart,
        domain: &str,
        places: Places<'_>,
    ) -> Option<SocketAddr> {
        let (key, tokens) = (&part.key, part.tokens);
        let mut best: Option<(f64, SocketAddr)> = None;
        for holder in self.holders.values().filter(|holder| holder.is_up) {
            let HolderKind::Store(spec) = &holder.kind else {
                continue;
            };
            if holder.held.contains_key(key) {
                return None;
            }
            if !places.allow(&spec.failure_domain) {
                continue;
            }
            let limit = spec.capacity_tokens as f64 * FILLED_PART;
            let has_room = holder.used_tokens as f64 + f64::from(tokens) <= limit;
            let rank = rank(spec, key, domain);
            if has_room && best.is_none_or(|(best, _)| rank > best) {
                best = Some((rank, holder.address));
            }
        }
        best.map(|(_, address)| address)
    }

    /// Parts in stores that `is_retired` names by scope and hash of the identifier, by store, at most
    /// `limit` of each.
    pub fn retired(
        &self,
        limit: usize,
        is_retired: impl Fn(&str, u64) -> bool,
    ) -> Vec<(SocketAddr, Vec<HeldPart>)> {
        self.holders
            .values()
            .filter(|holder| holder.is_store())
            .map(|store| {
                let retired = store
                    .held
                    .iter()
                    .filter(|(key, part)| is_retired(&part.scope, key.id_hash))
                    .map(|(_, part)| part.clone());
                (store.address, retired.take(limit).collect())
            })
            .filter(|(_, parts): &(SocketAddr, Vec<HeldPart>)| !parts.is_empty())
            .collect()
    }

    /// Notes that parts of a store were freed.
    pub fn on_freed(&mut self, address: SocketAddr, parts: &[HeldPart]) {
        let Some(key) = self.by_address.get(&address) else {
            return;
        };
        for part in parts {
            let gone = HeldPart {
                tokens: 0,
                ..part.clone()
            };
            let holder = &mut self.holders[*key];
            log_update(&mut self.log, holder, part_update(&gone));
            holder.apply(gone);
        }
    }
}

fn part_update(part: &HeldPart) -> StoreUpdate {
    StoreUpdate::Part {
        scope: part.scope.clone(),
        id: part.id.clone(),
        tokens: part.tokens,
    }
}

fn log_update(log: &mut Option<StoreLog>, holder: &Holder, update: StoreUpdate) {
    if let Some(log) = log
        && holder.is_store()
    {
        log.push(StoreChange {
            store: holder.address,
            update,
        });
    }
}

/// Rank of a store for a part: rendezvous hashing, weighted by capacity, and by distance because a
/// transfer to another failure domain takes twice as long and costs more.
fn rank(spec: &StoreSpec, key: &PartKey, domain: &str) -> f64 {
    const SAME_DOMAIN_WEIGHT: f64 = 6.0;
    let mut hasher = std::hash::DefaultHasher::new();
    key.hash(&mut hasher);
    spec.address.hash(&mut hasher);
    let unit = (hasher.finish() as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let distance_weight = if spec.failure_domain == domain {
        SAME_DOMAIN_WEIGHT
    } else {
        1.0
    };
    spec.capacity_tokens as f64 * distance_weight / -unit.ln()
}
