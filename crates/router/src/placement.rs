//! What to keep where.
//!
//! Callers return after minutes to days, by when the engine has evicted their blocks. A block is
//! therefore exported when its request ends, not when it is evicted: an evicted block is lost, and an
//! export under memory pressure competes with the prefill that causes it.

use crate::index::Tier;
use crate::kv::{Generation, ShortKey};
use anvilgw_core::{DomainId, ServerId, StoreId, WorkspaceId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of placement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementSettings {
    /// Prompt tokens computed per second, for the time to rebuild a block.
    pub prefill_tokens_per_s: f64,
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// Prompts that take at least this time to rebuild get a copy in another failure domain.
    pub copy_rebuild_time: Duration,
    /// Return probability below which a block is not worth the link bytes of an export.
    pub return_probability_min: f64,
    /// Probability of a return before the eviction below which a block leaves accelerator memory
    /// first.
    pub resident_return_min: f64,
    /// Weight of the newest observation in the averages.
    pub smoothing: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 8_000.0,
            block_tokens: 4_000,
            copy_rebuild_time: Duration::from_secs(3),
            return_probability_min: 0.05,
            resident_return_min: 0.02,
            smoothing: 0.05,
        }
    }
}

/// Gaps are counted in classes that double from one second; the last class is 12 days and more.
const GAP_CLASSES: usize = 21;

/// How the callers of a workspace return.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ReturnPattern {
    /// Share of prompts that return at all.
    pub probability: f64,
    /// Share of returns per class of gaps.
    gaps: [f64; GAP_CLASSES],
}

impl ReturnPattern {
    /// Probability that a prompt returns within a time.
    #[must_use]
    pub fn returns_within(&self, time: Duration) -> f64 {
        let class = gap_class(time);
        let whole: f64 = self.gaps[..class].iter().sum();
        // Gaps are taken as evenly spread over the logarithm within a class.
        let start_s = (1_u64 << class) as f64;
        let part = (time.as_secs_f64() / start_s).max(1.0).log2().min(1.0);
        self.probability * (whole + part * self.gaps[class])
    }
}

fn gap_class(gap: Duration) -> usize {
    let class = gap.as_secs().max(1).ilog2() as usize;
    class.min(GAP_CLASSES - 1)
}

/// A sealed block on an engine whose request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealedBlock {
    /// The block.
    pub key: ShortKey,
    /// Generation of its slot.
    pub generation: Generation,
    /// Workspace that owns it.
    pub workspace: WorkspaceId,
    /// Position in its prompt, from zero.
    pub position: u32,
    /// Number of complete blocks of the prompt.
    pub prompt_blocks: u32,
    /// Whether the request found it in the cache of the engine.
    pub reused: bool,
    /// Engine that holds it.
    pub server: ServerId,
    /// Failure domain of the engine.
    pub domain: DomainId,
}

/// A store as a target of exports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreState {
    /// The store.
    pub store: StoreId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Free memory.
    pub memory_free_bytes: u64,
    /// Free disk.
    pub disk_free_bytes: u64,
    /// Whether it takes writes: in service, not full, circuit breaker of its link closed.
    pub usable: bool,
}

/// What to do with a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementAction {
    /// Write the block from its engine to a store.
    Export {
        /// The block.
        key: ShortKey,
        /// Generation of its slot on the engine.
        generation: Generation,
        /// Engine that holds it.
        server: ServerId,
        /// Target.
        store: StoreId,
        /// Tier of the target.
        tier: Tier,
    },
    /// Write the block to a second store in another failure domain.
    Copy {
        /// The block.
        key: ShortKey,
        /// Store that holds it.
        from: StoreId,
        /// Target.
        to: StoreId,
        /// Tier of the target.
        tier: Tier,
    },
    /// Let the engine evict the block first: it returns only after the eviction, or not at all.
    EvictFirst {
        /// The block.
        key: ShortKey,
        /// Engine that holds it.
        server: ServerId,
    },
}

/// Decides where blocks are kept.
#[derive(Clone, Debug)]
pub struct PlacementPolicy {
    settings: PlacementSettings,
    patterns: IndexMap<WorkspaceId, ReturnPattern>,
    residency_s: IndexMap<ServerId, f64>,
}

