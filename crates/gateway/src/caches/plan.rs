//! Plans from where a server reads the shared parts of a prompt, and to which stores it writes
//! them.

use super::links::PlannedTransfer;
use super::timely_reads::{PartSource, TimelyReads, WaitingTokens};
use super::{CacheDirectory, CacheStoreKey};
use crate::cache_store::{CacheStore, CacheStoreSpec, PartKey};
use crate::prefill_rate::PrefillRate;
use crate::region_constraints::RegionConstraints;
use crate::request::PromptPart;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Fraction of a store's capacity up to which it is filled. The rest covers writes that this
/// daemon does not know of yet.
const FILL_FRACTION_MAX: f64 = 0.97;
/// Weight of computing time relative to transfer time: computing a prompt delays all requests
/// on the engine, a transfer only the request that waits for it.
const PREFILL_WEIGHT: f64 = 3.0;
/// Smallest part, in tokens, that is read from an engine which may not have it. A read that
/// misses takes about as long as computing half of this.
const SPECULATIVE_READ_TOKENS_MIN: u32 = 256;

/// Where a server reads one part of a prompt from and writes it to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartPlan {
    /// Store or engine to read the part from. `None` if it is to be computed.
    pub fetch: Option<SocketAddr>,
    /// Store to write the part to. `None` if it is not to be stored.
    pub save: Option<SocketAddr>,
}

/// Reads and writes of the shared parts of a prompt by the selected server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CachePlan {
    /// Plans of the shared parts, in the order of the parts.
    pub parts: Vec<PartPlan>,
    /// Tokens for which a source is given. The server reads only those that it has not cached
    /// itself.
    pub fetched_tokens: u32,
    /// Tokens without a source that is faster than computing them.
    pub computed_tokens: u32,
    /// Tokens of these that a store holds, but that would arrive after they are computed or after
    /// the time limit of the reads.
    pub late_tokens: u32,
    /// Transfers that the reads cause, if an account of the links is kept.
    pub transfers: Vec<PlannedTransfer>,
}

/// A shared part of a prompt, with the stores that hold it.
#[derive(Clone, Debug)]
struct LocatedPart {
    key: PartKey,
    tokens: u32,
    stores: Vec<CacheStoreKey>,
}

/// The shared parts of a prompt, with the stores that hold them.
#[derive(Clone, Debug)]
pub struct LocatedPrompt {
    parts: Vec<LocatedPart>,
}

/// The server for which a plan is made.
#[derive(Clone, Copy, Debug)]
pub struct PlanDestination<'a> {
    /// Failure domain of the server.
    pub failure_domain: &'a str,
    /// Rate at which the server computes prompts.
    pub prefill_rate: PrefillRate,
}

/// Rules on which sources and stores a request may use.
#[derive(Clone, Copy)]
pub struct TransferPolicy<'a> {
    /// Returns whether a part, given by the hash of its identifier, may be read from stores.
    pub may_read_from_store: &'a dyn Fn(u64) -> bool,
    /// Whether parts may be written to stores.
    pub may_write_stores: bool,
    /// Engine that most likely has the parts that no store holds.
    pub likely_engine: Option<SocketAddr>,
    /// Regions within which the prompt's parts may be transferred.
    pub region_constraints: RegionConstraints<'a>,
    /// Tokens that wait on the link of a source. `None` if no account of the links is kept; reads
    /// are then planned as if each link were idle.
    pub waiting_tokens: Option<&'a WaitingTokens<'a>>,
    /// Random number from 0 to 1, by which the request accepts a wait for a link.
    pub draw: f64,
}

impl TransferPolicy<'_> {
    fn allow(&self, store: &CacheStore, part: &LocatedPart) -> bool {
        self.region_constraints.allow(&store.spec.failure_domain)
            && (self.may_read_from_store)(part.key.id_hash)
    }
}

impl CacheDirectory {
    /// Looks up which stores hold the shared parts of a prompt under a scope. Stores whose contents
    /// were not confirmed recently are left out.
    #[must_use]
    pub fn locate(&self, scope_hash: u64, parts: &[PromptPart], now: Duration) -> LocatedPrompt {
        let located = parts.iter().map(|part| {
            let key = PartKey {
                scope_hash,
                id_hash: part.id_hash,
            };
            let stores = self.stores.iter();
            LocatedPart {
                key,
                tokens: part.tokens,
                stores: stores
                    .filter(|(_, store)| store.holds(&key, part.tokens, now))
                    .map(|(store, _)| store)
                    .collect(),
            }
        });
        LocatedPrompt {
            parts: located.collect(),
        }
    }

    /// Plans from where a server reads the shared parts of a prompt, and where it writes those
    /// that no store holds. The server reads only what it has not cached, so sources are given
    /// for all parts.
    #[must_use]
    pub fn plan(
        &self,
        prompt: &LocatedPrompt,
        destination: PlanDestination<'_>,
        policy: TransferPolicy<'_>,
    ) -> CachePlan {
        let mut plan = CachePlan::default();
        let mut reads = policy
            .waiting_tokens
            .map(|waiting| TimelyReads::new(waiting, policy.draw));
        for part in &prompt.parts {
            let source = match &mut reads {
                Some(reads) => {
                    let sources = self.store_sources(part, destination, policy);
                    let source = self.timely_source(part, &sources, destination, policy, reads);
                    if source.is_none() && !sources.is_empty() {
                        plan.late_tokens += part.tokens;
                    }
                    source
                }
                None => self
                    .best_source(part, destination, policy)
                    .or_else(|| self.likely_source(part, policy)),
            };
            let tokens = match source {
                Some(_) => &mut plan.fetched_tokens,
                None => &mut plan.computed_tokens,
            };
            *tokens += part.tokens;
            plan.parts.push(PartPlan {
                fetch: source,
                save: if policy.may_write_stores {
                    self.store_for(part, destination.failure_domain, policy.region_constraints)
                } else {
                    None
                },
            });
        }
        plan.transfers = reads.map(TimelyReads::into_transfers).unwrap_or_default();
        plan
    }

