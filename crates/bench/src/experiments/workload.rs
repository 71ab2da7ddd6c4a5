//! Seeded open-loop workload: requests arrive as a Poisson process, and the lengths of
//! conversations and the gaps between their requests have long tails.

use anvilgw_router::ShortKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Tokens per KV block.
pub(super) const BLOCK_TOKENS: u64 = 4_000;
/// Workspace whose prompts never return.
pub(super) const BATCH_WORKSPACE: usize = 10;
/// Number of workspaces, including the batch workspace.
pub(super) const WORKSPACES: usize = 11;
/// Limit on the tokens of a new conversation's history.
const HISTORY_TOKENS_MAX: f64 = 120_000.0;
/// Mean output tokens per request. At 4,800 requests/s they amount to 1.3 million tokens/s.
const OUTPUT_TOKENS_MEAN: f64 = 270.0;

/// Shares of the kinds of requests. The remainder are new conversations with a short question after
/// the prefix that their workspace shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mix {
    /// Further requests of a conversation after a gap.
    pub(super) returning: f64,
    /// Further requests of a conversation within half a second of its previous one.
    pub(super) concurrent: f64,
    /// New conversations with a long history.
    pub(super) new_long: f64,
    /// Batch prompts, whose conversations have a single request.
    pub(super) batch: f64,
}

/// Mix with overnight batch prompts, for which recomputed tokens and link use matter most.
pub(super) const BATCH_MIX: Mix = Mix {
    returning: 0.58,
    concurrent: 0.10,
    new_long: 0.02,
    batch: 0.15,
};

/// Interactive mix, for which the time to first token matters most.
pub(super) const INTERACTIVE_MIX: Mix = Mix {
    returning: 0.68,
    concurrent: 0.10,
    new_long: 0.02,
    batch: 0.0,
};

/// A request of the trace, with the keys of the blocks that it reads or computes.
#[derive(Clone, Debug)]
pub(super) struct TraceRequest {
    pub(super) at_s: f64,
    pub(super) workspace: usize,
    pub(super) prompt_tokens: u64,
    pub(super) output_tokens: u64,
    /// Keys of the complete blocks of the prompt and of the output after it.
    pub(super) keys: Vec<ShortKey>,
    /// Number of leading keys that belong to the prompt.
    pub(super) prompt_blocks: usize,
}

/// A trace of requests, and the blocks that the stores retain from the time before it.
#[derive(Clone, Debug)]
pub(super) struct Trace {
    pub(super) requests: Vec<TraceRequest>,
    pub(super) retained: Vec<Vec<ShortKey>>,
    /// For each request, the prompt tokens that no strategy can avoid computing.
    pub(super) unavoidable_tokens: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Conversation {
    id: u64,
    workspace: usize,
    tokens: u64,
    last_use_s: f64,
}

/// Random source of the gaps between two requests of a conversation.
pub(super) struct ReturnGaps(StdRng);

impl ReturnGaps {
    pub(super) fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed ^ 3))
    }

    /// Draws a gap in seconds: half an hour in the median, a minute at least, and up to days.
    pub(super) fn random_gap_s(&mut self) -> f64 {
        log_normal(&mut self.0, 1_800.0, 1.4).max(60.0)
    }
}

struct Generator {
    rng: StdRng,
    gaps: ReturnGaps,
    conversations: Vec<Conversation>,
    /// Arrival time and conversation index of each request, in order of time.
    uses: Vec<(f64, usize)>,
    retained: Vec<Vec<ShortKey>>,
}

/// Generates a trace of `requests` arrivals at a mean rate of `rate_per_s`.
pub(super) fn generate_trace(seed: u64, requests: usize, rate_per_s: f64, mix: Mix) -> Trace {
    let mut generator = Generator {
        rng: StdRng::seed_from_u64(seed),
        gaps: ReturnGaps::new(seed ^ 4),
        conversations: Vec::new(),
        uses: Vec::new(),
        retained: (0..WORKSPACES).map(shared_prefix_keys).collect(),
    };
    let mut now = 0.0;
    let mut trace = Vec::with_capacity(requests);
    for _ in 0..requests {
        now += -generator.rng.random::<f64>().max(1e-12).ln() / rate_per_s;
        trace.push(generator.generate_request(now, mix));
    }
    let unavoidable_tokens = count_unavoidable_tokens(&trace, &generator.retained);
    Trace {
        requests: trace,
        retained: generator.retained,
        unavoidable_tokens,
    }
}

impl Generator {
    fn generate_request(&mut self, now: f64, mix: Mix) -> TraceRequest {
        let kind = self.rng.random::<f64>();
        let mut limit = mix.returning;
        if kind < limit {
            return self.returning_request(now);
        }
        limit += mix.concurrent;
        if kind < limit {
            return self.concurrent_request(now);
        }
        limit += mix.new_long;
        if kind < limit {
            let at = self.start_conversation(now, None, 0);
            let history = self.history_tokens();
            return self.add_turn(at, now, history);
        }
        limit += mix.batch;
        if kind < limit {
            let at = self.start_conversation(now, Some(BATCH_WORKSPACE), 0);
            let tokens = self.log_normal(8_000.0, 0.5) as u64;
            return self.add_turn(at, now, tokens);
        }
        let at = self.start_conversation(now, None, 0);
        let tokens = self.log_normal(300.0, 0.6) as u64;
        self.add_turn(at, now, tokens)
    }

