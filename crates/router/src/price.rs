//! Expected time to first token and cost of each plan to serve a prompt on a server.
//!
//! A server reuses the leading blocks in its own cache, imports further blocks over one link, and
//! computes the rest of the prompt. The cost of an import is linear in its length, so the optimum
//! is either a full import or none; only these two cases are compared.

use crate::index::Holder;
use crate::prefix_match::{HolderMatch, PrefixMatch};
use anvilgw_core::ServerId;
use serde::{Deserialize, Serialize};

/// Speeds of an engine with one model.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRates {
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds per generated token of one request.
    pub decode_ms_per_token: f64,
    /// Average number of generated tokens per request.
    pub mean_decode_tokens: f64,
    /// Maximum number of requests that a warm engine executes concurrently.
    pub max_concurrency: u32,
}

/// Speeds and state of the export link of a server or store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkRates {
    /// This daemon's share of the link budget, in bytes per second.
    pub bytes_per_s: f64,
    /// Maximum rate of a single transfer, in bytes per second.
    pub transfer_bytes_per_s: f64,
    /// Milliseconds until the first byte of a transfer arrives.
    pub latency_ms: f64,
    /// Read rate of the disk behind the link, in bytes per second; unused for servers.
    pub disk_bytes_per_s: f64,
    /// Whether the link carries traffic. It does not while its circuit breaker is open.
    pub usable: bool,
}

/// Weights of the terms of a cost, set per deployment. Costs have no unit; only their ratios
/// matter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CostWeights {
    /// Cost of one second of time to first token.
    pub per_ttft_s: f64,
    /// Cost of 1,000 recomputed tokens.
    pub per_1k_recomputed_tokens: f64,
    /// Cost of 1 GB (10^9 bytes) over a link.
    pub per_link_gb: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self {
            per_ttft_s: 1.0,
            per_1k_recomputed_tokens: 0.05,
            per_link_gb: 0.02,
        }
    }
}

/// Block and token sizes of a model, the same for all its servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BlockSizes {
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// Bytes of KV cache per token.
    pub kv_bytes_per_token: u64,
}

impl BlockSizes {
    /// Returns the size of a number of blocks in bytes.
    #[must_use]
    pub fn bytes(&self, blocks: u32) -> u64 {
        u64::from(blocks) * u64::from(self.block_tokens) * self.kv_bytes_per_token
    }
}

/// Import of consecutive blocks as part of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Server or store that exports the blocks.
    pub from: Holder,
    /// Index of the first block to import.
    pub first_block: u32,
    /// Number of blocks to import.
    pub blocks: u32,
    /// Number of these blocks that the exporter reads from disk.
    pub disk_blocks: u32,
}

/// Division of a prompt into blocks that a server reuses, imports and computes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServePlan {
    /// Number of leading blocks reused from the server's own cache.
    pub in_place_blocks: u32,
    /// Import of the blocks that follow them, if any.
    pub import: Option<Import>,
    /// Prompt tokens that the server computes because they are neither in its cache nor imported.
    pub prefill_tokens: u64,
}

/// Expected times, volumes and cost of a plan on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Expected wait in the server's queue before the prefill starts.
    pub queue_ms: f64,
    /// Expected time until the import is complete. It runs while the request waits in the queue.
    pub import_ms: f64,
    /// Expected duration of the prefill.
    pub prefill_ms: f64,
    /// Expected time to first token.
    pub ttft_ms: f64,
    /// Prompt tokens that the prefill computes if all hints are correct.
    pub prefill_tokens: u64,
    /// Bytes that the import transfers over the link.
    pub link_bytes: u64,
    /// Sum of the time to first token, recomputed tokens and link bytes by [`CostWeights`].
    pub cost: f64,
}

/// A plan and its price on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PricedPlan {
    /// Division of the prompt.
    pub plan: ServePlan,
    /// Expected times and cost of the plan.
    pub price: Price,
}

/// Access to the rates of export links and to the time until a new transfer may start.
pub trait LinkView {
    /// Returns the rates of a holder's export link, or `None` if it has no link.
    fn rates(&self, holder: Holder) -> Option<LinkRates>;
    /// Returns the milliseconds until a new transfer may start after those reserved earlier.
    fn wait_ms(&self, holder: Holder) -> f64;
}

/// An import that is possible for a prompt, with the values that are the same for all servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ImportOption {
    matched: HolderMatch,
    rates: LinkRates,
    wait_ms: f64,
    existing_share: f64,
}

impl ImportOption {
    /// Returns the import of all matched blocks.
    fn full_import(&self) -> Import {
        Import {
            from: self.matched.holder,
            first_block: 0,
            blocks: self.matched.blocks,
            disk_blocks: self.matched.disk_blocks,
        }
    }
}

