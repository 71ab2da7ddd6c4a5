//! Named threads, one for each duty.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{Builder, JoinHandle};

/// Tells duties to end.
#[derive(Clone, Debug, Default)]
pub struct StopSignal(Arc<AtomicBool>);

impl StopSignal {
    /// Creates a signal that has not been raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal.
    pub fn raise(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Whether the signal was raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A running duty.
#[derive(Debug)]
pub struct WorkerThread {
    name: &'static str,
    thread: JoinHandle<()>,
}

impl WorkerThread {
    /// Starts a duty on a thread with its name. `run` returns soon after the signal is raised.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub fn spawn(
        name: &'static str,
        stop: StopSignal,
        run: impl FnOnce(StopSignal) + Send + 'static,
    ) -> io::Result<Self> {
        let thread = Builder::new()
            .name(name.to_owned())
            .spawn(move || run(stop))?;
        Ok(Self { name, thread })
    }

    /// Name of the duty.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Whether the thread has ended, on request or because of a panic.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the end of the duty. Returns false if it panicked.
    #[must_use]
    pub fn join(self) -> bool {
        self.thread.join().is_ok()
    }
}
