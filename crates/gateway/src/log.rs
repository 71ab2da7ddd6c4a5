//! Structured log lines on standard output.
//!
//! Lines go through a bounded ring to a thread of their own, so that a reader that stops reading
//! never holds up a request. When the ring fills up, routine lines are dropped first; the number of
//! dropped lines is logged once there is room again.

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use serde::Serialize;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Lines that wait to be written.
const RING_LINES: usize = 2048;
/// Lines above which routine lines are dropped.
const ROUTINE_LINES_MAX: usize = RING_LINES / 2;
/// Time for which lines are collected before they are written together. Each wake-up and each write
/// costs processor time.
const COLLECT_TIME: Duration = Duration::from_millis(200);

/// How important a line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// Something went as intended.
    Routine,
    /// A failure, a refusal or a change of state.
    Notable,
}

/// A line of the log.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The daemon started.
    Started {
        /// Name of the instance.
        instance: &'a str,
        /// Failure domain of the instance.
        failure_domain: &'a str,
    },
    /// The daemon begins to shut down.
    Stopping {
        /// Requests in execution.
        in_flight: usize,
    },
    /// The daemon ends.
    Stopped {
        /// Requests that were cut.
        in_flight: usize,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether they can be read, and why not.
        outcome: &'a str,
    },
    /// The daemon's readiness changed.
    Readiness {
        /// Whether it takes new connections.
        ready: bool,
        /// Why.
        reason: &'a str,
    },
    /// A dependency stopped answering.
    DependencyLost {
        /// The dependency.
        dependency: &'a str,
        /// What was seen.
        reason: &'a str,
    },
    /// A dependency answers again.
    DependencyRegained {
        /// The dependency.
        dependency: &'a str,
        /// Time for which it was away, in milliseconds.
        away_ms: u64,
    },
    /// A configuration came into force.
    ConfigurationApplied {
        /// Version.
        version: u64,
        /// Version that was in force before.
        replaced: u64,
        /// Number of routes.
        routes: usize,
    },
    /// A failure domain was taken out of service or returned.
    FailureDomain {
        /// The failure domain.
        domain: &'a str,
        /// Whether it is in service.
        in_service: bool,
    },
    /// New weights were named.
    WeightsNamed {
        /// Model.
        model: &'a str,
        /// Version.
        version: u64,
    },
    /// What is known of a backend server changed.
    Server {
        /// Identifier.
        server: &'a str,
        /// What changed.
        change: &'a str,
        /// Service.
        service: &'a str,
        /// Address.
        address: &'a str,
    },
    /// A record of the metadata store cannot be used.
    RecordMalformed {
        /// Key of the record.
        key: &'a str,
        /// What is wrong with it.
        reason: &'a str,
    },
    /// The daemon's part of the shared budgets changed.
    FleetShare {
        /// Generation of the membership.
        generation: u64,
        /// Part, 0 to 1.
        share: f64,
    },
    /// What this daemon does among the others has changed.
    FleetRole {
        /// Name of the role.
        role: &'a str,
        /// Members of the fleet.
        members: usize,
    },
    /// The lease on weight switches was taken, or lost.
    Lease {
        /// What happened.
        change: &'a str,
        /// Fencing token.
        fencing_token: u64,
    },
    /// An order was given to a backend server.
    Order {
        /// Backend server.
        server: &'a str,
        /// Model.
        model: &'a str,
        /// Version to load.
        version: u64,
        /// Fencing token.
        fencing_token: u64,
        /// Orders that the server should have accepted before.
        expected_orders: u64,
        /// Answer.
        outcome: &'a str,
    },
    /// Parts of a store that no daemon reads any more were freed.
    PartsFreed {
        /// Store.
        store: &'a str,
        /// Number of parts.
        parts: usize,
    },
    /// An attempt of a request failed and another may follow.
    Attempt {
        /// Identifier of the request.
        request: &'a str,
        /// Number of the attempt.
        attempt: u32,
        /// Backend server.
        server: &'a str,
        /// What was seen.
        reason: &'a str,
        /// Time since the request was read, in milliseconds.
        elapsed_ms: u64,
        /// What decided for the backend server.
        #[serde(skip_serializing_if = "Option::is_none")]
        choice: Option<Choice>,
    },
    /// A request ended.
    Request(RequestLine<'a>),
    /// Lines were dropped because they were not read fast enough.
    LinesDropped {
        /// Routine lines.
        routine: u64,
        /// Other lines.
        notable: u64,
    },
}

/// What the daemon knew when it chose a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Choice {
    /// Requests on the server.
    pub load: f64,
    /// Age of the server's last report, in milliseconds. Without a report the own requests count.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_age_ms: Option<u64>,
    /// For a generation, where the shared parts of its prompt were expected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt: Option<PromptChoice>,
}

