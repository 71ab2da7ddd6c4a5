//! From where a request takes the shared parts of its prompt, and where they are kept.

use super::{CacheDirectory, CacheStoreKey};
use crate::cache_store::{CacheStore, CacheStoreSpec, PartKey};
use crate::prefill_rate::PrefillRate;
use crate::region_constraints::RegionConstraints;
use crate::request::PromptPart;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Part of a store's capacity that is filled. The rest covers saves that this daemon does not know
/// of yet.
const FILL_FRACTION_MAX: f64 = 0.97;
/// Weight of the time in which an engine computes against the same time of a transfer: computing
/// delays all runs of the engine, a transfer only the one that waits for it.
const PREFILL_WEIGHT: f64 = 3.0;
/// Smallest part that is read from an engine that may not hold it. A read that misses takes about as
/// long as computing half of this.
const SPECULATIVE_READ_TOKENS_MIN: u32 = 256;

/// Where one part of a prompt is read from and written to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartPlan {
    /// CacheStore to read the part from.
    pub fetch: Option<SocketAddr>,
    /// Store to write the part to.
    pub save: Option<SocketAddr>,
}

/// What has to be brought to a server for a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CachePlan {
    /// TransferPolicy and stores of the shared parts, in their order.
    pub parts: Vec<PartPlan>,
    /// Tokens for which a source is named. The server reads those that it does not hold itself.
    pub fetched_tokens: u32,
    /// Tokens without a source from which they would come soon enough.
    pub computed_tokens: u32,
}

/// A shared part of a prompt with its stores.
#[derive(Clone, Debug)]
struct LocatedPart {
    key: PartKey,
    tokens: u32,
    stores: Vec<CacheStoreKey>,
}

/// The shared parts of a prompt with their stores.
#[derive(Clone, Debug)]
pub struct LocatedPrompt {
    parts: Vec<LocatedPart>,
}

/// The server for which a plan is made.
#[derive(Clone, Copy, Debug)]
pub struct PlanDestination<'a> {
    /// Its failure domain.
    pub failure_domain: &'a str,
    /// How fast engines compute.
    pub prefill_rate: PrefillRate,
}

/// Holders that a request may use.
#[derive(Clone, Copy)]
pub struct TransferPolicy<'a> {
    /// Whether a part, given by the hash of its identifier, may be read from stores.
    pub may_read_from_store: &'a dyn Fn(u64) -> bool,
    /// Whether stores may be written.
    pub may_write_stores: bool,
    /// Engine that probably holds what no store has.
    pub likely_engine: Option<SocketAddr>,
    /// Regions that the prompt may be moved to.
    pub region_constraints: RegionConstraints<'a>,
}

impl TransferPolicy<'_> {
    fn allow(&self, store: &CacheStore, part: &LocatedPart) -> bool {
        self.region_constraints.allow(&store.spec.failure_domain)
            && (self.may_read_from_store)(part.key.id_hash)
    }
}

impl CacheDirectory {
    /// Finds who holds the shared parts of a prompt.
    #[must_use]
    pub fn locate(&self, scope_hash: u64, parts: &[PromptPart]) -> LocatedPrompt {
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
                    .filter(|(_, store)| store.holds(&key, part.tokens))
                    .map(|(store, _)| store)
                    .collect(),
            }
        });
        LocatedPrompt {
            parts: located.collect(),
        }
    }

    /// Where a server reads the shared parts of a prompt that it lacks, and where it writes those that no
    /// store has. The server reads only what it lacks, so a source is also named for what it may hold.
    #[must_use]
    pub fn plan(
        &self,
        prompt: &LocatedPrompt,
        destination: PlanDestination<'_>,
        policy: TransferPolicy<'_>,
    ) -> CachePlan {
        let mut plan = CachePlan::default();
        for part in &prompt.parts {
            let known = self.best_source(part, destination, policy);
            let source = known.or_else(|| self.likely_source(part, policy));
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
        plan
    }

    /// The store from which a part comes soonest, if that takes less time than computing it.
    fn best_source(
        &self,
        part: &LocatedPart,
        destination: PlanDestination<'_>,
        policy: TransferPolicy<'_>,
    ) -> Option<SocketAddr> {
        // Without a time limit, which needs the servers' clock, a part could be freed under the read.
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

    /// The engine that probably holds a part, if a read that may miss is worth its time.
    fn likely_source(&self, part: &LocatedPart, policy: TransferPolicy<'_>) -> Option<SocketAddr> {
        self.clock?;
        policy
            .likely_engine
            .filter(|_| part.tokens >= SPECULATIVE_READ_TOKENS_MIN)
    }

    /// The store to which a part is written, if no store has it.
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

/// Rank of a store for a part: rendezvous hashing, weighted by capacity, and by distance because a
/// transfer to another failure domain takes twice as long and costs more.
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
