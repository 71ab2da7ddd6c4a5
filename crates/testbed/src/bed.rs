//! The running parts of a bed.

use crate::caller::Caller;
use crate::layout::{
    Addresses, BedConfig, DaemonAddresses, domain_name, engine_name, entitlements, plans, settings,
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

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longest wait for daemons to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time after which all daemons use the shares of an epoch: the growth wait of 2.5 s and a margin.
const SHARE_WAIT: Duration = Duration::from_millis(3_000);
const READY_TICK: Duration = Duration::from_millis(20);
/// Port of the first daemon's first address.
const FIRST_PORT: u16 = 8_000;

quick_error! {
    /// Why a bed does not run.
    #[derive(Debug)]
    pub enum BedError {
        /// A socket was refused.
        Io(source: io::Error) {
            display("{}", source)
            source(source)
            from()
        }
        /// A daemon did not start.
        Daemon(source: StartError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The log refused the initial configuration.
        Log(source: LogError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The daemons did not become ready.
        NotReady(index: usize) { display("daemon {} did not become ready", index) }
    }
}

/// Stand-ins and daemons. Dropping it stops the stand-ins; daemons stop with the runtime.
pub struct Bed {
    config: BedConfig,
    addresses: Addresses,
    daemon_addresses: Vec<DaemonAddresses>,
    daemons: Vec<Option<Daemon>>,
    clocks: Vec<Arc<dyn Clock>>,
    /// Records of the log service.
    pub log: MemoryLog,
    /// The log service.
    pub log_server: RunningStandin<LogStandin>,
    /// The list of instances.
    pub instances: RunningStandin<InstanceListStandin>,
    /// The model engines.
    pub engines: Vec<RunningStandin<EngineStandin>>,
    /// The servers of the plain service.
    pub services: Vec<RunningStandin<ServiceStandin>>,
    /// The stores.
    pub stores: Vec<RunningStandin<StoreStandin>>,
}

impl Bed {
    /// Starts all parts and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// [`BedError`] if a part does not start or a daemon does not become ready.
    pub async fn start(config: BedConfig) -> Result<Self, BedError> {
        let mut bed = Self::start_standins(config).await?;
        bed.publish_lists()?;
        for index in 0..bed.daemons.len() {
            bed.start_daemon(index).await?;
        }
        bed.wait_ready().await?;
        Ok(bed)
    }

    /// Starts the stand-ins only.
    ///
    /// # Errors
    ///
    /// [`BedError::Io`] if a socket is refused.
    pub async fn start_standins(config: BedConfig) -> Result<Self, BedError> {
        let log = MemoryLog::new(config.log.clone());
        let log_server = LogStandin::start_with(log.clone(), ANY).await?;
        let instances = InstanceListStandin::start(InstanceListConfig::default(), ANY).await?;
        let mut engines = Vec::new();
        for index in 0..config.engines {
            let engine = EngineConfig {
                seed: config.engine.seed + index as u64,
                ..config.engine.clone()
            };
            engines.push(EngineStandin::start(engine, ANY).await?);
        }
        let mut services = Vec::new();
        for index in 0..config.service_servers {
            let service = ServiceConfig {
                seed: config.service.seed + index as u64,
                ..config.service.clone()
            };
            services.push(ServiceStandin::start(service, ANY).await?);
        }
        let mut stores = Vec::new();
        for _ in 0..config.stores {
            stores.push(StoreStandin::start(config.store.clone(), ANY).await?);
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
    /// [`BedError::Log`] if the log refuses them.
    pub fn publish_lists(&self) -> Result<(), BedError> {
        let changes = [
            ConfigChange::Plans(plans(&self.config)),
            ConfigChange::Entitlements(entitlements(&self.config)),
        ];
        let stream = self.settings(0).log.stream("config");
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
                .map_err(|error| BedError::Io(io::Error::other(error.to_string())))?;
            self.log.append(&stream, &payload)?;
        }
        Ok(())
    }

    /// The settings of a daemon.
    #[must_use]
    pub fn settings(&self, index: usize) -> Settings {
        settings(&self.config, &self.addresses, &self.daemon_addresses, index)
    }

    /// The configuration of the bed.
    #[must_use]
    pub fn config(&self) -> &BedConfig {
        &self.config
    }

    /// Replaces the clock that a daemon uses from its next start on.
    pub fn set_clock(&mut self, index: usize, clock: Arc<dyn Clock>) {
        self.clocks[index] = clock;
    }

    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// [`BedError::Daemon`] if it does not start.
    pub async fn start_daemon(&mut self, index: usize) -> Result<(), BedError> {
        let clock = Arc::clone(&self.clocks[index]);
        let daemon = Daemon::start(self.settings(index), clock).await?;
        self.daemons[index] = Some(daemon);
        Ok(())
    }

    /// Starts a daemon on another runtime. Shutting that runtime down ends all its tasks, as the death
    /// of the process would, and blocking its threads does not block the stand-ins.
    ///
    /// # Errors
    ///
    /// [`BedError::Daemon`] if it does not start.
    pub async fn start_daemon_on(
        &mut self,
        index: usize,
        runtime: &Handle,
    ) -> Result<(), BedError> {
        let clock = Arc::clone(&self.clocks[index]);
        let started = runtime.spawn(Daemon::start(self.settings(index), clock));
        self.daemons[index] = Some(started.await.map_err(io::Error::other)??);
        Ok(())
    }

    /// A running daemon.
    #[must_use]
    pub fn daemon(&self, index: usize) -> Option<&Daemon> {
        self.daemons[index].as_ref()
    }

    /// Waits until every running daemon is ready.
    ///
    /// # Errors
    ///
    /// [`BedError::NotReady`] if one does not become ready within 20 s.
    pub async fn wait_ready(&self) -> Result<(), BedError> {
        let ready = async {
            while self.unready().is_some() {
                tokio::time::sleep(READY_TICK).await;
            }
        };
        let result = tokio::time::timeout(READY_LIMIT, ready).await;
        result.map_err(|_| BedError::NotReady(self.unready().unwrap_or_default()))
    }

    fn unready(&self) -> Option<usize> {
        let version = self.newest_config_version();
        self.daemons.iter().position(|daemon| {
            daemon
                .as_ref()
                .is_some_and(|daemon| !daemon.is_ready() || daemon.config_version() < version)
        })
    }

    /// Waits until an epoch has all running daemons as members and its shares are in use. Cold
    /// backend servers take no requests before.
    ///
    /// # Errors
    ///
    /// [`BedError::NotReady`] if there is no such epoch within 20 s.
    pub async fn wait_settled(&self) -> Result<(), BedError> {
        let running = self.daemons.iter().flatten().count();
        let unsettled = || {
            self.daemons.iter().position(|daemon| {
                daemon
                    .as_ref()
                    .is_some_and(|daemon| daemon.epoch_members() != running)
            })
        };
        let settled = async {
            while unsettled().is_some() {
                tokio::time::sleep(READY_TICK).await;
            }
        };
        let result = tokio::time::timeout(READY_LIMIT, settled).await;
        result.map_err(|_| BedError::NotReady(unsettled().unwrap_or_default()))?;
        tokio::time::sleep(SHARE_WAIT).await;
        Ok(())
    }

    /// Newest configuration version of any daemon.
    #[must_use]
    pub fn newest_config_version(&self) -> u64 {
        let running = self.daemons.iter().flatten();
        running.map(Daemon::config_version).max().unwrap_or(0)
    }

    /// Stops a daemon at once, as a crash would.
    pub async fn kill_daemon(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.kill().await;
        }
    }

    /// Takes a daemon out of the bed, for example to shut it down while others run.
    pub fn take_daemon(&mut self, index: usize) -> Option<Daemon> {
        self.daemons[index].take()
    }

    /// Shuts a daemon down gracefully.
    pub async fn shutdown_daemon(&mut self, index: usize) -> Option<Shutdown> {
        let daemon = self.daemons[index].take()?;
        let (_abort, aborted) = watch::channel(false);
        Some(daemon.shutdown(aborted).await)
    }

    /// Address of a daemon for callers.
    #[must_use]
    pub fn listen(&self, index: usize) -> SocketAddr {
        self.daemon_addresses[index].listen
    }

    /// Address of a daemon for operators.
    #[must_use]
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.daemon_addresses[index].admin
    }

    /// A caller that knows all daemons.
    #[must_use]
    pub fn caller(&self) -> Caller {
        Caller::new(
            self.daemon_addresses.iter().map(|a| a.listen).collect(),
            self.daemon_addresses.iter().map(|a| a.admin).collect(),
        )
    }

    /// Name of a failure domain.
    #[must_use]
    pub fn domain_name(&self, index: usize) -> String {
        domain_name(index)
    }

    /// Name of an engine.
    #[must_use]
    pub fn engine_name(&self, index: usize) -> String {
        engine_name(index)
    }

    /// Engines of a failure domain.
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

    /// Stops all daemons at once.
    pub async fn stop(mut self) {
        for index in 0..self.daemons.len() {
            self.kill_daemon(index).await;
        }
    }
}

/// Beds started by this process.
static BEDS: AtomicU8 = AtomicU8::new(0);

/// Addresses of the daemons of a new bed.
///
/// Daemons have to know their peers' addresses before they start and keep them over restarts. Ports
/// of 127.0.0.1 that the operating system hands out could be taken by outgoing connections in between,
/// so each bed has a loopback address of its own, made of the process number and a counter.
fn daemon_addresses(count: usize) -> Vec<DaemonAddresses> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let bed = BEDS.fetch_add(1, Ordering::Relaxed);
    // 127.0.0.0/16 is left to everything else on the machine.
    let ip = Ipv4Addr::new(127, high | 0x80, low, bed.wrapping_add(1));
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
