//! Starts the project's daemons as the deploy file does, and ends them.

use crate::http::Connection;
use crate::record::Record;
use std::fs::File;
use std::io::{Error, Result, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Number of ports of a daemon: clients, readiness, control, and those between daemons.
const PORTS: u16 = 19;
const FIRST_EPHEMERAL: u16 = 3;
const PORTS_BEGIN: u16 = 20_000;
const PORTS_END: u16 = 32_000;
/// Time after which a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const START_MAX: Duration = Duration::from_secs(15);

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    record: Arc<Record>,
    /// Largest memory that was seen, in kB.
    peak_kb: u64,
    /// When a process that was killed is started again.
    restart_at: Option<Instant>,
}

impl Daemon {
    pub fn start(
        record: &Arc<Record>,
        folder: &Path,
        name: &str,
        store: SocketAddr,
        memory_mb: u64,
    ) -> Result<Self> {
        let base = free_ports()?;
        let address = |offset: u16| SocketAddr::from(([127, 0, 0, 1], base + offset));
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, settings_text(name, base, store, memory_mb))?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        let daemon = Self {
            name: name.to_owned(),
            front: address(0),
            ready: address(1),
            child,
            settings,
            log,
            record: Arc::clone(record),
            peak_kb: 0,
            restart_at: None,
        };
        daemon.wait_until_ready()?;
        record.line(&format!("daemon {name} is ready"));
        Ok(daemon)
    }

    /// Asks the daemon as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> Result<u16> {
            let mut connection = Connection::open(self.ready)?;
            connection
                .stream
                .set_read_timeout(Some(Duration::from_secs(1)))?;
            connection.write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(connection.read()?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + START_MAX;
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(Error::other(format!("daemon {} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Kills the process and starts it again if it uses more memory than it may, as the platform does.
    /// Returns whether it did.
    pub fn enforce_memory_limit(&mut self, memory_mb: u64) -> Result<bool> {
        if let Some(restart_at) = self.restart_at {
            if Instant::now() >= restart_at {
                self.child = spawn(&self.settings, &self.log)?;
                self.restart_at = None;
            }
            return Ok(false);
        }
        let Some(used_kb) = self.memory_kb() else {
            return Ok(false);
        };
        self.peak_kb = self.peak_kb.max(used_kb);
        if used_kb <= memory_mb * 1024 {
            return Ok(false);
        }
        self.kill();
        self.record.line(&format!(
            "daemon {} used {used_kb} kB of {memory_mb} MB and was killed",
            self.name
        ));
        self.restart_at = Some(Instant::now() + RESTART_DELAY);
        Ok(true)
    }

    /// Returns the largest memory that was seen, in kB.
    pub fn peak_kb(&self) -> u64 {
        self.peak_kb
    }

    /// Resident memory of the process, in kB.
    fn memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    fn kill(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    // The command of the role in deploy/system.toml.
    let child = Command::new("target/release/anvilgw")
        .arg("gateway")
        .env("ANVILGW_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()?;
    // The script ends the daemons by this list if it is ended itself.
    let pids = settings.with_file_name("pids");
    let mut pids = File::options().create(true).append(true).open(pids)?;
    writeln!(pids, "{}", child.id())?;
    Ok(child)
}

/// Returns the first of some consecutive ports that nothing listens on. They are below those from which
/// the kernel takes ports for outgoing connections.
fn free_ports() -> Result<u16> {
    let blocks = (PORTS_END - PORTS_BEGIN) / PORTS;
    let first = (std::process::id() % u32::from(blocks)) as u16;
    for index in 0..blocks {
        let base = PORTS_BEGIN + (first + index) % blocks * PORTS;
        let is_free = (base..base + PORTS).all(|port| {
            TcpListener::bind(("127.0.0.1", port)).is_ok()
                && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        });
        if is_free {
            return Ok(base);
        }
    }
    Err(Error::other("no free ports"))
}

fn settings_text(name: &str, base: u16, store: SocketAddr, memory_mb: u64) -> String {
    let ready = base + 1;
    let control = base + 2;
    let first = base + FIRST_EPHEMERAL;
    let last = base + PORTS - 1;
    format!(
        "node={name}
role=gateway
machineClass=front
serves=front
ip=127.0.0.1
zone=za
region=ra
zones.za=ra
listen.front=127.0.0.1:{base}
listen.ready=127.0.0.1:{ready}
listen.control=127.0.0.1:{control}
ephemeralPorts={first},{last}
seeds=
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.17
limits.cores=1
limits.memoryMb={memory_mb}
limits.maxFds=2870
limits.linkMbps=700.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.skewMaxMs=5000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=126
bounds.coldOverage=1.5
bounds.coldSlack=5
bounds.evacuateMs=5000
bounds.recoveryS=12
bounds.transitMs=120
bounds.retryAfterS=20
bounds.requireFencing=true
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.versionMs=10000
bounds.versionAllMs=14000
platform.address={store}
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.parts=12
platform.appendMs=2.0
platform.partMbS=20.0
platform.readMbS=80.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
"
    )
}
