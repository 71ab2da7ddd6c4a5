//! The running components of a test bed.

use crate::caller::Caller;
use crate::layout::{
    Addresses, DaemonAddresses, TestbedConfig, domain_name, engine_name, entitlements, plans,
    settings,
};
use anvilgw_config::{ConfigChange, ConfigRecord, RecordId, Settings};
use anvilgw_core::{Clock, LogError, LogService, SystemClock};
use anvilgw_entry::{Daemon, Shutdown, StartError};
use anvilgw_standin::{
    EngineConfig, EngineStandin, InstanceListConfig, InstanceListStandin, LogStandin, MemoryLog,
    RunningStandin, ServiceConfig, ServiceStandin, StoreStandin,
};
use quick_error::quick_error;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Loopback address with a port that the operating system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longest wait for daemons to become ready or to join an epoch.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which all daemons use the shares of an epoch: the wait of 2.5 s before a share may
/// grow, and a margin.
const SHARES_IN_USE_DELAY: Duration = Duration::from_millis(3_000);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Port of the first daemon's listen address. Each daemon uses three ports in a row.
const FIRST_PORT: u16 = 8_000;

quick_error! {
    /// Reason why a test bed could not be started.
    #[derive(Debug)]
    pub enum TestbedError {
        /// A socket could not be opened.
        Io(source: io::Error) {
            display("{}", source)
            source(source)
            from()
        }
        /// A daemon could not be started.
        Daemon(source: StartError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The log service rejected the initial configuration.
        Log(source: LogError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The daemon with this index did not become ready, or did not join the epoch, in time.
        NotReady(index: usize) { display("daemon {} did not become ready", index) }
    }
}

/// A running set of daemons and of stand-ins for the systems that they use.
///
/// Dropping a test bed stops the stand-ins. Daemons stop with their runtime.
pub struct Testbed {
    config: TestbedConfig,
    addresses: Addresses,
    daemon_addresses: Vec<DaemonAddresses>,
    daemons: Vec<Option<Daemon>>,
    clocks: Vec<Arc<dyn Clock>>,
    /// Records that the log service stores.
    pub log: MemoryLog,
    /// Server of the log service.
    pub log_server: RunningStandin<LogStandin>,
    /// Server of the list of instances.
    pub instances: RunningStandin<InstanceListStandin>,
    /// The model engines, by index.
    pub engines: Vec<RunningStandin<EngineStandin>>,
    /// The backend servers of the plain service, by index.
    pub services: Vec<RunningStandin<ServiceStandin>>,
    /// The KV cache stores, by index.
    pub stores: Vec<RunningStandin<StoreStandin>>,
}

impl Testbed {
    /// Starts the stand-ins and all daemons and waits until the daemons are ready.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if a component does not start or a daemon does not become ready.
    pub async fn start(config: TestbedConfig) -> Result<Self, TestbedError> {
        let mut testbed = Self::start_standins(config).await?;
        testbed.publish_lists()?;
        for index in 0..testbed.daemons.len() {
            testbed.start_daemon(index).await?;
        }
        testbed.wait_ready().await?;
        Ok(testbed)
    }

    /// Starts the stand-ins without any daemon.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Io`] if a socket cannot be opened.
    pub async fn start_standins(config: TestbedConfig) -> Result<Self, TestbedError> {
        let log = MemoryLog::new(config.log.clone());
        let log_server = LogStandin::start_with(log.clone(), ANY_PORT).await?;
        let instances = InstanceListStandin::start(InstanceListConfig::default(), ANY_PORT).await?;
        let mut engines = Vec::new();
        for index in 0..config.engines {
            let engine = EngineConfig {
                seed: config.engine.seed + index as u64,
                ..config.engine.clone()
            };
            engines.push(EngineStandin::start(engine, ANY_PORT).await?);
        }
        let mut services = Vec::new();
        for index in 0..config.service_servers {
            let service = ServiceConfig {
                seed: config.service.seed + index as u64,
                ..config.service.clone()
            };
            services.push(ServiceStandin::start(service, ANY_PORT).await?);
        }
        let mut stores = Vec::new();
        for _ in 0..config.stores {
            stores.push(StoreStandin::start(config.store.clone(), ANY_PORT).await?);
        }
        let addresses = Addresses {
            log: log_server.addr(),
            instances: instances.addr(),
            engines: engines.iter().map(RunningStandin::addr).collect(),
            services: services.iter().map(RunningStandin::addr).collect(),
            stores: stores.iter().map(RunningStandin::addr).collect(),
        };
        let daemon_addresses = daemon_addresses(config.daemons);
        let system: Arc<dyn Clock> = Arc::new(SystemClock);
        Ok(Self {
            daemons: (0..config.daemons).map(|_| None).collect(),
            clocks: (0..config.daemons).map(|_| Arc::clone(&system)).collect(),
            config,
            addresses,
            daemon_addresses,
            log,
            log_server,
            instances,
            engines,
            services,
            stores,
        })
    }

    /// Appends the initial plans and entitlements to the log, as an operator would.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Log`] if the log rejects them.
    pub fn publish_lists(&self) -> Result<(), TestbedError> {
        let changes = [
            ConfigChange::Plans(plans(&self.config)),
            ConfigChange::Entitlements(entitlements(&self.config)),
        ];
        let stream = self.settings(0).log.stream_name("config");
        for (version, change) in (0..).zip(changes) {
            let record = ConfigRecord {
                record_id: RecordId::generate(),
                author: "operator".to_owned(),
                written_ms: SystemClock.wall_ms(),
                expected_version: version,
                change,
            };
            let payload = record
                .encode()
                .map_err(|error| TestbedError::Io(io::Error::other(error.to_string())))?;
            self.log.append(&stream, &payload)?;
        }
        Ok(())
    }

    /// Returns the settings of the daemon with this index.
    #[must_use]
    pub fn settings(&self, index: usize) -> Settings {
        settings(&self.config, &self.addresses, &self.daemon_addresses, index)
    }

    /// Returns the configuration that the test bed was started with.
    #[must_use]
    pub fn config(&self) -> &TestbedConfig {
        &self.config
    }

    /// Sets the clock that a daemon uses from its next start on. The default is the system clock.
    pub fn set_clock(&mut self, index: usize, clock: Arc<dyn Clock>) {
        self.clocks[index] = clock;
    }

    /// Starts the daemon with this index, under its earlier addresses if it ran before.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Daemon`] if it does not start.
    pub async fn start_daemon(&mut self, index: usize) -> Result<(), TestbedError> {
        let clock = Arc::clone(&self.clocks[index]);
        let daemon = Daemon::start(self.settings(index), clock).await?;
        self.daemons[index] = Some(daemon);
        Ok(())
    }

    /// Starts a daemon on another runtime. Shutting that runtime down ends all its tasks, as a
    /// crash of the process would, and blocking its threads does not block the stand-ins.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Daemon`] if it does not start.
    pub async fn start_daemon_on(
        &mut self,
        index: usize,
        runtime: &Handle,
    ) -> Result<(), TestbedError> {
        let clock = Arc::clone(&self.clocks[index]);
        let started = runtime.spawn(Daemon::start(self.settings(index), clock));
        self.daemons[index] = Some(started.await.map_err(io::Error::other)??);
        Ok(())
    }

    /// Returns the daemon with this index if it is running.
    #[must_use]
    pub fn daemon(&self, index: usize) -> Option<&Daemon> {
        self.daemons[index].as_ref()
    }

    /// Waits until every running daemon is ready and has the newest configuration version that any
    /// of them has.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NotReady`] if one does not become ready within 20 s.
    pub async fn wait_ready(&self) -> Result<(), TestbedError> {
        let all_ready = async {
            while self.unready_daemon().is_some() {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let result = tokio::time::timeout(READY_TIMEOUT, all_ready).await;
        result.map_err(|_| TestbedError::NotReady(self.unready_daemon().unwrap_or_default()))
    }

    fn unready_daemon(&self) -> Option<usize> {
        let version = self.newest_config_version();
        self.daemons.iter().position(|daemon| {
            daemon
                .as_ref()
                .is_some_and(|daemon| !daemon.is_ready() || daemon.config_version() < version)
        })
    }

    /// Waits until all running daemons are members of the epoch and its shares are in use. Before
    /// that, cold backend servers get no requests.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NotReady`] if there is no such epoch within 20 s.
    pub async fn wait_for_epoch(&self) -> Result<(), TestbedError> {
        let running = self.daemons.iter().flatten().count();
        let daemon_outside_epoch = || {
            self.daemons.iter().position(|daemon| {
                daemon
                    .as_ref()
                    .is_some_and(|daemon| daemon.epoch_members() != running)
            })
        };
        let all_joined = async {
            while daemon_outside_epoch().is_some() {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let result = tokio::time::timeout(READY_TIMEOUT, all_joined).await;
        result.map_err(|_| TestbedError::NotReady(daemon_outside_epoch().unwrap_or_default()))?;
        tokio::time::sleep(SHARES_IN_USE_DELAY).await;
        Ok(())
    }

    /// Returns the newest configuration version that a running daemon has, or 0 if none runs.
    #[must_use]
    pub fn newest_config_version(&self) -> u64 {
        let running = self.daemons.iter().flatten();
        running.map(Daemon::config_version).max().unwrap_or(0)
    }

    /// Stops a daemon at once, as a crash would. Does nothing if it is not running.
    pub async fn kill_daemon(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.kill().await;
        }
    }

    /// Removes a daemon from the test bed without stopping it, for example to shut it down while
    /// others run.
    pub fn take_daemon(&mut self, index: usize) -> Option<Daemon> {
        self.daemons[index].take()
    }

    /// Shuts a daemon down gracefully and returns the result, or `None` if it is not running.
    pub async fn shutdown_daemon(&mut self, index: usize) -> Option<Shutdown> {
        let daemon = self.daemons[index].take()?;
        let (_abort, aborted) = watch::channel(false);
        Some(daemon.shutdown(aborted).await)
    }

    /// Returns the address of a daemon that callers use.
    #[must_use]
    pub fn listen_address(&self, index: usize) -> SocketAddr {
        self.daemon_addresses[index].listen
    }

    /// Returns the address of a daemon that operators use.
    #[must_use]
    pub fn admin_address(&self, index: usize) -> SocketAddr {
        self.daemon_addresses[index].admin
    }

    /// Returns a caller that can reach every daemon.
    #[must_use]
    pub fn caller(&self) -> Caller {
        Caller::new(
            self.daemon_addresses.iter().map(|a| a.listen).collect(),
            self.daemon_addresses.iter().map(|a| a.admin).collect(),
        )
    }

    /// Returns the name of the failure domain with this index.
    #[must_use]
    pub fn domain_name(&self, index: usize) -> String {
        domain_name(index)
    }

    /// Returns the name of the engine with this index.
    #[must_use]
    pub fn engine_name(&self, index: usize) -> String {
        engine_name(index)
    }

    /// Returns the engines in the failure domain with this index.
    pub fn engines_in(
        &self,
        domain: usize,
    ) -> impl Iterator<Item = &RunningStandin<EngineStandin>> {
        let domains = self.config.domains;
        let engines = self.engines.iter().enumerate();
        engines
            .filter(move |(index, _)| index % domains == domain)
            .map(|(_, engine)| engine)
    }

    /// Stops all daemons at once, as crashes would, and then the stand-ins.
    pub async fn stop(mut self) {
        for index in 0..self.daemons.len() {
            self.kill_daemon(index).await;
        }
    }
}

/// Number of test beds that this process has started.
static TESTBEDS_STARTED: AtomicU8 = AtomicU8::new(0);

/// Chooses the addresses of the daemons of a new test bed.
///
/// Daemons have to know their peers' addresses before they start and keep them over restarts. Ports
/// that the operating system assigns on 127.0.0.1 could be taken by outgoing connections while a
/// daemon does not run. Each test bed therefore has a loopback address of its own, made of the
/// process ID and a counter.
fn daemon_addresses(count: usize) -> Vec<DaemonAddresses> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let testbed = TESTBEDS_STARTED.fetch_add(1, Ordering::Relaxed);
    // The high bit of the second byte leaves 127.0.0.0/16 to all other programs on the machine.
    let ip = Ipv4Addr::new(127, high | 0x80, low, testbed.wrapping_add(1));
    (0..count)
        .map(|index| {
            let first = FIRST_PORT + 3 * index as u16;
            let address = |offset| SocketAddr::new(ip.into(), first + offset);
            DaemonAddresses {
                listen: address(0),
                admin: address(1),
                peer: address(2),
            }
        })
        .collect()
}
