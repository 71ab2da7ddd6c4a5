//! The clock interface.

use rustix::time::{ClockId, clock_gettime};
use std::sync::Mutex;
use std::time::{Duration, SystemTime};

/// Source of time, passed to everything that needs it so that tests control it.
pub trait Clock: Send + Sync + 'static {
    /// Time since an arbitrary origin. Never goes back and counts time during which the machine was
    /// suspended.
    fn uptime(&self) -> Duration;

    /// Wall clock time. May jump in both directions.
    fn wall(&self) -> SystemTime;

    /// Wall clock time in milliseconds since 1970.
    fn wall_ms(&self) -> u64 {
        self.wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
    }
}

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn uptime(&self) -> Duration {
        // `Instant` is based on CLOCK_MONOTONIC, which stops while the machine is suspended. A lease
        // measured with it would look valid after a suspension.
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<(Duration, SystemTime)>,
}

impl ManualClock {
    /// Creates a clock with uptime zero and the given wall clock time.
    #[must_use]
    pub fn new(wall: SystemTime) -> Self {
        Self {
            now: Mutex::new((Duration::ZERO, wall)),
        }
    }

    /// Moves uptime and wall clock forward.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the clock.
    pub fn advance(&self, by: Duration) {
        let mut now = self.now.lock().expect("clock lock");
        now.0 += by;
        now.1 += by;
    }
}

impl Clock for ManualClock {
    fn uptime(&self) -> Duration {
        self.now.lock().expect("clock lock").0
    }

    fn wall(&self) -> SystemTime {
        self.now.lock().expect("clock lock").1
    }
}
