//! Placement of sealed blocks: which blocks are exported from engines to stores, and to which ones.
//!
//! Callers return to a conversation after minutes to days, by when the engine has evicted its
//! blocks. A block is therefore exported when its request ends rather than on eviction: an evicted
//! block is lost, and an export under memory pressure competes with the prefill that causes the
//! pressure.

use crate::index::Tier;
use crate::kv::{Generation, ShortKey};
use anvilgw_core::{DomainId, ServerId, StoreId, WorkspaceId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Thresholds of the placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementSettings {
    /// Prompt tokens computed per second, by which the time to rebuild a prompt is estimated.
    pub prefill_tokens_per_s: f64,
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// Rebuild time from which the blocks of a prompt get a copy in another failure domain.
    pub copy_rebuild_time: Duration,
    /// Probability that a prompt returns below which its blocks are not exported, since they are
    /// not worth the link bytes.
    pub return_probability_min: f64,
    /// Probability that a prompt returns before its blocks are evicted, below which the engine
    /// evicts them from accelerator memory first.
    pub resident_return_min: f64,
    /// Weight of the newest observation in the exponential moving averages, from zero to one.
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

/// Number of classes of gaps. Their bounds double from one second; the last class starts at 12
/// days.
const GAP_CLASSES: usize = 21;

/// Observed probability and delay with which the prompts of a workspace return.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ReturnPattern {
    /// Share of prompts that return within the retention time.
    pub probability: f64,
    /// Share of the returns in each class of gaps.
    gaps: [f64; GAP_CLASSES],
}

impl ReturnPattern {
    /// Returns the probability that a prompt returns within a time.
    #[must_use]
    pub fn returns_within(&self, time: Duration) -> f64 {
        let class = gap_class(time);
        let earlier_classes: f64 = self.gaps[..class].iter().sum();
        // Within a class, gaps are assumed to be spread evenly over their logarithm.
        let start_s = (1_u64 << class) as f64;
        let class_part = (time.as_secs_f64() / start_s).max(1.0).log2().min(1.0);
        self.probability * (earlier_classes + class_part * self.gaps[class])
    }
}

fn gap_class(gap: Duration) -> usize {
    let class = gap.as_secs().max(1).ilog2() as usize;
    class.min(GAP_CLASSES - 1)
}

/// A sealed block on an engine, whose request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealedBlock {
    /// Key of the block.
    pub key: ShortKey,
    /// Generation of the slot that holds the block on the engine.
    pub generation: Generation,
    /// Workspace that owns the prompt.
    pub workspace: WorkspaceId,
    /// Index of the block in its prompt, from zero.
    pub position: u32,
    /// Number of complete blocks of the prompt.
    pub prompt_blocks: u32,
    /// Whether the request found the block in the engine's cache.
    pub reused: bool,
    /// Engine that holds the block.
    pub server: ServerId,
    /// Failure domain of the engine.
    pub domain: DomainId,
}

/// State of a store as a target of exports and copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreState {
    /// Identifier of the store.
    pub store: StoreId,
    /// Failure domain of the store.
    pub domain: DomainId,
    /// Free bytes in the memory tier.
    pub memory_free_bytes: u64,
    /// Free bytes in the disk tier.
    pub disk_free_bytes: u64,
    /// Whether the store accepts writes: it is in service and not full, and the circuit breaker of
    /// its link is closed.
    pub usable: bool,
}

/// Action on a block that the placement policy decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementAction {
    /// Export the block from its engine to a store.
    Export {
        /// Key of the block.
        key: ShortKey,
        /// Generation of the slot that holds the block on the engine.
        generation: Generation,
        /// Engine that holds the block.
        server: ServerId,
        /// Store that receives the block.
        store: StoreId,
        /// Tier of the receiving store.
        tier: Tier,
    },
    /// Copy the block from one store to another in a different failure domain.
    Copy {
        /// Key of the block.
        key: ShortKey,
        /// Store that holds the block.
        from: StoreId,
        /// Store that receives the block.
        to: StoreId,
        /// Tier of the receiving store.
        tier: Tier,
    },
    /// Let the engine evict the block before others, since it is not likely to be read again before
    /// its eviction.
    EvictFirst {
        /// Key of the block.
        key: ShortKey,
        /// Engine that holds the block.
        server: ServerId,
    },
}

/// Decides which blocks are exported, copied and evicted first, from observed returns and
/// evictions.
#[derive(Clone, Debug)]
pub struct PlacementPolicy {
    settings: PlacementSettings,
    return_patterns: IndexMap<WorkspaceId, ReturnPattern>,
    residency_s: IndexMap<ServerId, f64>,
}

