//! Expected time to first token and cost of each way to serve a prompt on a server.
//!
//! A prompt is served from blocks in place, then from blocks imported over one link, and the rest is
//! recomputed. The cost of an import is linear in its length, so it is optimal either in full or not
//! at all; only these cases are compared.

use crate::index::Holder;
use crate::prefix_match::{HolderMatch, PrefixMatch};
use anvilgw_core::ServerId;
use serde::{Deserialize, Serialize};

/// Speeds of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRates {
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: f64,
    /// Time per generated token of one request.
    pub decode_ms_per_token: f64,
    /// Generated tokens of a request, on average.
    pub mean_decode_tokens: f64,
    /// Requests that a warm engine executes at once.
    pub max_concurrency: u32,
}

/// Speeds of the export link of a server or store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkRates {
    /// This daemon's share of the link budget.
    pub bytes_per_s: f64,
    /// Rate at which one transfer runs, at most.
    pub transfer_bytes_per_s: f64,
    /// Time until the first byte of a transfer.
    pub latency_ms: f64,
    /// Rate of the disk behind the link; unused for servers.
    pub disk_bytes_per_s: f64,
    /// Whether the link carries traffic; false while its circuit breaker is open.
    pub usable: bool,
}

/// Weights of the deployment. Costs have no unit; only their ratios matter.
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

/// Sizes that are the same for all servers of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BlockSizes {
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// Bytes of KV cache per token.
    pub kv_bytes_per_token: u64,
}

impl BlockSizes {
    /// Bytes of a number of blocks.
    #[must_use]
    pub fn bytes(&self, blocks: u32) -> u64 {
        u64::from(blocks) * u64::from(self.block_tokens) * self.kv_bytes_per_token
    }
}

/// An import as part of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Server or store that exports.
    pub from: Holder,
    /// First block to import.
    pub first_block: u32,
    /// Number of blocks.
    pub blocks: u32,
    /// How many of them are read from disk.
    pub disk_blocks: u32,
}

/// How a prompt is served on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServePlan {
    /// Leading blocks reused in place.
    pub in_place_blocks: u32,
    /// Blocks imported after them.
    pub import: Option<Import>,
    /// Tokens that the server computes: new ones and those that are not reused.
    pub prefill_tokens: u64,
}

/// Price of a plan on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Wait before the prefill starts.
    pub queue_ms: f64,
    /// Time until the import is complete; it runs while the request waits.
    pub import_ms: f64,
    /// Time of the prefill.
    pub prefill_ms: f64,
    /// Expected time to first token.
    pub ttft_ms: f64,
    /// Tokens computed by the prefill.
    pub prefill_tokens: u64,
    /// Bytes over links.
    pub link_bytes: u64,
    /// Weighted sum.
    pub cost: f64,
}

/// A way to serve and its price.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PricedPlan {
    /// The way.
    pub plan: ServePlan,
    /// Its price.
    pub price: Price,
}

/// Links as seen by the price: rates and the time until a new transfer may start.
pub trait LinkView {
    /// Rates of the export link of a holder; `None` if it has none.
    fn rates(&self, holder: Holder) -> Option<LinkRates>;
    /// Time until bytes reserved earlier have passed the link, in milliseconds.
    fn wait_ms(&self, holder: Holder) -> f64;
}

/// An import that is possible for a prompt, with everything that is the same for all servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    matched: HolderMatch,
    rates: LinkRates,
    wait_ms: f64,
    trust: f64,
}

impl Offer {
    /// Import of all blocks of the offer.
    fn whole(&self) -> Import {
        Import {
            from: self.matched.holder,
            first_block: 0,
            blocks: self.matched.blocks,
            disk_blocks: self.matched.disk_blocks,
        }
    }
}

/// Prices the plans of one prompt on many servers.
#[derive(Clone, Debug)]
pub struct Pricer<'a> {
    sizes: BlockSizes,
    weights: &'a CostWeights,
    prompt_tokens: u64,
    in_place: Vec<HolderMatch>,
    offers: Vec<Offer>,
}

/// A plan on a server that holds no block, reduced to what its cost depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AwayPlan {
    import_ms: f64,
    cost_per_wait_ms: f64,
    fixed_cost: f64,
}

impl AwayPlan {
    /// Cost of the cheapest of several plans on a server with the given queue.
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

/// Share of doubtful blocks that are assumed to exist. A doubtful block that turns out to be missing
/// costs a recompute after the failed read, so a doubtful match must promise a clear gain.
const DOUBTFUL_TRUST: f64 = 0.5;
/// Offers considered per prompt.
const OFFERS_MAX: usize = 8;
/// Offers considered per length of the match: the exporter may be the candidate itself.
const OFFERS_PER_LENGTH: usize = 2;

impl<'a> Pricer<'a> {
    /// Prepares the prices of a prompt.
    #[must_use]
    pub fn new(
        sizes: BlockSizes,
        weights: &'a CostWeights,
        prompt_tokens: u64,
        prefix: &PrefixMatch,
        links: &impl LinkView,
    ) -> Self {
        let importable = prefix.importing_from.unwrap_or(u32::MAX);
        let offers = prefix.holders.iter().filter_map(|&matched| {
            let matched = cut(matched, importable);
            let rates = links.rates(matched.holder).filter(|rates| rates.usable)?;
            Some(Offer {
                matched,
                rates,
                wait_ms: links.wait_ms(matched.holder),
                trust: trust(&matched),
            })
        });
        let mut pricer = Self {
            sizes,
            weights,
            prompt_tokens,
            offers: offers.collect(),
            in_place: prefix.holders.clone(),
        };
        pricer.in_place.sort_unstable_by_key(|known| known.holder);
        pricer.keep_best_offers();
        pricer
    }

