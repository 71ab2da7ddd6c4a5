//! Continuous batching: the queue, the running requests and their progress.

use super::protocol::Usage;
use std::collections::VecDeque;
use tokio::sync::watch;

/// Progress of a request, sent to the task that writes its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Position after the last token generated, counted from the first token of the answer.
    pub(crate) produced: u64,
    /// Whether the last token was generated.
    pub(crate) ended: bool,
    /// Token counts, complete once `ended` is true.
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
    pub(crate) progress: watch::Sender<Progress>,
}

impl Job {
    /// Returns the number of tokens in the prompt's block with the given index. The last block may
    /// be shorter than the others.
    pub(crate) fn block_len(&self, index: usize) -> u64 {
        let start = index as u64 * self.block_tokens;
        self.usage
            .prompt_tokens
            .saturating_sub(start)
            .min(self.block_tokens)
    }

    fn is_cancelled(&self) -> bool {
        self.progress.is_closed()
    }

    fn is_prefilling(&self) -> bool {
        self.prefill_left > 0.0
    }
}

/// Prefill and decode speed of the engine, with a slowdown taken into account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    pub(crate) prefill_tokens_per_s: f64,
    pub(crate) decode_ms: f64,
}

/// The queue, ordered by priority, and the requests in the batch.
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

    /// Returns the number of tokens still to be prefilled. The whole prompts of queued requests
    /// count.
    pub(crate) fn prefill_tokens(&self) -> u64 {
        let running: f64 = self.running.iter().map(|job| job.prefill_left).sum();
        let queued: u64 = self.queue.iter().map(|job| job.usage.prompt_tokens).sum();
        running as u64 + queued
    }

    /// Queues a job behind those of the same or a higher priority.
    pub(crate) fn submit(&mut self, job: Job) {
        let index = self
            .queue
            .iter()
            .position(|other| other.priority < job.priority)
            .unwrap_or(self.queue.len());
        self.queue.insert(index, job);
    }

    /// Drops cancelled jobs and moves jobs from the queue into the batch. `begin_prefill` sets the
    /// number of tokens that each has to prefill.
    pub(crate) fn admit(&mut self, max_running: usize, mut begin_prefill: impl FnMut(&mut Job)) {
        self.queue.retain(|job| !job.is_cancelled());
        self.running.retain(|job| !job.is_cancelled());
        while self.running.len() < max_running
            && let Some(mut job) = self.queue.pop_front()
        {
            begin_prefill(&mut job);
            self.running.push(job);
        }
    }

    /// Advances the batch by `elapsed_s`. Calls `on_prefill_end` for each job whose prefill ends,
    /// and returns the number of jobs that ended.
    pub(crate) fn advance(
        &mut self,
        elapsed_s: f64,
        speed: Speed,
        mut on_prefill_end: impl FnMut(&Job),
    ) -> u64 {
        self.prefill(elapsed_s * speed.prefill_tokens_per_s);
        for job in &mut self.running {
            let before = job.progress.borrow().produced;
            let produced = if job.is_prefilling() {
                before
            } else if !job.is_decoding {
                // The end of the prefill yields the first token.
                on_prefill_end(job);
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
                job.progress.send_replace(Progress {
                    produced,
                    ended: produced == job.end,
                    usage: job.usage,
                });
            }
        }
        let before = self.running.len();
        self.running.retain(|job| !job.progress.borrow().ended);
        (before - self.running.len()) as u64
    }

    /// Shares prefill tokens equally among the jobs in prefill. The jobs that need the fewest
    /// tokens come first, so that the rest of their share goes to the others.
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
