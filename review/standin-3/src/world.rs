//! What the cases share: the record, the daemon's process, settings, entries and clients.

use crate::http::{Head, Reader};
use crate::store::Store;
use std::env;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Longest wait for a daemon to be ready.
const READY_MAX: Duration = Duration::from_secs(20);
/// Time after which a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Host name of all routes.
pub const HOST: &str = "pule25.example";
/// API key of the tenant.
pub const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let elapsed = self.started_at.elapsed().as_secs_f64();
        let line = format!("{elapsed:9.3} s  {}", text.as_ref());
        self.lines.lock().expect("record").push(line);
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().expect("record").clone();
        lines.sort();
        let _ = fs::write(path, lines.join("\n") + "\n");
    }
}

/// Result of a case, with the status that the script exits with.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
}

/// Where a case runs.
pub struct Place {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub scratch: PathBuf,
    /// Whether the disruption happens.
    pub has_trouble: bool,
    pub record: Record,
}

/// A process of `anvilgw gateway`, which is killed when this is dropped.
pub struct Daemon {
    child: Child,
    name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Daemon {
    /// Starts a daemon on an address of its own and waits until it is ready.
    pub fn start(place: &Place, name: &str, ip: Ipv4Addr, store: &Store) -> io::Result<Self> {
        let daemon = Self::spawn(place, name, ip, store)?;
        let until = Instant::now() + READY_MAX;
        while !is_ready(daemon.ready) {
            if Instant::now() > until {
                return Err(io::Error::other("the daemon does not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        place.record.add(format!("daemon {name} is ready"));
        Ok(daemon)
    }

    /// Starts a daemon on an address of its own.
    pub fn spawn(place: &Place, name: &str, ip: Ipv4Addr, store: &Store) -> io::Result<Self> {
        let front = free_address(ip)?;
        let ready = free_address(ip)?;
        let control = free_address(ip)?;
        let first_port = free_ports(ip)?;
        let path = place.scratch.join(format!("{name}.conf"));
        let last_port = first_port + 15;
        let text = settings(name, front, ready, control, store.address)
            + &format!("ephemeralPorts={first_port},{last_port}\n");
        fs::write(&path, text)?;
        Ok(Self {
            child: start_process(place, name)?,
            name: name.to_owned(),
            front,
            ready,
        })
    }

    /// Kills the process and starts it again with the same settings, after a short delay.
    pub fn restart(&mut self, place: &Place) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        place.record.add(format!("daemon {} is killed", self.name));
        thread::sleep(RESTART_DELAY);
        self.child = start_process(place, &self.name)?;
        Ok(())
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }

    /// Sends a signal to the process, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id();
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {id}"))
            .status();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_process(place: &Place, name: &str) -> io::Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(place.scratch.join(format!("{name}.log")))?;
    let child = Command::new("target/release/anvilgw")
        .arg("gateway")
        .current_dir(&place.root)
        .env_clear()
        .env("ANVILGW_CONFIG", place.scratch.join(format!("{name}.conf")))
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()?;
    let id = child.id();
    place
        .record
        .add(format!("daemon {name} started, process {id}"));
    if let Some(path) = env::var_os("PROCESSES") {
        // The script ends these if a signal ends it.
        let mut list = File::options().create(true).append(true).open(path)?;
        writeln!(list, "{id}")?;
    }
    Ok(child)
}

fn free_address(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Finds a range of ports of which those that the daemon uses are free.
fn free_ports(ip: Ipv4Addr) -> io::Result<u16> {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH);
    let seed = nanos.map_or(0, |time| time.subsec_nanos());
    for attempt in 0..200_u32 {
        let port = 20_000 + ((seed / 1000 + attempt * 37) % 600) as u16 * 16;
        let is_free =
            |port| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
        if is_free(port + 1) && is_free(port + 5) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free ports"))
}

/// Settings of a small deployment.
fn settings(
    name: &str,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    store: SocketAddr,
) -> String {
    let ip = front.ip();
    format!(
        "node={name}\nrole=gateway\nmachineClass=front\nserves=front\nip={ip}\nzone=pt-norte-a\n\
         region=pt-norte\nzones.pt-norte-a=pt-norte\nlisten.front={front}\nlisten.ready={ready}\n\
         listen.control={control}\nseeds={control}\nbootstrap=true\ncountsAsLoss=false\n\
         limits.cpuShare=0.17\nlimits.cores=1\nlimits.memoryMb=182\nlimits.maxFds=2870\n\
         limits.linkMbps=700.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n\
         contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform\n\
         faultTolerance.machines=2\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
         bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
         bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
         bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.skewMaxMs=5000\n\
         bounds.strictRevoke=true\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n\
         bounds.budgetWindowS=10\nbounds.budgetSlack=104\nbounds.coldOverage=1.5\nbounds.coldSlack=5\n\
         bounds.evacuateMs=5000\nbounds.recoveryS=12\nbounds.transitMs=120\nbounds.retryAfterS=20\n\
         bounds.requireFencing=true\nbounds.leaseMs=3000\nbounds.thawSlackMs=300\n\
         bounds.versionMs=10000\nbounds.versionAllMs=14000\nplatform.address={store}\n\
         platform.form=log\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.parts=12\n\
         platform.appendMs=2.0\nplatform.partMbS=20.0\nplatform.readMbS=80.0\n\
         platform.recordBytes=262144\nplatform.callBytes=2097152\nplatform.keep_s=300\n\
         platform.partMb=200\nplatform.ttlMinMs=1000\n"
    )
}

fn is_ready(address: SocketAddr) -> bool {
    let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let answer = || -> io::Result<Option<Head>> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(request.as_bytes())?;
        Reader::new(stream).head()
    };
    matches!(answer(), Ok(Some(head)) if head.status() == 200)
}

/// A configuration of the operator.
pub struct Config<'a> {
    pub version: u64,
    /// Routes as JSON objects, separated by commas.
    pub routes: &'a str,
    /// Services as JSON objects, separated by commas.
    pub services: &'a str,
    pub max_header_bytes: usize,
    /// API keys of the first tenant.
    pub keys: &'a [&'a str],
    /// Other tenants as JSON objects, each after a comma.
    pub other_tenants: &'a str,
}

impl Config<'_> {
    pub fn put(&self, store: &Store, record: &Record) {
        let keys: Vec<String> = self.keys.iter().map(|key| format!("\"{key}\"")).collect();
        let keys = keys.join(",");
        let mut text = String::new();
        let _ = write!(
            text,
            r#"{{"version":{},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":{},"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"bozi300","apiKeys":[{}],"priority":1}}{}]}}"#,
            self.version,
            self.routes,
            self.services,
            self.max_header_bytes,
            keys,
            self.other_tenants
        );
        store.put("keyed.op", "config", &text);
        record.add(format!("configuration {} acknowledged", self.version));
    }
}

/// Entry of a server, written again with each heartbeat until this is dropped.
pub struct Entry {
    is_over: Arc<AtomicBool>,
}

impl Entry {
    pub fn publish(store: &Store, id: &str, service: &str, address: SocketAddr) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (store, id, over) = (store.clone(), id.to_owned(), Arc::clone(&is_over));
        let service = service.to_owned();
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |time| time.as_millis());
        let entry = move |heartbeat: u64| {
            format!(
                r#"{{"service":"{service}","address":"{address}","zone":"pt-norte-a","version":"v1","slots":64,"state":"ready","coldMs":0,"stage":"colocated","models":[{{"name":"daka510000","version":1,"adapters":[]}}],"seq":{heartbeat},"born":{born}}}"#
            )
        };
        store.put("keyed.servers", &id, &entry(1));
        let write = move |value: &str| store.put("keyed.servers", &id, value);
        let entries = AtomicU64::new(2);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if over.load(Ordering::Relaxed) {
                    // The platform removes the entry after three intervals of silence.
                    thread::sleep(HEARTBEAT * 2);
                    write("");
                    return;
                }
                write(&entry(entries.fetch_add(1, Ordering::Relaxed)));
            }
        });
        Self { is_over }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// Runs a server that handles each connection in a thread of its own.
pub fn serve(
    ip: Ipv4Addr,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
    Ok(address)
}

/// A kept connection of a client.
pub struct Client {
    pub stream: TcpStream,
    pub reader: Reader,
    key: &'static str,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::with_key(address, KEY)
    }

    pub fn with_key(address: SocketAddr, key: &'static str) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(Self {
            stream,
            reader,
            key,
        })
    }

    /// Sends a request. `headers` are whole lines.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let key = self.key;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nX-Api-Key: {key}\r\n{headers}"
        );
        if !body.is_empty() {
            let _ = write!(head, "Content-Length: {}\r\n", body.len());
        }
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)
    }

    /// Reads a whole answer. Returns `None` if the connection ends before its head.
    pub fn answer(&mut self) -> io::Result<Option<(Head, Vec<u8>)>> {
        let Some(head) = self.reader.head()? else {
            return Ok(None);
        };
        let body = self.reader.body(&head, true)?;
        Ok(Some((head, body)))
    }
}