/// Computes the prices of the plans of one prompt on many servers.
#[derive(Clone, Debug)]
pub struct Pricer<'a> {
    sizes: BlockSizes,
    weights: &'a CostWeights,
    prompt_tokens: u64,
    /// Matches in the order of their holders, for binary search.
    holders: Vec<HolderMatch>,
    import_options: Vec<ImportOption>,
}

/// A plan on a server that holds no block of the prompt, reduced to the terms of its cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NonHolderPlan {
    import_ms: f64,
    cost_per_wait_ms: f64,
    fixed_cost: f64,
}

impl NonHolderPlan {
    /// Returns the lowest cost of several plans on a server with the given queue.
    #[inline]
    pub(crate) fn lowest_cost(plans: &[Self], queue_ms: f64) -> f64 {
        let mut lowest = f64::INFINITY;
        for plan in plans {
            let wait_ms = queue_ms.max(plan.import_ms);
            let cost = wait_ms * plan.cost_per_wait_ms + plan.fixed_cost;
            if cost < lowest {
                lowest = cost;
            }
        }
        lowest
    }
}

/// Share of doubtful blocks that are assumed to exist. A doubtful block that turns out to be
/// missing costs a failed read and then a recompute, so a doubtful match must promise a clear gain.
const DOUBTFUL_EXISTING_SHARE: f64 = 0.5;
/// Import options considered per prompt.
const IMPORT_OPTIONS_MAX: usize = 8;
/// Import options considered per length of the match. It is more than one because the exporter may
/// be the candidate itself.
const OPTIONS_PER_LENGTH: usize = 2;

impl<'a> Pricer<'a> {
    /// Creates a pricer for one prompt from the matches of its prefix and the state of the links.
    #[must_use]
    pub fn new(
        sizes: BlockSizes,
        weights: &'a CostWeights,
        prompt_tokens: u64,
        prefix: &PrefixMatch,
        links: &impl LinkView,
    ) -> Self {
        let importable = prefix.importing_from.unwrap_or(u32::MAX);
        let import_options = prefix.holders.iter().filter_map(|&matched| {
            let matched = truncate(matched, importable);
            let rates = links.rates(matched.holder).filter(|rates| rates.usable)?;
            Some(ImportOption {
                matched,
                rates,
                wait_ms: links.wait_ms(matched.holder),
                existing_share: existing_share(&matched),
            })
        });
        let mut pricer = Self {
            sizes,
            weights,
            prompt_tokens,
            import_options: import_options.collect(),
            holders: prefix.holders.clone(),
        };
        pricer
            .holders
            .sort_unstable_by_key(|matched| matched.holder);
        pricer.keep_best_import_options();
        pricer
    }

    /// Keeps the import options with the longest matches and, among those of equal length, the
    /// fastest. Otherwise, the work would grow with the square of the number of servers that hold
    /// the prefix.
    fn keep_best_import_options(&mut self) {
        let mut import_options = std::mem::take(&mut self.import_options);
        import_options.sort_by(|a, b| {
            let import_ms = |option: &ImportOption| self.import_ms(option, &option.full_import());
            let by_length = b.matched.blocks.cmp(&a.matched.blocks);
            by_length.then_with(|| import_ms(a).total_cmp(&import_ms(b)))
        });
        // Only the fastest options of each length can win. The limit per length keeps slower
        // servers from displacing a store.
        let mut kept: Vec<ImportOption> = Vec::with_capacity(IMPORT_OPTIONS_MAX);
        for option in import_options {
            let same_length = kept
                .iter()
                .filter(|other| other.matched.blocks == option.matched.blocks);
            if same_length.count() < OPTIONS_PER_LENGTH {
                kept.push(option);
            }
            if kept.len() == IMPORT_OPTIONS_MAX {
                break;
            }
        }
        self.import_options = kept;
    }