    /// Returns the stores from which a part may be read.
    fn store_sources(
        &self,
        part: &LocatedPart,
        destination: PlanDestination<'_>,
        policy: TransferPolicy<'_>,
    ) -> Vec<PartSource> {
        let stores = part.stores.iter().filter_map(|key| self.stores.get(*key));
        let allowed = stores.filter(|store| policy.allow(store, part));
        allowed
            .map(|store| PartSource {
                address: store.address(),
                transfer_ms: store.transfer_ms(part.tokens, destination.failure_domain),
                link_tokens: store.link_tokens(part.tokens, destination.failure_domain),
                link_tokens_per_ms: store.spec.link_tokens_per_ms,
            })
            .collect()
    }

    /// Returns the store from which a part arrives first, if it arrives in time; otherwise the engine
    /// that most likely has it, if its link is not busy.
    fn timely_source(
        &self,
        part: &LocatedPart,
        stores: &[PartSource],
        destination: PlanDestination<'_>,
        policy: TransferPolicy<'_>,
        reads: &mut TimelyReads<'_>,
    ) -> Option<SocketAddr> {
        // A read needs a deadline on the servers' clock, as in `best_source`.
        self.clock?;
        let compute_ms = destination.prefill_rate.prefill_ms(part.tokens) * PREFILL_WEIGHT;
        let from_store = reads.choose(part.tokens, compute_ms, stores.iter().copied());
        if from_store.is_some() {
            return from_store;
        }
        let engine = self.likely_source(part, policy)?;
        let source = self.engine_source(engine, part.tokens)?;
        reads.choose(part.tokens, compute_ms, std::iter::once(source))
    }

    /// Returns an engine as a source. The links of engines are not configured, so the slowest one of
    /// the stores stands for them.
    fn engine_source(&self, address: SocketAddr, tokens: u32) -> Option<PartSource> {
        let stores = self.stores.values();
        let rate = |store: &CacheStore| store.spec.link_tokens_per_ms.max(1.0);
        let link_tokens_per_ms = stores.map(rate).min_by(f64::total_cmp)?;
        let link_tokens = f64::from(tokens);
        Some(PartSource {
            address,
            transfer_ms: link_tokens / link_tokens_per_ms,
            link_tokens,
            link_tokens_per_ms,
        })
    }

    /// Returns the store from which a part is transferred fastest, if that takes less time than
    /// computing it.
    fn best_source(
        &self,
        part: &LocatedPart,
        destination: PlanDestination<'_>,
        policy: TransferPolicy<'_>,
    ) -> Option<SocketAddr> {
        // A read needs a deadline on the servers' clock: without one the part could be freed
        // during it.
        self.clock?;
        let prefill_ms = destination.prefill_rate.prefill_ms(part.tokens) * PREFILL_WEIGHT;
        part.stores
            .iter()
            .filter_map(|key| self.stores.get(*key))
            .filter(|store| policy.allow(store, part))
            .map(|store| {
                let transfer_ms = store.transfer_ms(part.tokens, destination.failure_domain);
                (store.address(), transfer_ms)
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .filter(|(_, transfer_ms)| *transfer_ms < prefill_ms)
            .map(|(address, _)| address)
    }

    /// Returns the engine that most likely has a part, if the part is large enough for a read
    /// that may miss.
    fn likely_source(&self, part: &LocatedPart, policy: TransferPolicy<'_>) -> Option<SocketAddr> {
        self.clock?;
        policy
            .likely_engine
            .filter(|_| part.tokens >= SPECULATIVE_READ_TOKENS_MIN)
    }

    /// Returns the store to which a part is written: the one with room that ranks highest.
    /// Returns `None` if any reachable store holds the part already.
    fn store_for(
        &self,
        part: &LocatedPart,
        domain: &str,
        region_constraints: RegionConstraints<'_>,
    ) -> Option<SocketAddr> {
        let (key, tokens) = (&part.key, part.tokens);
        let mut best: Option<(f64, SocketAddr)> = None;
        for store in self.stores.values().filter(|store| store.is_reachable) {
            let spec = &store.spec;
            if store.parts.contains_key(key) {
                return None;
            }
            if !region_constraints.allow(&spec.failure_domain) {
                continue;
            }
            let limit = spec.capacity_tokens as f64 * FILL_FRACTION_MAX;
            let has_room = store.used_tokens as f64 + f64::from(tokens) <= limit;
            let rank = rank(spec, key, domain);
            if has_room && best.is_none_or(|(best, _)| rank > best) {
                best = Some((rank, spec.address));
            }
        }
        best.map(|(_, address)| address)
    }
}

/// Returns the rank of a store for a part by rendezvous hashing, weighted by capacity and by
/// distance: a transfer to another failure domain takes twice as long and costs more.
fn rank(spec: &CacheStoreSpec, key: &PartKey, domain: &str) -> f64 {
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
