//! Threads that call the log service for the control duty, which itself never waits.

use anvilgw_config::{Bootstrap, SnapshotError};
use anvilgw_core::{LogError, LogService, LogSlice, Offset};
use anvilgw_kernel::{
    Receiver, RecvTimeoutError, Sender, StopSignal, WorkerThread, bounded_channel,
};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Calls that may wait; the control duty has at most one read under way.
const CALLS_CAPACITY: usize = 64;
/// Sleep after which a thread notices a stop.
const WAIT: Duration = Duration::from_millis(100);
/// Records of one read of a stream.
const READ_MAX: usize = 1024;

/// Names of the streams.
#[derive(Clone, Debug)]
pub(crate) struct Streams {
    /// Configuration changes.
    pub(crate) config: String,
    /// Snapshots of the configuration.
    pub(crate) snapshots: String,
    /// Epochs.
    pub(crate) epochs: String,
    /// Leases.
    pub(crate) leases: String,
}

/// Positions to read from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadFrom {
    /// Next offset of `config`; `None` to start from a snapshot.
    pub(crate) config: Option<Offset>,
    /// Next offset of `epochs`; `None` for the oldest retained record.
    pub(crate) epochs: Option<Offset>,
    /// Next offset of `leases`; `None` for the oldest retained record.
    pub(crate) leases: Option<Offset>,
}

/// How the configuration stream was read.
pub(crate) enum ConfigRead {
    /// Records from the requested offset on.
    Tail(LogSlice),
    /// A new start: the snapshots and the records after the newest.
    Restart {
        /// The snapshots.
        bootstrap: Bootstrap,
        /// Offset of the oldest retained record.
        first_offset: Offset,
        /// The records, unless there is a gap.
        tail: LogSlice,
    },
}

/// Result of reading all streams.
pub(crate) struct ReadResult {
    /// The configuration stream.
    pub(crate) config: ConfigRead,
    /// The epochs stream.
    pub(crate) epochs: LogSlice,
    /// The leases stream.
    pub(crate) leases: LogSlice,
}

/// What comes back to the control duty.
pub(crate) enum LogEvent {
    /// A read ended. `began` is the uptime directly before it.
    Read {
        /// Uptime directly before the read.
        began: Duration,
        /// What was read.
        result: Result<ReadResult, LogError>,
    },
    /// An append failed. Whether it took effect is learned by reading.
    AppendFailed(LogError),
}

/// Calls for the two threads.
pub(crate) struct LogCalls {
    reads: Sender<(Duration, ReadFrom)>,
    appends: Sender<(String, Vec<u8>)>,
}

impl LogCalls {
    /// Starts the threads. Reads and appends have one each, so that a slow append does not make the
    /// view stale.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub(crate) fn start(
        log: &Arc<dyn LogService>,
        streams: &Streams,
        stop: &StopSignal,
        events: impl Fn(LogEvent) + Send + Clone + 'static,
    ) -> io::Result<(Self, Vec<WorkerThread>)> {
        let (reads, read_calls) = bounded_channel::<(Duration, ReadFrom)>(CALLS_CAPACITY);
        let (appends, append_calls) = bounded_channel::<(String, Vec<u8>)>(CALLS_CAPACITY);
        let reader = {
            let (log, streams, events) = (Arc::clone(log), streams.clone(), events.clone());
            WorkerThread::spawn("log-reads", stop.clone(), move |stop| {
                each(&read_calls, &stop, |(began, from)| {
                    let result = read_all(&*log, &streams, from);
                    events(LogEvent::Read { began, result });
                });
            })?
        };
        let appender = {
            let log = Arc::clone(log);
            WorkerThread::spawn("log-appends", stop.clone(), move |stop| {
                each(&append_calls, &stop, |(stream, payload)| {
                    if let Err(error) = log.append(&stream, &payload) {
                        events(LogEvent::AppendFailed(error));
                    }
                });
            })?
        };
        Ok((Self { reads, appends }, vec![reader, appender]))
    }

    /// Reads all streams. Returns false if a read is still waiting.
    pub(crate) fn read(&self, began: Duration, from: ReadFrom) -> bool {
        self.reads.send((began, from)).is_ok()
    }

    /// Appends a record. Returns false if too many appends wait; the caller's state machine tries
    /// again.
    pub(crate) fn append(&self, stream: &str, payload: Vec<u8>) -> bool {
        self.appends.send((stream.to_owned(), payload)).is_ok()
    }
}

fn each<T>(calls: &Receiver<T>, stop: &StopSignal, mut perform: impl FnMut(T)) {
    while !stop.is_raised() {
        match calls.recv_timeout(WAIT) {
            Ok(call) => perform(call),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn read_all(
    log: &dyn LogService,
    streams: &Streams,
    from: ReadFrom,
) -> Result<ReadResult, LogError> {
    // The order matters: an epoch or lease that depends on a configuration is not seen before it.
    let epochs = read_retained(log, &streams.epochs, from.epochs)?;
    let leases = read_retained(log, &streams.leases, from.leases)?;
    let config = match from.config {
        Some(next) => match read_to_end(log, &streams.config, next) {
            Ok(slice) => ConfigRead::Tail(slice),
            Err(LogError::Trimmed(..)) => restart(log, streams)?,
            Err(error) => return Err(error),
        },
        None => restart(log, streams)?,
    };
    Ok(ReadResult {
        config,
        epochs,
        leases,
    })
}

fn restart(log: &dyn LogService, streams: &Streams) -> Result<ConfigRead, LogError> {
    let snapshots = read_retained(log, &streams.snapshots, None)?;
    let mut bootstrap = Bootstrap::new();
    for record in &snapshots.records {
        // Damaged snapshots are counted by the bootstrap; an older good one serves as well.
        let _: Result<(), SnapshotError> = bootstrap.add(record);
    }
    match read_to_end(log, &streams.config, bootstrap.next_offset()) {
        Ok(tail) => Ok(ConfigRead::Restart {
            bootstrap,
            first_offset: tail.first_offset,
            tail,
        }),
        Err(LogError::Trimmed(first_offset, _)) => Ok(ConfigRead::Restart {
            bootstrap,
            first_offset,
            tail: LogSlice::default(),
        }),
        Err(error) => Err(error),
    }
}

/// Reads a stream of which only the retained part matters.
fn read_retained(
    log: &dyn LogService,
    stream: &str,
    next: Option<Offset>,
) -> Result<LogSlice, LogError> {
    let from = next.unwrap_or(Offset(0));
    match read_to_end(log, stream, from) {
        Err(LogError::Trimmed(first, _)) => read_to_end(log, stream, first),
        other => other,
    }
}

fn read_to_end(log: &dyn LogService, stream: &str, from: Offset) -> Result<LogSlice, LogError> {
    let mut all = log.read(stream, from, READ_MAX, Duration::ZERO)?;
    loop {
        let next = all
            .records
            .last()
            .map_or(from, |record| Offset(record.offset.0 + 1));
        if next >= all.next_offset {
            return Ok(all);
        }
        let more = log.read(stream, next, READ_MAX, Duration::ZERO)?;
        all.next_offset = more.next_offset;
        if more.records.is_empty() {
            return Ok(all);
        }
        all.records.extend(more.records);
    }
}
