//! From where a request takes the shared parts of its prompt, and where they are kept.

use super::{CacheDirectory, HolderKey};
use crate::computing_rate::ComputingRate;
use crate::holder::{Holder, PartKey, StoreSpec};
use crate::places::Places;
use crate::request::PromptPart;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Part of a store's capacity that is filled. The rest covers saves that this daemon does not know
/// of yet.
const FILLED_PART: f64 = 0.97;
/// Weight of the time in which an engine computes against the same time of a transfer: computing
/// delays all runs of the engine, a transfer only the one that waits for it.
const COMPUTING_WEIGHT: f64 = 3.0;
/// Smallest part that is read from an engine that may not hold it. A read that misses takes about as
/// long as computing half of this.
const PREDICTED_TOKENS_MIN: u32 = 256;

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
    /// Tokens for which a source is named. The server reads those that it does not hold itself.
    pub fetched_tokens: u32,
    /// Tokens without a source from which they would come soon enough.
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
    /// Its failure domain.
    pub failure_domain: &'a str,
    /// How fast engines compute.
    pub computing_rate: ComputingRate,
}

/// Holders that a request may use.
#[derive(Clone, Copy)]
pub struct Sources<'a> {
    /// Whether a part, given by the hash of its identifier, may be read from stores.
    pub may_read_from_store: &'a dyn Fn(u64) -> bool,
    /// Whether stores may be written.
    pub may_write_stores: bool,
    /// Engine that probably holds what no store has.
    pub likely_engine: Option<SocketAddr>,
    /// Regions that the prompt may be moved to.
    pub places: Places<'a>,
}

impl Sources<'_> {
    fn allow(&self, holder: &Holder, part: &LocatedPart) -> bool {
        self.places.allow(&holder.spec.failure_domain)
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

    /// Where a server reads the shared parts of a prompt that it lacks, and where it writes those that no
    /// store has. The server reads only what it lacks, so a source is also named for what it may hold.
    #[must_use]
    pub fn plan(
        &self,
        prompt: &LocatedPrompt,
        server: PlanFor<'_>,
        sources: Sources<'_>,
    ) -> CachePlan {
        let mut plan = CachePlan::default();
        for part in &prompt.parts {
            let known = self.best_source(part, server, sources);
            let source = known.or_else(|| self.likely_source(part, sources));
            let tokens = match source {
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
        let computing_ms = server.computing_rate.computing_ms(part.tokens) * COMPUTING_WEIGHT;
        part.holders
            .iter()
            .filter_map(|key| self.holders.get(*key))
            .filter(|holder| sources.allow(holder, part))
            .map(|holder| {
                let transfer_ms = holder.transfer_ms(part.tokens, server.failure_domain);
                (holder.address(), transfer_ms)
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
            let spec = &holder.spec;
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
                best = Some((rank, spec.address));
            }
        }
        best.map(|(_, address)| address)
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
