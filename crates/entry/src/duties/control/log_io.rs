//! Threads that call the log service for the control worker, which never waits for it.

use anvilgw_config::{Bootstrap, SnapshotError};
use anvilgw_core::{LogError, LogService, LogSlice, Offset};
use anvilgw_kernel::{
    Receiver, RecvTimeoutError, Sender, StopSignal, WorkerThread, bounded_channel,
};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Number of calls that may wait for each thread. The control worker has at most one read under
/// way.
const CALLS_CAPACITY: usize = 64;
/// Longest sleep of a thread, after which it checks whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of records in one read.
const READ_MAX: usize = 1024;

/// Names of the log streams of the control worker.
#[derive(Clone, Debug)]
pub(crate) struct StreamNames {
    /// Stream of configuration changes.
    pub(crate) config: String,
    /// Stream of configuration snapshots.
    pub(crate) snapshots: String,
    /// Stream of epochs.
    pub(crate) epochs: String,
    /// Stream of leases.
    pub(crate) leases: String,
}

/// Offsets from which the streams are read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadOffsets {
    /// Next offset of `config`; `None` to start from a snapshot.
    pub(crate) config: Option<Offset>,
    /// Next offset of `epochs`; `None` for the oldest retained record.
    pub(crate) epochs: Option<Offset>,
    /// Next offset of `leases`; `None` for the oldest retained record.
    pub(crate) leases: Option<Offset>,
}

/// What was read of the configuration stream.
pub(crate) enum ConfigRead {
    /// Records from the requested offset on.
    Tail(LogSlice),
    /// The retained snapshots and the records after the newest one, from which the configuration is
    /// rebuilt.
    Restart {
        /// The snapshots, of which the newest readable one is used.
        bootstrap: Bootstrap,
        /// Offset of the oldest retained record of the configuration stream.
        first_offset: Offset,
        /// The records after the snapshot; empty if some of them were trimmed already.
        tail: LogSlice,
    },
}

/// Result of reading all streams.
pub(crate) struct ReadResult {
    /// What was read of the configuration stream.
    pub(crate) config: ConfigRead,
    /// Records of the epochs stream.
    pub(crate) epochs: LogSlice,
    /// Records of the leases stream.
    pub(crate) leases: LogSlice,
}

/// Result of a call, sent to the control worker.
pub(crate) enum LogEvent {
    /// A read of all streams ended.
    Read {
        /// Uptime directly before the read started.
        started_at: Duration,
        /// What was read, or the error that ended the read.
        result: Result<ReadResult, LogError>,
    },
    /// An append failed. Reading the stream shows whether it took effect all the same.
    AppendFailed(LogError),
}

/// Sends calls to the two threads.
pub(crate) struct LogCalls {
    reads: Sender<(Duration, ReadOffsets)>,
    appends: Sender<(String, Vec<u8>)>,
}

impl LogCalls {
    /// Starts a thread for reads and one for appends, so that a slow append does not make the view
    /// stale. The threads call `on_event` with the results.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub(crate) fn start(
        log: &Arc<dyn LogService>,
        streams: &StreamNames,
        stop: &StopSignal,
        on_event: impl Fn(LogEvent) + Send + Clone + 'static,
    ) -> io::Result<(Self, Vec<WorkerThread>)> {
        let (reads, read_calls) = bounded_channel::<(Duration, ReadOffsets)>(CALLS_CAPACITY);
        let (appends, append_calls) = bounded_channel::<(String, Vec<u8>)>(CALLS_CAPACITY);
        let reader = {
            let (log, streams, on_event) = (Arc::clone(log), streams.clone(), on_event.clone());
            WorkerThread::spawn("log-reads", stop.clone(), move |stop| {
                serve_calls(&read_calls, &stop, |(started_at, from)| {
                    let result = read_streams(&*log, &streams, from);
                    on_event(LogEvent::Read { started_at, result });
                });
            })?
        };
        let appender = {
            let log = Arc::clone(log);
            WorkerThread::spawn("log-appends", stop.clone(), move |stop| {
                serve_calls(&append_calls, &stop, |(stream, payload)| {
                    if let Err(error) = log.append(&stream, &payload) {
                        on_event(LogEvent::AppendFailed(error));
                    }
                });
            })?
        };
        Ok((Self { reads, appends }, vec![reader, appender]))
    }

    /// Starts a read of all streams. Returns false if too many calls wait.
    pub(crate) fn read(&self, started_at: Duration, from: ReadOffsets) -> bool {
        self.reads.send((started_at, from)).is_ok()
    }

    /// Starts an append of a record. Returns false if too many appends wait; the state machine that
    /// issued the record has to append it again.
    pub(crate) fn append(&self, stream: &str, payload: Vec<u8>) -> bool {
        self.appends.send((stream.to_owned(), payload)).is_ok()
    }
}

fn serve_calls<T>(calls: &Receiver<T>, stop: &StopSignal, mut perform: impl FnMut(T)) {
    while !stop.is_raised() {
        match calls.recv_timeout(STOP_CHECK_INTERVAL) {
            Ok(call) => perform(call),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn read_streams(
    log: &dyn LogService,
    streams: &StreamNames,
    from: ReadOffsets,
) -> Result<ReadResult, LogError> {
    // The configuration is read last, so that no epoch or lease is seen before the configuration on
    // which it depends.
    let epochs = read_retained(log, &streams.epochs, from.epochs)?;
    let leases = read_retained(log, &streams.leases, from.leases)?;
    let config = match from.config {
        Some(next) => match read_to_end(log, &streams.config, next) {
            Ok(slice) => ConfigRead::Tail(slice),
            Err(LogError::Trimmed(..)) => read_from_snapshot(log, streams)?,
            Err(error) => return Err(error),
        },
        None => read_from_snapshot(log, streams)?,
    };
    Ok(ReadResult {
        config,
        epochs,
        leases,
    })
}

fn read_from_snapshot(log: &dyn LogService, streams: &StreamNames) -> Result<ConfigRead, LogError> {
    let snapshots = read_retained(log, &streams.snapshots, None)?;
    let mut bootstrap = Bootstrap::new();
    for record in &snapshots.records {
        // The bootstrap counts damaged snapshots and uses an older readable one instead.
        let _: Result<(), SnapshotError> = bootstrap.add_snapshot(record);
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

/// Reads a stream from `next` or, if that was trimmed, from the oldest retained record to the end.
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
    let mut slice = log.read(stream, from, READ_MAX, Duration::ZERO)?;
    loop {
        let next = slice
            .records
            .last()
            .map_or(from, |record| Offset(record.offset.0 + 1));
        if next >= slice.next_offset {
            return Ok(slice);
        }
        let more = log.read(stream, next, READ_MAX, Duration::ZERO)?;
        slice.next_offset = more.next_offset;
        if more.records.is_empty() {
            return Ok(slice);
        }
        slice.records.extend(more.records);
    }
}
