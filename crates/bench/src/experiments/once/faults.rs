//! Faults of the daemons, the log and the connections during the run.

use anvilgw_core::{Clock, SystemClock};
use anvilgw_standin::{ConnectionFaults, LogFaults};
use anvilgw_testbed::{Testbed, TestbedConfig, TestbedError};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime};
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep, sleep_until};

/// Time between the beginnings of two faults.
const EVENT_PERIOD: Duration = Duration::from_millis(2_000);
/// First fault, and time without faults at the end of the load.
const CALM: Duration = Duration::from_millis(1_500);
const PAUSE: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_millis(1_000);
const SLOW_LOG: Duration = Duration::from_millis(1_000);
const SLOW_LOG_MS: u64 = 400;
/// Time after a connection went silent in which calls on it notice: the limit of 1 s and a margin.
const SILENCE_NOTICED: Duration = Duration::from_millis(300);
const THREADS_PER_DAEMON: usize = 2;
const START_ATTEMPTS: usize = 20;
const START_PAUSE: Duration = Duration::from_millis(100);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventKind {
    Killed,
    Paused,
    Silenced,
    SlowLog,
}

impl EventKind {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Killed => "daemon killed",
            Self::Paused => "daemon paused",
            Self::Silenced => "open connections silenced",
            Self::SlowLog => "log slow",
        }
    }

    /// Name for a call that ran through another daemon.
    pub(super) fn elsewhere(self) -> &'static str {
        match self {
            Self::Killed => "another daemon killed",
            Self::Paused => "another daemon paused",
            _ => self.name(),
        }
    }
}

/// A fault and its time from the start of the load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Event {
    pub(super) kind: EventKind,
    pub(super) daemon: Option<usize>,
    pub(super) from: Duration,
    pub(super) until: Duration,
}

/// A clock whose readers wait while it is paused, and see the whole pause afterwards.
#[derive(Default)]
struct PausableClock {
    is_paused: Mutex<bool>,
    resumed: Condvar,
}

impl PausableClock {
    fn set_paused(&self, is_paused: bool) {
        *self.is_paused.lock().expect("pause lock") = is_paused;
        self.resumed.notify_all();
    }

    fn wait(&self) {
        let paused = self.is_paused.lock().expect("pause lock");
        let resumed = self.resumed.wait_while(paused, |paused| *paused);
        drop(resumed.expect("pause lock"));
    }
}

impl Clock for PausableClock {
    fn uptime(&self) -> Duration {
        self.wait();
        SystemClock.uptime()
    }

    fn wall(&self) -> SystemTime {
        self.wait();
        SystemClock.wall()
    }
}

/// A bed whose daemons can be killed and paused.
pub(super) struct FaultyBed {
    pub(super) bed: Testbed,
    clocks: Vec<Arc<PausableClock>>,
    runtimes: Vec<Option<Runtime>>,
}

impl FaultyBed {
    pub(super) async fn start(config: TestbedConfig) -> Result<Self, TestbedError> {
        let daemons = config.daemons;
        let mut bed = Testbed::start_standins(config).await?;
        bed.publish_lists()?;
        let clocks: Vec<Arc<PausableClock>> = (0..daemons).map(|_| Arc::default()).collect();
        for (index, clock) in clocks.iter().enumerate() {
            let clock: Arc<PausableClock> = Arc::clone(clock);
            bed.set_clock(index, clock);
        }
        let mut faulty = Self {
            bed,
            clocks,
            runtimes: (0..daemons).map(|_| None).collect(),
        };
        for index in 0..daemons {
            faulty.start_daemon(index).await?;
        }
        faulty.bed.wait_ready().await?;
        faulty.bed.wait_for_epoch().await?;
        Ok(faulty)
    }

    async fn start_daemon(&mut self, index: usize) -> Result<(), TestbedError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS_PER_DAEMON)
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        self.runtimes[index] = Some(runtime);
        let mut result = self.bed.start_daemon_on(index, &handle).await;
        // The addresses of the killed daemon may not be free yet.
        for _ in 0..START_ATTEMPTS {
            if result.is_ok() {
                break;
            }
            sleep(START_PAUSE).await;
            result = self.bed.start_daemon_on(index, &handle).await;
        }
        result
    }

    async fn kill(&mut self, index: usize) {
        if let Some(runtime) = self.runtimes[index].take() {
            runtime.shutdown_background();
        }
        self.bed.kill_daemon(index).await;
    }

    /// Injects faults one after the other until shortly before the end of the load.
    pub(super) async fn inject(
        &mut self,
        start: Instant,
        duration: Duration,
        seed: u64,
    ) -> Result<Vec<Event>, TestbedError> {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_add(1));
        let kinds = [
            EventKind::Killed,
            EventKind::Silenced,
            EventKind::Paused,
            EventKind::SlowLog,
        ];
        let mut events = Vec::new();
        let mut at = CALM;
        for kind in kinds.into_iter().cycle() {
            if at + CALM >= duration {
                break;
            }
            sleep_until(start + at).await;
            let daemon = rng.random_range(0..self.clocks.len());
            events.push(self.inject_one(kind, daemon, start).await?);
            at = start.elapsed().max(at + EVENT_PERIOD);
        }
        Ok(events)
    }

    async fn inject_one(
        &mut self,
        kind: EventKind,
        daemon: usize,
        start: Instant,
    ) -> Result<Event, TestbedError> {
        let from = start.elapsed();
        match kind {
            EventKind::Killed => {
                self.kill(daemon).await;
                sleep(DOWN).await;
                self.start_daemon(daemon).await?;
            }
            EventKind::Paused => {
                self.clocks[daemon].set_paused(true);
                sleep(PAUSE).await;
                self.clocks[daemon].set_paused(false);
            }
            EventKind::Silenced => {
                let faults = ConnectionFaults {
                    silence_open: true,
                    ..ConnectionFaults::default()
                };
                // The servers are behind different paths, so one of them is affected at a time.
                let server = &self.bed.services[daemon % self.bed.services.len()];
                server.set_connection_faults(&faults);
                sleep(SILENCE_NOTICED).await;
            }
            EventKind::SlowLog => {
                let normal = self.bed.log.faults();
                self.bed.log.set_faults(LogFaults {
                    slow_ms: SLOW_LOG_MS,
                    ..normal.clone()
                });
                sleep(SLOW_LOG).await;
                self.bed.log.set_faults(normal);
            }
        }
        let is_at_daemon = matches!(kind, EventKind::Killed | EventKind::Paused);
        Ok(Event {
            kind,
            daemon: is_at_daemon.then_some(daemon),
            from,
            until: start.elapsed(),
        })
    }

    /// Ends all daemons.
    pub(super) async fn stop(mut self) {
        for index in 0..self.runtimes.len() {
            self.kill(index).await;
        }
    }
}