    /// Continues the first conversation that was used after the time that lies a random gap back.
    /// If there is none or it has been used since, continues one that was retained before the
    /// trace.
    fn returning_request(&mut self, now: f64) -> TraceRequest {
        let wanted = now - self.gaps.random_gap_s();
        let position = self.uses.partition_point(|(at, _)| *at < wanted);
        let used = self.uses.get(position).copied().filter(|_| wanted > 0.0);
        let found = used.filter(|(at, conversation)| {
            let known = &self.conversations[*conversation];
            known.last_use_s == *at && known.workspace != BATCH_WORKSPACE
        });
        let at = found.map_or_else(|| self.retained_conversation(), |(_, at)| at);
        let question = self.log_normal(500.0, 0.8) as u64;
        self.add_turn(at, now, question)
    }

    fn concurrent_request(&mut self, now: f64) -> TraceRequest {
        let recent: Vec<_> = self
            .uses
            .iter()
            .rev()
            .take_while(|(at, _)| now - at < 0.5)
            .map(|(_, conversation)| *conversation)
            .collect();
        if recent.is_empty() {
            return self.returning_request(now);
        }
        let at = recent[self.rng.random_range(0..recent.len())];
        let question = self.log_normal(200.0, 0.5) as u64;
        self.add_turn(at, now, question)
    }

    fn retained_conversation(&mut self) -> usize {
        let history = self.history_tokens();
        let at = self.start_conversation(-1.0, None, history);
        let conversation = self.conversations[at];
        self.retained
            .push(conversation_keys(&conversation, conversation.tokens));
        at
    }

    fn start_conversation(&mut self, now: f64, workspace: Option<usize>, tokens: u64) -> usize {
        // Squaring the uniform draw gives the workspaces with low indices most of the
        // conversations.
        let drawn = self.rng.random::<f64>();
        let drawn = ((drawn * drawn) * BATCH_WORKSPACE as f64) as usize;
        let workspace = workspace.unwrap_or(drawn);
        let shared_prefix = shared_prefix_blocks(workspace) * BLOCK_TOKENS;
        self.conversations.push(Conversation {
            id: self.conversations.len() as u64,
            workspace,
            tokens: shared_prefix + tokens,
            last_use_s: now,
        });
        self.conversations.len() - 1
    }

    fn add_turn(&mut self, at: usize, now: f64, question_tokens: u64) -> TraceRequest {
        let output_tokens =
            (-self.rng.random::<f64>().max(1e-12).ln() * OUTPUT_TOKENS_MEAN).ceil() as u64;
        let conversation = &mut self.conversations[at];
        let prompt_tokens = conversation.tokens + question_tokens.max(1);
        conversation.tokens = prompt_tokens + output_tokens;
        conversation.last_use_s = now;
        self.uses.push((now, at));
        let conversation = self.conversations[at];
        TraceRequest {
            at_s: now,
            workspace: conversation.workspace,
            prompt_tokens,
            output_tokens,
            keys: conversation_keys(&conversation, conversation.tokens),
            prompt_blocks: (prompt_tokens / BLOCK_TOKENS) as usize,
        }
    }

    fn history_tokens(&mut self) -> u64 {
        self.log_normal(10_000.0, 0.9).min(HISTORY_TOKENS_MAX) as u64
    }

    fn log_normal(&mut self, median: f64, sigma: f64) -> f64 {
        log_normal(&mut self.rng, median, sigma)
    }
}

fn log_normal(rng: &mut StdRng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    median * (sigma * normal).exp()
}

/// Returns the number of blocks that all conversations of a workspace start with, such as a manual.
fn shared_prefix_blocks(workspace: usize) -> u64 {
    [2, 3, 1, 4, 2, 1, 3, 2, 1, 2, 0][workspace]
}

fn shared_prefix_keys(workspace: usize) -> Vec<ShortKey> {
    (0..shared_prefix_blocks(workspace))
        .map(|position| hash_key(&("manual", workspace, position)))
        .collect()
}

fn conversation_keys(conversation: &Conversation, tokens: u64) -> Vec<ShortKey> {
    let shared_prefix = shared_prefix_keys(conversation.workspace);
    let own = (shared_prefix.len() as u64..tokens / BLOCK_TOKENS)
        .map(|position| hash_key(&("conversation", conversation.id, position)));
    shared_prefix.iter().copied().chain(own).collect()
}

fn hash_key(of: &impl Hash) -> ShortKey {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    ShortKey(hasher.finish())
}

/// Counts, for each request, the tokens after the longest prefix that was ever computed before. No
/// strategy can reuse more, whatever it keeps and wherever it sends the request.
fn count_unavoidable_tokens(requests: &[TraceRequest], retained: &[Vec<ShortKey>]) -> Vec<u64> {
    let mut known: HashSet<ShortKey> = retained.iter().flatten().copied().collect();
    requests
        .iter()
        .map(|request| {
            let prompt = &request.keys[..request.prompt_blocks];
            let reusable = prompt.iter().take_while(|key| known.contains(key)).count();
            known.extend(&request.keys);
            request.prompt_tokens - reusable as u64 * BLOCK_TOKENS
        })
        .collect()
}
