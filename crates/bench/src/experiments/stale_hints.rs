//! Reads of blocks through hints from cache events that are late, duplicated, reordered or lost.
//!
//! A store reuses its slots continuously, and is sometimes read while it writes. The baseline uses
//! whatever the slot of a hint holds; the gateway verifies each block.

use super::RunOptions;
use crate::report::{Figures, Report};
use anvilgw_core::{ModelId, StoreId, WorkspaceId};
use anvilgw_router::{
    BlockChange, BlockHeader, BlockKey, BlockListing, CacheEvent, Generation, IndexShard, KeyScope,
    Location, Mismatch, Tier, WeightVersion, block_keys, digest, verify,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const READS: u64 = 200_000;
const READS_LONG: u64 = 5_000_000;
const SLOTS: u64 = 512;
const PROMPTS: usize = 2_048;
const BLOCK_CONTENT_BYTES: usize = 64;
const STORE_LOCATION: Location = Location::Store(StoreId(0), Tier::Memory);
/// Steps between two listings, which restore the index after a gap in the events.
const LISTING_INTERVAL_STEPS: u64 = 5_000;
/// Steps between two restarts of the store.
const RESTART_INTERVAL_STEPS: u64 = 20_000;
const STEP: Duration = Duration::from_millis(5);

#[derive(Clone)]
/// A block in a slot of the store.
struct Slot {
    header: BlockHeader,
    content: Vec<u8>,
}

/// A store whose block with generation `g` is in slot `g % SLOTS`.
struct Store {
    slots: Vec<Option<Slot>>,
    next_generation: u64,
    started_ms: u64,
    next_sequence: u64,
    /// Events that have not been delivered yet, each with the step at which it is due.
    undelivered: Vec<(u64, CacheEvent)>,
}

#[derive(Default)]
struct ReadCounts {
    blocks_used: u64,
    wrong_blocks_used: u64,
    blocks_recomputed: u64,
    unverified_blocks_used: u64,
    unverified_wrong_blocks_used: u64,
    by_mismatch: [u64; 4],
}

/// Returns the correct content of a block.
fn expected_content(key: &BlockKey) -> Vec<u8> {
    key.0
        .iter()
        .copied()
        .cycle()
        .take(BLOCK_CONTENT_BYTES)
        .collect()
}

fn generate_keys() -> Vec<BlockKey> {
    // The same few prompts appear in many scopes, so most keys differ only in the workspace, the
    // model or the weight version.
    (0..PROMPTS)
        .flat_map(|at| {
            let scope = KeyScope {
                workspace: WorkspaceId(at as u32 % 16),
                model: ModelId(at as u16 / 16 % 4),
                adapter: None,
                weight_version: WeightVersion(at as u64 / 64 % 4),
            };
            block_keys(&scope, &[(at / 256) as u8; 16], 16)
        })
        .collect()
}

impl Store {
    fn new() -> Self {
        Self {
            slots: vec![None; SLOTS as usize],
            next_generation: 0,
            started_ms: 1,
            next_sequence: 0,
            undelivered: Vec::new(),
        }
    }

    /// Writes a block into the next slot, replacing the slot's previous block.
    fn write(&mut self, key: BlockKey, step: u64, rng: &mut StdRng) {
        let next = self.next_generation + 1;
        self.write_into((next % SLOTS) as usize, key, step, rng);
    }

    /// Writes a block into a slot under a new generation. The write may be interrupted halfway.
    fn write_into(&mut self, at: usize, key: BlockKey, step: u64, rng: &mut StdRng) {
        // The generation determines the slot, so the generations before the next one of this slot
        // are skipped.
        let skipped = (at as u64 + SLOTS - (self.next_generation + 1) % SLOTS) % SLOTS;
        self.next_generation += 1 + skipped;
        let generation = Generation(self.next_generation);
        if let Some(freed) = self.slots[at].take() {
            let (key, generation) = (freed.header.key, freed.header.generation);
            self.publish(key, generation, BlockChange::Removed, step, rng);
        }
        let content = expected_content(&key);
        let is_interrupted = rng.random_bool(0.05);
        let header = BlockHeader {
            key,
            generation,
            sealed: !is_interrupted,
            digest: digest(&content),
        };
        let mut slot = Slot { header, content };
        if is_interrupted {
            slot.content[BLOCK_CONTENT_BYTES / 2..].fill(0);
        }
        self.slots[at] = Some(slot);
        // The event is published even if the write was interrupted: a store that fails while it
        // writes may have announced the block already.
        self.publish(key, generation, BlockChange::Stored, step, rng);
    }

    fn publish(
        &mut self,
        key: BlockKey,
        generation: Generation,
        change: BlockChange,
        step: u64,
        rng: &mut StdRng,
    ) {
        let event = CacheEvent {
            started_ms: self.started_ms,
            sequence: self.next_sequence,
            key: key.short(),
            generation,
            change,
        };
        self.next_sequence += 1;
        if rng.random_bool(0.01) {
            return;
        }
        let copies = if rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let lag = rng.random_range(1..200);
            self.undelivered.push((step + lag, event));
        }
    }

    fn restart(&mut self) {
        self.slots.fill(None);
        self.started_ms += 1;
        self.next_sequence = 0;
    }

    fn listing(&self) -> BlockListing {
        let slots = self.slots.iter().flatten();
        BlockListing {
            started_ms: self.started_ms,
            next_sequence: self.next_sequence,
            blocks: slots
                .filter(|slot| slot.header.sealed)
                .map(|slot| (slot.header.key.short(), slot.header.generation))
                .collect(),
        }
    }

    /// Reads the slot of a hint. Sometimes `concurrent_write` is written in the middle of the read,
    /// which then returns the header of the old block with the content of the new one.
    fn read(
        &mut self,
        hint: Generation,
        concurrent_write: BlockKey,
        step: u64,
        rng: &mut StdRng,
    ) -> Option<Slot> {
        let at = (hint.0 % SLOTS) as usize;
        let header = self.slots[at].as_ref()?.header;
        if rng.random_bool(0.02) {
            self.write_into(at, concurrent_write, step, rng);
        }
        let content = self.slots[at].as_ref()?.content.clone();
        Some(Slot { header, content })
    }
}