/// Where the shared parts of a prompt were expected beside the server, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PromptChoice {
    /// Version of the server's weights.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weights: Option<u64>,
    /// At a store or another server. The server reads those that it does not hold itself.
    pub fetched_tokens: u32,
    /// Nowhere, so that they are computed.
    pub computed_tokens: u32,
}

/// How a request ended and what decided it.
#[derive(Debug, Default, Serialize)]
pub struct RequestLine<'a> {
    /// Identifier of the request.
    pub request: &'a str,
    /// Route.
    pub route: &'a str,
    /// Workspace.
    pub workspace: &'a str,
    /// Status of the answer.
    pub status: u16,
    /// `answered`, or the code of the failure.
    pub outcome: &'a str,
    /// Why it failed.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub reason: &'a str,
    /// Whether it was executed, where the gateway answered itself.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub executed: &'a str,
    /// Backend server that answered, or the last that was tried.
    pub server: &'a str,
    /// Backend servers that it was sent to.
    pub attempts: u32,
    /// Time to the end of the answer, in milliseconds.
    pub elapsed_ms: u64,
    /// Time to the first event of a stream, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_event_ms: Option<u64>,
    /// What decided for the last backend server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub choice: Option<Choice>,
    /// Version of the configuration that decided.
    pub configuration: u64,
    /// Age of the daemon's copy of the configuration, in milliseconds.
    pub configuration_age_ms: u64,
}

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

#[derive(Debug, Default)]
struct Dropped {
    routine: AtomicU64,
    notable: AtomicU64,
}

/// What the writing thread and the others count together.
#[derive(Debug, Default)]
struct Counts {
    dropped: Dropped,
    /// Lines in the ring, and lines that were taken from it and are not written yet.
    unwritten: AtomicUsize,
}

/// Writer of log lines.
#[derive(Clone, Debug)]
pub struct EventLog {
    sender: Sender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl EventLog {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = bounded(RING_LINES);
        let counts = Arc::new(Counts::default());
        let counted = Arc::clone(&counts);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, &counted, output))?;
        Ok(Self { sender, counts })
    }

    /// Writes a line, or counts it as dropped if the ring is full.
    pub fn write(&self, importance: Importance, time_ms: u64, event: &Event<'_>) {
        let is_routine = importance == Importance::Routine;
        if is_routine && self.sender.len() >= ROUTINE_LINES_MAX {
            self.counts.dropped.routine.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let line = encode(time_ms, event);
        self.counts.unwritten.fetch_add(1, Ordering::AcqRel);
        let Err(error) = self.sender.try_send(line) else {
            return;
        };
        self.counts.unwritten.fetch_sub(1, Ordering::AcqRel);
        if let TrySendError::Full(_) = error {
            let counter = if is_routine {
                &self.counts.dropped.routine
            } else {
                &self.counts.dropped.notable
            };
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines so far are written to the output, at most for `limit`.
    pub fn flush(&self, limit: Duration) {
        let step = Duration::from_millis(10);
        let mut waited = Duration::ZERO;
        while self.counts.unwritten.load(Ordering::Acquire) > 0 && waited < limit {
            thread::sleep(step);
            waited += step;
        }
    }
}

fn encode(time_ms: u64, event: &Event<'_>) -> Vec<u8> {
    let mut line = Vec::with_capacity(320);
    // Writing to memory fails only for types that JSON cannot hold, which `Event` has none of.
    if serde_json::to_writer(&mut line, &Line { time_ms, event }).is_err() {
        line.clear();
        line.extend_from_slice(b"{\"event\":\"unprintable\"}");
    }
    line.push(b'\n');
    line
}

fn write_lines(receiver: &Receiver<Vec<u8>>, counts: &Counts, mut output: impl Write) {
    let mut batch = Vec::new();
    while let Ok(first) = receiver.recv() {
        thread::sleep(COLLECT_TIME);
        batch.extend_from_slice(&first);
        let mut lines = 1;
        while let Ok(line) = receiver.try_recv() {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        note_dropped(&counts.dropped, &mut batch);
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            // Nobody reads the log any more; the daemon goes on without it.
            return;
        }
        counts.unwritten.fetch_sub(lines, Ordering::AcqRel);
        batch.clear();
    }
}

fn note_dropped(dropped: &Dropped, batch: &mut Vec<u8>) {
    let routine = dropped.routine.swap(0, Ordering::Relaxed);
    let notable = dropped.notable.swap(0, Ordering::Relaxed);
    if routine + notable > 0 {
        batch.extend_from_slice(&encode(0, &Event::LinesDropped { routine, notable }));
    }
}