    /// Returns the servers that hold at least the first block of the prompt.
    pub(crate) fn holding_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.holders
            .iter()
            .filter_map(|matched| match matched.holder {
                Holder::Server(server) => Some(server),
                Holder::Store(_) => None,
            })
    }

    /// Returns the plans on a server that holds no block of the prompt. Most servers hold none, so
    /// the terms that are the same for all of them are computed once.
    pub(crate) fn non_holder_plans(&self, engine: &EngineRates) -> Vec<NonHolderPlan> {
        let import_options = self
            .import_options
            .iter()
            .filter(|option| option.matched.blocks > 0);
        std::iter::once(None)
            .chain(import_options.map(Some))
            .map(|option| {
                let price = self.price(0, 1.0, option, 0.0, engine).price;
                let cost_per_wait_ms = self.weights.per_ttft_s / 1e3;
                NonHolderPlan {
                    import_ms: price.import_ms,
                    cost_per_wait_ms,
                    fixed_cost: price.cost - price.import_ms * cost_per_wait_ms,
                }
            })
            .collect()
    }

    /// Returns the cheapest plan on a server whose queue takes `queue_ms`, with its price.
    #[must_use]
    pub fn cheapest(&self, server: ServerId, queue_ms: f64, engine: &EngineRates) -> PricedPlan {
        let server = Holder::Server(server);
        let local = self
            .holders
            .binary_search_by_key(&server, |matched| matched.holder)
            .ok()
            .map(|at| &self.holders[at]);
        let in_place = local.map_or(0, |matched| matched.blocks);
        let local_existing_share = local.map_or(1.0, existing_share);
        let mut best = self.price(in_place, local_existing_share, None, queue_ms, engine);
        for option in &self.import_options {
            if option.matched.holder == server || option.matched.blocks <= in_place {
                continue;
            }
            let priced = self.price(
                in_place,
                local_existing_share,
                Some(option),
                queue_ms,
                engine,
            );
            if priced.price.cost < best.price.cost {
                best = priced;
            }
        }
        best
    }

    fn price(
        &self,
        in_place: u32,
        local_existing_share: f64,
        option: Option<&ImportOption>,
        queue_ms: f64,
        engine: &EngineRates,
    ) -> PricedPlan {
        let import = option.map(|option| Import {
            from: option.matched.holder,
            first_block: in_place,
            blocks: option.matched.blocks - in_place,
            disk_blocks: option
                .matched
                .disk_blocks
                .min(option.matched.blocks - in_place),
        });
        let imported = import.map_or(0, |import| import.blocks);
        let block_tokens = u64::from(self.sizes.block_tokens);
        let reused = u64::from(in_place + imported) * block_tokens;
        let prefill_tokens = self.prompt_tokens.saturating_sub(reused);
        let import_ms = option
            .zip(import)
            .map_or(0.0, |(option, import)| self.import_ms(option, &import));
        let expected_in_place = f64::from(in_place) * local_existing_share;
        let expected_import =
            f64::from(imported) * option.map_or(1.0, |option| option.existing_share);
        let expected_reuse = (expected_in_place + expected_import) * block_tokens as f64;
        let expected_prefill = (self.prompt_tokens as f64 - expected_reuse).max(0.0);
        let prefill_ms = expected_prefill / engine.prefill_tokens_per_s * 1e3;
        let ttft_ms = queue_ms.max(import_ms) + prefill_ms + engine.decode_ms_per_token;
        let link_bytes = self.sizes.bytes(imported);
        let cost = ttft_ms / 1e3 * self.weights.per_ttft_s
            + expected_prefill / 1e3 * self.weights.per_1k_recomputed_tokens
            + link_bytes as f64 / 1e9 * self.weights.per_link_gb;
        PricedPlan {
            plan: ServePlan {
                in_place_blocks: in_place,
                import,
                prefill_tokens,
            },
            price: Price {
                queue_ms,
                import_ms,
                prefill_ms,
                ttft_ms,
                prefill_tokens,
                link_bytes,
                cost,
            },
        }
    }

    fn import_ms(&self, option: &ImportOption, import: &Import) -> f64 {
        let bytes = self.sizes.bytes(import.blocks) as f64;
        let disk_bytes = self.sizes.bytes(import.disk_blocks) as f64;
        let disk_ms = if import.disk_blocks > 0 {
            disk_bytes / option.rates.disk_bytes_per_s * 1e3
        } else {
            0.0
        };
        let link_ms = bytes / option.rates.transfer_bytes_per_s * 1e3;
        option.wait_ms + option.rates.latency_ms + link_ms.max(disk_ms)
    }
}

/// Shortens a match to at most `blocks` leading blocks. Blocks on disk are taken to be the last
/// ones.
fn truncate(matched: HolderMatch, blocks: u32) -> HolderMatch {
    let blocks = matched.blocks.min(blocks);
    let removed = matched.blocks - blocks;
    HolderMatch {
        blocks,
        disk_blocks: matched.disk_blocks.saturating_sub(removed),
        doubtful_blocks: matched.doubtful_blocks.min(blocks),
        ..matched
    }
}

/// Returns the share of the matched blocks that are assumed to exist.
fn existing_share(matched: &HolderMatch) -> f64 {
    let doubtful = f64::from(matched.doubtful_blocks) / f64::from(matched.blocks.max(1));
    1.0 - doubtful * (1.0 - DOUBTFUL_EXISTING_SHARE)
}
