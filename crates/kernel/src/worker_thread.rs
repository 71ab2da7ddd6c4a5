//! Named threads, one for each duty of the daemon.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{Builder, JoinHandle};

/// Signal that asks worker threads to end. Clones share one signal.
#[derive(Clone, Debug, Default)]
pub struct StopSignal(Arc<AtomicBool>);

impl StopSignal {
    /// Creates a signal that has not been raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal. It stays raised.
    pub fn raise(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns whether the signal was raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Handle to a named thread that carries out one duty of the daemon.
#[derive(Debug)]
pub struct WorkerThread {
    name: &'static str,
    thread: JoinHandle<()>,
}

impl WorkerThread {
    /// Starts a thread that calls `run`. `run` has to return soon after the signal is raised.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot create the thread.
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

    /// Returns the name of the thread.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns whether the thread has ended, on request or because of a panic.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until the thread ends. Returns false if it panicked.
    #[must_use]
    pub fn join(self) -> bool {
        self.thread.join().is_ok()
    }
}
