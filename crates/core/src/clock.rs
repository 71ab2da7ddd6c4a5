//! Clock interface, with implementations for the operating system's clocks and for tests.

use rustix::time::{ClockId, clock_gettime};
use std::sync::Mutex;
use std::time::{Duration, SystemTime};

/// Source of time. Code that needs the time receives a clock, so that tests can control it.
pub trait Clock: Send + Sync + 'static {
    /// Returns the time since an arbitrary origin. It never decreases, and includes the time during
    /// which the machine was suspended.
    fn uptime(&self) -> Duration;

    /// Returns the wall clock time, which may jump in both directions.
    fn wall(&self) -> SystemTime;

    /// Returns the wall clock time in milliseconds since 1970, or 0 before that.
    fn wall_ms(&self) -> u64 {
        self.wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
    }
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn uptime(&self) -> Duration {
        // `Instant` is based on CLOCK_MONOTONIC, which stops while the machine is suspended. A
        // lease timed with it could count as valid after a suspension although it has expired.
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock for tests, which advances only on request.
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

    /// Advances uptime and wall clock by the same duration.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the clock's lock.
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