impl PlacementPolicy {
    /// Creates the decision without observations.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            patterns: IndexMap::new(),
            residency_s: IndexMap::new(),
        }
    }

    /// Notes a prompt that returned after a gap, or that has not returned within the retention.
    pub fn on_prompt_return(&mut self, workspace: WorkspaceId, gap: Option<Duration>) {
        let weight = self.settings.smoothing;
        // Without observations a prompt counts as returning, which is what the system is for.
        let pattern = self.patterns.entry(workspace).or_insert_with(|| {
            let mut gaps = [0.0; GAP_CLASSES];
            gaps[gap.map_or(GAP_CLASSES - 1, gap_class)] = 1.0;
            ReturnPattern {
                probability: 1.0,
                gaps,
            }
        });
        let returned = f64::from(u8::from(gap.is_some()));
        pattern.probability += weight * (returned - pattern.probability);
        let Some(gap) = gap else { return };
        for (class, share) in pattern.gaps.iter_mut().enumerate() {
            let observed = f64::from(u8::from(class == gap_class(gap)));
            *share += weight * (observed - *share);
        }
    }

    /// Notes how long an evicted block was unused in the cache of an engine.
    pub fn on_block_evicted(&mut self, server: ServerId, unused: Duration) {
        let residency = self
            .residency_s
            .entry(server)
            .or_insert(unused.as_secs_f64());
        *residency += self.settings.smoothing * (unused.as_secs_f64() - *residency);
    }

    /// How the callers of a workspace return, if observed.
    #[must_use]
    pub fn pattern(&self, workspace: WorkspaceId) -> Option<&ReturnPattern> {
        self.patterns.get(&workspace)
    }

    /// Decides about a block whose request ended. `kept` are the stores that hold it already.
    #[must_use]
    pub fn decide(
        &self,
        block: &SealedBlock,
        block_bytes: u64,
        kept: &[StoreId],
        stores: &[StoreState],
    ) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        let pattern = self.patterns.get(&block.workspace);
        let probability = pattern.map_or(1.0, |pattern| pattern.probability);
        if probability >= self.settings.return_probability_min {
            self.keep(block, block_bytes, kept, stores, &mut actions);
        }
        if self.returns_after_eviction(block) {
            actions.push(PlacementAction::EvictFirst {
                key: block.key,
                server: block.server,
            });
        }
        actions
    }

    fn keep(
        &self,
        block: &SealedBlock,
        block_bytes: u64,
        kept: &[StoreId],
        stores: &[StoreState],
        actions: &mut Vec<PlacementAction>,
    ) {
        let holder = |store: &&StoreState| kept.contains(&store.store);
        let mut first = stores.iter().find(holder).copied();
        if first.is_none() {
            let target = best_store(block, block_bytes, stores, |_| true);
            if let Some((store, tier)) = target {
                actions.push(PlacementAction::Export {
                    key: block.key,
                    generation: block.generation,
                    server: block.server,
                    store: store.store,
                    tier,
                });
                first = Some(store);
            }
        }
        let Some(first) = first else { return };
        let copied = stores
            .iter()
            .filter(holder)
            .any(|store| store.domain != first.domain);
        if copied || self.rebuild_time(block) < self.settings.copy_rebuild_time {
            return;
        }
        let target = best_store(block, block_bytes, stores, |store| {
            store.domain != first.domain
        });
        if let Some((store, tier)) = target {
            actions.push(PlacementAction::Copy {
                key: block.key,
                from: first.store,
                to: store.store,
                tier,
            });
        }
    }

    /// Time to recompute the prompt that the block belongs to.
    fn rebuild_time(&self, block: &SealedBlock) -> Duration {
        let tokens = f64::from(block.prompt_blocks) * f64::from(self.settings.block_tokens);
        Duration::from_secs_f64(tokens / self.settings.prefill_tokens_per_s)
    }

    /// Whether the caller returns only after the eviction, or never. A block that was read again
    /// while it was resident belongs to a prefix that many prompts share.
    fn returns_after_eviction(&self, block: &SealedBlock) -> bool {
        let pattern = self.patterns.get(&block.workspace);
        let residency_s = self.residency_s.get(&block.server);
        let probability = pattern.zip(residency_s).map(|(pattern, residency_s)| {
            pattern.returns_within(Duration::from_secs_f64(*residency_s))
        });
        !block.reused && probability.is_some_and(|known| known < self.settings.resident_return_min)
    }
}

/// The store with the most free space, in the block's own failure domain if possible: an export then
/// stays on the short links. Memory holds the leading half of a prompt, which other prompts of the
/// workspace share and which is read first.
fn best_store(
    block: &SealedBlock,
    block_bytes: u64,
    stores: &[StoreState],
    allowed: impl Fn(&StoreState) -> bool,
) -> Option<(StoreState, Tier)> {
    let wants_memory = block.position * 2 < block.prompt_blocks;
    let tier_of = |store: &StoreState| {
        let memory = store.memory_free_bytes >= block_bytes;
        let disk = store.disk_free_bytes >= block_bytes;
        match (memory, disk) {
            (true, false) => Some(Tier::Memory),
            (true, true) if wants_memory => Some(Tier::Memory),
            (_, true) => Some(Tier::Disk),
            (false, false) => None,
        }
    };
    stores
        .iter()
        .filter(|store| store.usable && allowed(store))
        .filter_map(|store| Some((*store, tier_of(store)?)))
        .max_by_key(|(store, _)| {
            let free = store.memory_free_bytes + store.disk_free_bytes;
            (store.domain == block.domain, free)
        })
}