    /// Keeps the offers with the longest matches and, among equal ones, the fastest. A prefix that
    /// many servers hold would otherwise make the work grow with the square of their number.
    fn keep_best_offers(&mut self) {
        let mut offers = std::mem::take(&mut self.offers);
        offers.sort_by(|a, b| {
            let import_ms = |offer: &Offer| self.import_ms(offer, &offer.whole());
            let by_length = b.matched.blocks.cmp(&a.matched.blocks);
            by_length.then_with(|| import_ms(a).total_cmp(&import_ms(b)))
        });
        // Per length only the fastest offers can win, so a store is not hidden by slower servers.
        let mut kept: Vec<Offer> = Vec::with_capacity(OFFERS_MAX);
        for offer in offers {
            let same_length = kept
                .iter()
                .filter(|known| known.matched.blocks == offer.matched.blocks);
            if same_length.count() < OFFERS_PER_LENGTH {
                kept.push(offer);
            }
            if kept.len() == OFFERS_MAX {
                break;
            }
        }
        self.offers = kept;
    }

    /// Servers that hold a block of the prompt.
    pub(crate) fn holding_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.in_place.iter().filter_map(|known| match known.holder {
            Holder::Server(server) => Some(server),
            Holder::Store(_) => None,
        })
    }

    /// Plans on a server that holds no block. Most servers hold none, so what is the same for all of
    /// them is computed once.
    pub(crate) fn away_plans(&self, engine: &EngineRates) -> Vec<AwayPlan> {
        let offers = self.offers.iter().filter(|offer| offer.matched.blocks > 0);
        std::iter::once(None)
            .chain(offers.map(Some))
            .map(|offer| {
                let price = self.price(0, 1.0, offer, 0.0, engine).price;
                let cost_per_wait_ms = self.weights.per_ttft_s / 1e3;
                AwayPlan {
                    import_ms: price.import_ms,
                    cost_per_wait_ms,
                    fixed_cost: price.cost - price.import_ms * cost_per_wait_ms,
                }
            })
            .collect()
    }

    /// Cheapest plan on a server with the given queue.
    #[must_use]
    pub fn cheapest(&self, server: ServerId, queue_ms: f64, engine: &EngineRates) -> PricedPlan {
        let server = Holder::Server(server);
        let local = self
            .in_place
            .binary_search_by_key(&server, |known| known.holder)
            .ok()
            .map(|at| &self.in_place[at]);
        let in_place = local.map_or(0, |known| known.blocks);
        let local_trust = local.map_or(1.0, trust);
        let mut best = self.price(in_place, local_trust, None, queue_ms, engine);
        for offer in &self.offers {
            if offer.matched.holder == server || offer.matched.blocks <= in_place {
                continue;
            }
            let priced = self.price(in_place, local_trust, Some(offer), queue_ms, engine);
            if priced.price.cost < best.price.cost {
                best = priced;
            }
        }
        best
    }

    fn price(
        &self,
        in_place: u32,
        local_trust: f64,
        offer: Option<&Offer>,
        queue_ms: f64,
        engine: &EngineRates,
    ) -> PricedPlan {
        let import = offer.map(|offer| Import {
            from: offer.matched.holder,
            first_block: in_place,
            blocks: offer.matched.blocks - in_place,
            disk_blocks: offer
                .matched
                .disk_blocks
                .min(offer.matched.blocks - in_place),
        });
        let imported = import.map_or(0, |import| import.blocks);
        let block_tokens = u64::from(self.sizes.block_tokens);
        let reused = u64::from(in_place + imported) * block_tokens;
        let prefill_tokens = self.prompt_tokens.saturating_sub(reused);
        let import_ms = offer
            .zip(import)
            .map_or(0.0, |(offer, import)| self.import_ms(offer, &import));
        let expected_in_place = f64::from(in_place) * local_trust;
        let expected_import = f64::from(imported) * offer.map_or(1.0, |offer| offer.trust);
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

    fn import_ms(&self, offer: &Offer, import: &Import) -> f64 {
        let bytes = self.sizes.bytes(import.blocks) as f64;
        let disk_bytes = self.sizes.bytes(import.disk_blocks) as f64;
        let disk_ms = if import.disk_blocks > 0 {
            disk_bytes / offer.rates.disk_bytes_per_s * 1e3
        } else {
            0.0
        };
        let link_ms = bytes / offer.rates.transfer_bytes_per_s * 1e3;
        offer.wait_ms + offer.rates.latency_ms + link_ms.max(disk_ms)
    }
}

/// Shortens a match to its leading blocks. Later blocks are the ones on disk, if any are.
fn cut(matched: HolderMatch, blocks: u32) -> HolderMatch {
    let blocks = matched.blocks.min(blocks);
    let removed = matched.blocks - blocks;
    HolderMatch {
        blocks,
        disk_blocks: matched.disk_blocks.saturating_sub(removed),
        doubtful_blocks: matched.doubtful_blocks.min(blocks),
        ..matched
    }
}

fn trust(matched: &HolderMatch) -> f64 {
    let doubtful = f64::from(matched.doubtful_blocks) / f64::from(matched.blocks.max(1));
    1.0 - doubtful * (1.0 - DOUBTFUL_TRUST)
}
