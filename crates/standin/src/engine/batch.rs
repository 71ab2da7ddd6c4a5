//! Continuous batching: which requests run and how far they are.

use super::protocol::Usage;
use std::collections::VecDeque;
use tokio::sync::watch;

/// How far a request is, as seen by the task that answers it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Position {
    /// Position after the last token generated.
    pub(crate) produced: u64,
    /// Whether the last token was generated.
    pub(crate) ended: bool,
    /// Usage, complete once ended.
    pub(crate) usage: Usage,
}

/// A request in the queue or in the batch.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) keys: Vec<String>,
    pub(crate) block_tokens: u64,
    pub(crate) priority: i32,
    /// Position after the last token of the answer.
    pub(crate) end: u64,
    pub(crate) usage: Usage,
    pub(crate) prefill_left: f64,
    pub(crate) decode_credit_ms: f64,
    pub(crate) is_decoding: bool,
    pub(crate) position: watch::Sender<Position>,
}

impl Job {
    /// Tokens of the block at a position of the prompt; the last one may be shorter.
    pub(crate) fn block_len(&self, index: usize) -> u64 {
        let start = index as u64 * self.block_tokens;
        self.usage
            .prompt_tokens
            .saturating_sub(start)
            .min(self.block_tokens)
    }

    fn is_cancelled(&self) -> bool {
        self.position.is_closed()
    }

    fn is_prefilling(&self) -> bool {
        self.prefill_left > 0.0
    }
}

/// Speeds of the engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    pub(crate) prefill_tokens_per_s: f64,
    pub(crate) decode_ms: f64,
}

/// Queue and batch.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    queue: VecDeque<Job>,
    running: Vec<Job>,
}

impl Batch {
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Prefill tokens still to be computed. Queued requests count in full.
    pub(crate) fn prefill_tokens(&self) -> u64 {
        let running: f64 = self.running.iter().map(|job| job.prefill_left).sum();
        let queued: u64 = self.queue.iter().map(|job| job.usage.prompt_tokens).sum();
        running as u64 + queued
    }

    /// Puts a job behind those of the same or a higher priority.
    pub(crate) fn submit(&mut self, job: Job) {
        let index = self
            .queue
            .iter()
            .position(|other| other.priority < job.priority)
            .unwrap_or(self.queue.len());
        self.queue.insert(index, job);
    }

    /// Moves jobs from the queue into the batch. `begin` sets the prefill that each needs.
    pub(crate) fn admit(&mut self, max_running: usize, mut begin: impl FnMut(&mut Job)) {
        self.queue.retain(|job| !job.is_cancelled());
        self.running.retain(|job| !job.is_cancelled());
        while self.running.len() < max_running
            && let Some(mut job) = self.queue.pop_front()
        {
            begin(&mut job);
            self.running.push(job);
        }
    }

    /// Lets the batch run for `elapsed_s`. Calls `prefilled` for each job whose prefill ends, and
    /// returns the number of jobs that ended.
    pub(crate) fn advance(
        &mut self,
        elapsed_s: f64,
        speed: Speed,
        mut prefilled: impl FnMut(&Job),
    ) -> u64 {
        self.prefill(elapsed_s * speed.prefill_tokens_per_s);
        for job in &mut self.running {
            let before = job.position.borrow().produced;
            let produced = if job.is_prefilling() {
                before
            } else if !job.is_decoding {
                // The end of the prefill yields the first token.
                prefilled(job);
                job.is_decoding = true;
                before + 1
            } else {
                job.decode_credit_ms += elapsed_s * 1_000.0;
                let tokens = (job.decode_credit_ms / speed.decode_ms).floor();
                job.decode_credit_ms -= tokens * speed.decode_ms;
                before + tokens as u64
            };
            let produced = produced.min(job.end);
            if produced > before || produced == job.end {
                job.usage.completion_tokens = produced;
                job.position.send_replace(Position {
                    produced,
                    ended: produced == job.end,
                    usage: job.usage,
                });
            }
        }
        let before = self.running.len();
        self.running.retain(|job| !job.position.borrow().ended);
        (before - self.running.len()) as u64
    }

    /// Shares prefill tokens equally among the jobs that need them. Going through the smallest first
    /// hands on what they leave over.
    fn prefill(&mut self, mut tokens: f64) {
        let mut jobs: Vec<_> = self
            .running
            .iter_mut()
            .filter(|job| job.is_prefilling())
            .collect();
        jobs.sort_by(|a, b| a.prefill_left.total_cmp(&b.prefill_left));
        let mut left = jobs.len();
        for job in jobs {
            let share = (tokens / left as f64).min(job.prefill_left);
            job.prefill_left -= share;
            tokens -= share;
            left -= 1;
        }
    }
}
