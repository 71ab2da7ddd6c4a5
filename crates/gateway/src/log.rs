//! Structured log: one JSON object per line, written by a thread of its own.
//!
//! Lines pass through a bounded queue, so that a reader that stops reading never blocks a request.
//! When the queue fills up, routine lines are dropped first; the number of dropped lines is logged
//! once there is room again.

mod event;
mod fields;

pub use event::Event;
pub use fields::{
    AnswerFields, Choice, LoggedParts, OriginFields, PromptChoice, RequestLine, StreamPosition,
    ZoneChoiceFields,
};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use serde::Serialize;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Capacity of the queue of lines to be written.
const QUEUE_LINES_MAX: usize = 2048;
/// Queue length from which on routine lines are dropped.
const ROUTINE_LINES_MAX: usize = QUEUE_LINES_MAX / 2;
/// Time for which lines are collected and then written together, because each wake-up and each
/// write costs processor time.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Importance of a line, which decides whether it is dropped early when the queue fills up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// Normal operation, such as an answered request.
    Routine,
    /// A failure, a refusal or a change of state.
    Notable,
}

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

#[derive(Debug, Default)]
struct DroppedLines {
    routine: AtomicU64,
    notable: AtomicU64,
}

/// Counters that the log thread shares with the threads that write lines.
#[derive(Debug, Default)]
struct LogCounters {
    dropped: DroppedLines,
    /// Lines in the queue, and lines taken from it that are not written yet.
    unwritten: AtomicUsize,
}

/// Handle to write log lines. Clones share one queue and one thread.
#[derive(Clone, Debug)]
pub struct EventLog {
    sender: Sender<Vec<u8>>,
    counters: Arc<LogCounters>,
}

impl EventLog {
    /// Starts the thread that writes lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = bounded(QUEUE_LINES_MAX);
        let counters = Arc::new(LogCounters::default());
        let thread_counters = Arc::clone(&counters);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, &thread_counters, output))?;
        Ok(Self { sender, counters })
    }

    /// Queues a line, or counts it as dropped if the queue is too full for its importance.
    pub fn write(&self, importance: Importance, time_ms: u64, event: &Event<'_>) {
        let is_routine = importance == Importance::Routine;
        if is_routine && self.sender.len() >= ROUTINE_LINES_MAX {
            self.counters
                .dropped
                .routine
                .fetch_add(1, Ordering::Relaxed);
            return;
        }
        let line = encode(time_ms, event);
        self.counters.unwritten.fetch_add(1, Ordering::AcqRel);
        let Err(error) = self.sender.try_send(line) else {
            return;
        };
        self.counters.unwritten.fetch_sub(1, Ordering::AcqRel);
        if let TrySendError::Full(_) = error {
            let counter = if is_routine {
                &self.counters.dropped.routine
            } else {
                &self.counters.dropped.notable
            };
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines are written to the output, at most for `limit`.
    pub fn flush(&self, limit: Duration) {
        let step = Duration::from_millis(10);
        let mut waited = Duration::ZERO;
        while self.counters.unwritten.load(Ordering::Acquire) > 0 && waited < limit {
            thread::sleep(step);
            waited += step;
        }
    }
}

fn encode(time_ms: u64, event: &Event<'_>) -> Vec<u8> {
    let mut line = Vec::with_capacity(320);
    // Cannot fail: the buffer is in memory and every field of `Event` has a JSON representation.
    if serde_json::to_writer(&mut line, &Line { time_ms, event }).is_err() {
        line.clear();
        line.extend_from_slice(b"{\"event\":\"unprintable\"}");
    }
    line.push(b'\n');
    line
}

fn write_lines(receiver: &Receiver<Vec<u8>>, counters: &LogCounters, mut output: impl Write) {
    let mut batch = Vec::new();
    while let Ok(first) = receiver.recv() {
        thread::sleep(BATCH_INTERVAL);
        batch.extend_from_slice(&first);
        let mut lines = 1;
        while let Ok(line) = receiver.try_recv() {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        append_dropped_line(&counters.dropped, &mut batch);
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            // The reader has closed the output; the daemon continues without a log.
            return;
        }
        counters.unwritten.fetch_sub(lines, Ordering::AcqRel);
        batch.clear();
    }
}

fn append_dropped_line(dropped: &DroppedLines, batch: &mut Vec<u8>) {
    let routine = dropped.routine.swap(0, Ordering::Relaxed);
    let notable = dropped.notable.swap(0, Ordering::Relaxed);
    if routine + notable > 0 {
        batch.extend_from_slice(&encode(0, &Event::LinesDropped { routine, notable }));
    }
}
