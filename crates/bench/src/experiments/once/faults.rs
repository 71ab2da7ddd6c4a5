//! Injection of faults into the daemons, the log service and the connections during a run.

use anvilgw_core::{Clock, SystemClock};
use anvilgw_standin::{ConnectionFaults, LogFaults};
use anvilgw_testbed::{Testbed, TestbedConfig, TestbedError};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime};
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep, sleep_until};

/// Shortest time between the starts of two faults.
const FAULT_PERIOD: Duration = Duration::from_millis(2_000);
/// Time without faults at the start of the load, and at least at its end.
const FAULT_FREE_MARGIN: Duration = Duration::from_millis(1_500);
/// Time for which a daemon's clock is paused.
const PAUSE_DURATION: Duration = Duration::from_millis(1_500);
/// Time from the kill of a daemon to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
/// Time for which the log service is slow.
const SLOW_LOG_DURATION: Duration = Duration::from_millis(1_000);
/// Delay of the slow log service.
const SLOW_LOG_DELAY_MS: u64 = 400;
/// Time after the start of a silence in which a call in flight counts as affected by it.
const SILENCE_DURATION: Duration = Duration::from_millis(300);
const THREADS_PER_DAEMON: usize = 2;
/// Further attempts to start a daemon whose start failed.
const START_ATTEMPTS: usize = 20;
const START_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultKind {
    /// A daemon is killed and restarted.
    Killed,
    /// The clock of a daemon is paused, which blocks its threads.
    Paused,
    /// The open connections of a service server go silent.
    Silenced,
    /// The log service answers with a delay.
    SlowLog,
}

impl FaultKind {
    /// Returns the name in the figures.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Killed => "daemon killed",
            Self::Paused => "daemon paused",
            Self::Silenced => "open connections silenced",
            Self::SlowLog => "log slow",
        }
    }

    /// Returns the name in the figures for a call that went through a daemon without this fault.
    pub(super) fn name_at_other_daemon(self) -> &'static str {
        match self {
            Self::Killed => "another daemon killed",
            Self::Paused => "another daemon paused",
            _ => self.name(),
        }
    }
}

/// An injected fault. Times are relative to the start of the load.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultEvent {
    pub(super) kind: FaultKind,
    /// Index of the daemon that was killed or paused; `None` for the other kinds.
    pub(super) daemon: Option<usize>,
    pub(super) from: Duration,
    pub(super) until: Duration,
}

/// System clock whose readers block while it is paused. Afterwards the clock includes the pause.
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

    /// Blocks the calling thread while the clock is paused.
    fn wait_while_paused(&self) {
        let paused = self.is_paused.lock().expect("pause lock");
        let resumed = self.resumed.wait_while(paused, |paused| *paused);
        drop(resumed.expect("pause lock"));
    }
}

impl Clock for PausableClock {
    fn uptime(&self) -> Duration {
        self.wait_while_paused();
        SystemClock.uptime()
    }

    fn wall(&self) -> SystemTime {
        self.wait_while_paused();
        SystemClock.wall()
    }
}

/// Test bed whose daemons can be killed and paused one by one.
pub(super) struct FaultyBed {
    pub(super) bed: Testbed,
    clocks: Vec<Arc<PausableClock>>,
    runtimes: Vec<Option<Runtime>>,
}

impl FaultyBed {
    /// Starts the stand-ins and daemons and waits until the fleet has settled.
    ///
    /// # Errors
    ///
    /// Returns [`TestbedError`] if a part does not start or the fleet does not settle in time.
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

    /// Starts a daemon on a new runtime, with retries.
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
            sleep(START_RETRY_PAUSE).await;
            result = self.bed.start_daemon_on(index, &handle).await;
        }
        result
    }

    /// Ends a daemon with its runtime, without a drain.
    async fn kill(&mut self, index: usize) {
        if let Some(runtime) = self.runtimes[index].take() {
            runtime.shutdown_background();
        }
        self.bed.kill_daemon(index).await;
    }

    /// Injects faults of all kinds in turn until shortly before the end of the load, and returns
    /// them.
    ///
    /// # Errors
    ///
    /// Returns [`TestbedError`] if a killed daemon does not start again.
    pub(super) async fn inject(
        &mut self,
        start: Instant,
        duration: Duration,
        seed: u64,
    ) -> Result<Vec<FaultEvent>, TestbedError> {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_add(1));
        let kinds = [
            FaultKind::Killed,
            FaultKind::Silenced,
            FaultKind::Paused,
            FaultKind::SlowLog,
        ];
        let mut events = Vec::new();
        let mut at = FAULT_FREE_MARGIN;
        for kind in kinds.into_iter().cycle() {
            if at + FAULT_FREE_MARGIN >= duration {
                break;
            }
            sleep_until(start + at).await;
            let daemon = rng.random_range(0..self.clocks.len());
            events.push(self.inject_one(kind, daemon, start).await?);
            at = start.elapsed().max(at + FAULT_PERIOD);
        }
        Ok(events)
    }

    /// Injects one fault and returns when it is over.
    async fn inject_one(
        &mut self,
        kind: FaultKind,
        daemon: usize,
        start: Instant,
    ) -> Result<FaultEvent, TestbedError> {
        let from = start.elapsed();
        match kind {
            FaultKind::Killed => {
                self.kill(daemon).await;
                sleep(RESTART_DELAY).await;
                self.start_daemon(daemon).await?;
            }
            FaultKind::Paused => {
                self.clocks[daemon].set_paused(true);
                sleep(PAUSE_DURATION).await;
                self.clocks[daemon].set_paused(false);
            }
            FaultKind::Silenced => {
                let faults = ConnectionFaults {
                    silence_open: true,
                    ..ConnectionFaults::default()
                };
                // The servers are reached over different paths, so only one of them is affected at
                // a time.
                let server = &self.bed.services[daemon % self.bed.services.len()];
                server.set_connection_faults(&faults);
                sleep(SILENCE_DURATION).await;
            }
            FaultKind::SlowLog => {
                let normal = self.bed.log.faults();
                self.bed.log.set_faults(LogFaults {
                    slow_ms: SLOW_LOG_DELAY_MS,
                    ..normal.clone()
                });
                sleep(SLOW_LOG_DURATION).await;
                self.bed.log.set_faults(normal);
            }
        }
        let is_daemon_fault = matches!(kind, FaultKind::Killed | FaultKind::Paused);
        Ok(FaultEvent {
            kind,
            daemon: is_daemon_fault.then_some(daemon),
            from,
            until: start.elapsed(),
        })
    }

    /// Kills all daemons.
    pub(super) async fn stop(mut self) {
        for index in 0..self.runtimes.len() {
            self.kill(index).await;
        }
    }
}