impl ReadCounts {
    /// Counts a read. Returns whether the block passes the verification and is used.
    fn record(&mut self, key: &BlockKey, hint: Generation, read: Option<&Slot>) -> bool {
        let Some(read) = read else {
            self.blocks_recomputed += 1;
            return false;
        };
        let right = read.content == expected_content(key);
        self.unverified_blocks_used += 1;
        self.unverified_wrong_blocks_used += u64::from(!right);
        match verify(key, Some(hint), &read.header, &read.content) {
            Ok(()) => {
                self.blocks_used += 1;
                self.wrong_blocks_used += u64::from(!right);
                true
            }
            Err(mismatch) => {
                self.blocks_recomputed += 1;
                let kind = match mismatch {
                    Mismatch::Key(_) => 0,
                    Mismatch::Generation(..) => 1,
                    Mismatch::Unsealed => 2,
                    Mismatch::Digest => 3,
                };
                self.by_mismatch[kind] += 1;
                false
            }
        }
    }
}

fn simulate(seed: u64, reads: u64) -> (ReadCounts, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let keys = generate_keys();
    let mut store = Store::new();
    let mut shard = IndexShard::new(4 * SLOTS as usize);
    let mut counts = ReadCounts::default();
    let mut step = 0;
    while counts.blocks_used + counts.blocks_recomputed < reads {
        step += 1;
        let now = STEP * step as u32;
        if step % RESTART_INTERVAL_STEPS == 0 {
            store.restart();
        }
        if step % LISTING_INTERVAL_STEPS == 0 {
            shard.apply_listing(STORE_LOCATION, &store.listing());
        }
        store.write(keys[rng.random_range(0..keys.len())], step, &mut rng);
        for (_, event) in store.undelivered.extract_if(.., |(due, _)| *due <= step) {
            shard.apply(STORE_LOCATION, event, now);
        }
        shard.tick(now);
        for _ in 0..4 {
            let key = keys[rng.random_range(0..keys.len())];
            let hint = shard.lookup(key.short()).next();
            if let Some(hint) = hint {
                let concurrent_write = keys[rng.random_range(0..keys.len())];
                let read = store.read(hint.generation, concurrent_write, step, &mut rng);
                if !counts.record(&key, hint.generation, read.as_ref()) {
                    shard.remove_hint(STORE_LOCATION, key.short());
                }
            }
        }
    }
    (counts, shard.counters().gaps)
}

/// Counts the wrong blocks that are used with and without verification.
pub(super) fn experiment(options: RunOptions) -> Report {
    let reads = if options.long { READS_LONG } else { READS };
    let (counts, gaps) = simulate(options.seed, reads);
    let mut target = Figures::new();
    target.insert("wrong_blocks_used_max".into(), 0.into());
    target.insert("reads_min".into(), 100_000.into());
    let mut baseline = Figures::new();
    baseline.insert("blocks_used".into(), counts.unverified_blocks_used.into());
    baseline.insert(
        "wrong_blocks_used".into(),
        counts.unverified_wrong_blocks_used.into(),
    );
    let mut product = Figures::new();
    let reads = counts.blocks_used + counts.blocks_recomputed;
    product.insert("reads".into(), reads.into());
    product.insert("blocks_used".into(), counts.blocks_used.into());
    product.insert("wrong_blocks_used".into(), counts.wrong_blocks_used.into());
    product.insert(
        "recomputed_after_read".into(),
        counts.blocks_recomputed.into(),
    );
    product.insert("event_gaps".into(), gaps.into());
    let kinds = ["key", "generation", "unsealed", "digest"];
    for (kind, count) in kinds.iter().zip(counts.by_mismatch) {
        product.insert(format!("mismatch_{kind}"), count.into());
    }
    let mut ratio = Figures::new();
    let wrong_ratio =
        counts.wrong_blocks_used as f64 / counts.unverified_wrong_blocks_used.max(1) as f64;
    ratio.insert("wrong_blocks_used".into(), wrong_ratio.into());
    // If the baseline used no wrong block, the run would not show that the verification is needed.
    let pass = counts.wrong_blocks_used == 0
        && reads >= 100_000
        && counts.unverified_wrong_blocks_used > 0;
    Report {
        experiment: "stale-hints",
        seed: options.seed,
        target,
        baseline,
        product,
        ratio,
        pass,
    }
}