impl PlacementPolicy {
    /// Creates a policy without observations.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            return_patterns: IndexMap::new(),
            residency_s: IndexMap::new(),
        }
    }

    /// Records a prompt that returned after a gap. `None` stands for a prompt that has not returned
    /// within the retention time.
    pub fn on_prompt_returned(&mut self, workspace: WorkspaceId, gap: Option<Duration>) {
        let weight = self.settings.smoothing;
        // Without observations, prompts are assumed to return, so that their blocks are exported.
        let pattern = self.return_patterns.entry(workspace).or_insert_with(|| {
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

    /// Records for how long an evicted block had not been used in an engine's cache.
    pub fn on_block_evicted(&mut self, server: ServerId, unused: Duration) {
        let residency = self
            .residency_s
            .entry(server)
            .or_insert(unused.as_secs_f64());
        *residency += self.settings.smoothing * (unused.as_secs_f64() - *residency);
    }

    /// Returns the observed returns of a workspace; `None` without observations.
    #[must_use]
    pub fn return_pattern(&self, workspace: WorkspaceId) -> Option<&ReturnPattern> {
        self.return_patterns.get(&workspace)
    }

    /// Decides the actions on a block whose request has ended. `holding_stores` are the stores that
    /// hold it already.
    #[must_use]
    pub fn decide(
        &self,
        block: &SealedBlock,
        block_bytes: u64,
        holding_stores: &[StoreId],
        stores: &[StoreState],
    ) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        let return_pattern = self.return_patterns.get(&block.workspace);
        let probability = return_pattern.map_or(1.0, |pattern| pattern.probability);
        if probability >= self.settings.return_probability_min {
            self.export_and_copy(block, block_bytes, holding_stores, stores, &mut actions);
        }
        if self.returns_after_eviction(block) {
            actions.push(PlacementAction::EvictFirst {
                key: block.key,
                server: block.server,
            });
        }
        actions
    }

    fn export_and_copy(
        &self,
        block: &SealedBlock,
        block_bytes: u64,
        holding_stores: &[StoreId],
        stores: &[StoreState],
        actions: &mut Vec<PlacementAction>,
    ) {
        let holds_block = |store: &&StoreState| holding_stores.contains(&store.store);
        let mut source = stores.iter().find(holds_block).copied();
        if source.is_none() {
            let target = best_target_store(block, block_bytes, stores, |_| true);
            if let Some((store, tier)) = target {
                actions.push(PlacementAction::Export {
                    key: block.key,
                    generation: block.generation,
                    server: block.server,
                    store: store.store,
                    tier,
                });
                source = Some(store);
            }
        }
        let Some(source) = source else { return };
        let has_copy = stores
            .iter()
            .filter(holds_block)
            .any(|store| store.domain != source.domain);
        if has_copy || self.rebuild_time(block) < self.settings.copy_rebuild_time {
            return;
        }
        let target = best_target_store(block, block_bytes, stores, |store| {
            store.domain != source.domain
        });
        if let Some((store, tier)) = target {
            actions.push(PlacementAction::Copy {
                key: block.key,
                from: source.store,
                to: store.store,
                tier,
            });
        }
    }

    /// Estimates the time to recompute the prompt that the block belongs to.
    fn rebuild_time(&self, block: &SealedBlock) -> Duration {
        let tokens = f64::from(block.prompt_blocks) * f64::from(self.settings.block_tokens);
        Duration::from_secs_f64(tokens / self.settings.prefill_tokens_per_s)
    }

    /// Returns true if the prompt is expected to return only after the eviction of the block, or
    /// never. Returns false for a block that was reused while it was resident, since it belongs to
    /// a prefix that many prompts share.
    fn returns_after_eviction(&self, block: &SealedBlock) -> bool {
        let return_pattern = self.return_patterns.get(&block.workspace);
        let residency_s = self.residency_s.get(&block.server);
        let probability = return_pattern
            .zip(residency_s)
            .map(|(pattern, residency_s)| {
                pattern.returns_within(Duration::from_secs_f64(*residency_s))
            });
        !block.reused
            && probability
                .is_some_and(|probability| probability < self.settings.resident_return_min)
    }
}

/// Returns the allowed store with the most free space and the tier to write to. Stores in the
/// block's own failure domain are preferred, since the links within a domain are short. The leading
/// half of a prompt goes to memory, since other prompts of the workspace share it and it is read
/// first.
fn best_target_store(
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
