//! Starts and stops the daemon.

use crate::background_tasks;
use crate::gateway::{Gateway, Ports};
use crate::listeners::{AnswerFn, ClientListener, InternalListener, answer_peer, answer_status};
use crate::log::{Event, EventLog};
use crate::settings::GatewaySettings;
use quick_error::quick_error;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Time after which the load balancer certainly sends no new connections to a daemon that is not
/// ready.
const BALANCER_LAG: Duration = Duration::from_millis(2500);
/// The daemon exits this long before the end of the shutdown grace.
const GRACE_MARGIN: Duration = Duration::from_millis(600);
/// Time between checks for open client connections during the shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the answers to requests that fail because the process ends to be sent.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Longest wait for the last log lines to be written.
const LOG_FLUSH_MAX: Duration = Duration::from_millis(400);

quick_error! {
    /// Why the daemon could not start.
    #[derive(Debug)]
    pub enum DaemonError {
        /// An address could not be listened on.
        Listen(address: SocketAddr, source: std::io::Error) {
            display("cannot listen on {}: {}", address, source)
            source(source)
        }
        /// The runtime, a signal handler or the log thread could not be created.
        Start(source: std::io::Error) {
            display("cannot start: {}", source)
            source(source)
            from()
        }
    }
}

/// Reads the settings again after SIGHUP and returns a text for the log that tells whether they are
/// valid.
pub type Reload = Box<dyn Fn() -> String>;

/// Runs the daemon until SIGTERM or SIGINT, then shuts down gracefully.
///
/// # Errors
///
/// Returns [`DaemonError`] if the daemon cannot start.
pub fn run(settings: GatewaySettings, ports: Ports, reload: Reload) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, ports, reload))
}

async fn serve(settings: GatewaySettings, ports: Ports, reload: Reload) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let daemon = Daemon::start(settings, ports, std::io::stdout()).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => daemon.log_reload(&reload()),
        }
    }
    daemon.shut_down().await;
    Ok(())
}

/// A running daemon. Its tasks run on the thread that started it, within a `LocalSet`.
pub struct Daemon {
    gateway: Rc<Gateway>,
    clients: Rc<ClientListener>,
}

impl Daemon {
    /// Starts a daemon that writes its log to `output`.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError`] if an address cannot be listened on or the log thread cannot be
    /// started.
    pub async fn start(
        settings: GatewaySettings,
        ports: Ports,
        output: impl Write + Send + 'static,
    ) -> Result<Self, DaemonError> {
        let log = EventLog::start(output)?;
        let gateway = Rc::new(Gateway::new(settings, ports, log));
        let settings = &gateway.settings;
        let clients = listen(settings.listen_clients).await?;
        let clients = Rc::new(ClientListener::new(Rc::clone(&gateway), clients));
        spawn_internal_listener(&gateway, settings.listen_ready, answer_status).await?;
        if let Some(address) = settings.listen_metrics {
            spawn_internal_listener(&gateway, address, answer_status).await?;
        }
        gateway.log_notable(&Event::Started {
            instance: &settings.instance,
            failure_domain: &settings.failure_domain,
        });
        spawn_background_tasks(&gateway);
        if let Some(address) = settings.listen_peers {
            spawn_peer_tasks(&gateway, address).await?;
        }
        spawn_local(background_tasks::client_limits::run(
            Rc::clone(&gateway),
            Rc::clone(&clients),
        ));
        let client_listener = Rc::clone(&clients);
        spawn_local(async move { client_listener.run().await });
        Ok(Self { gateway, clients })
    }

    fn log_reload(&self, outcome: &str) {
        self.gateway.log_notable(&Event::Reloaded { outcome });
    }

    /// Shuts down gracefully: reports that the daemon is not ready, then refuses new requests, then
    /// waits for the running ones until shortly before the end of the grace. Those that have no
    /// answer by then fail.
    pub async fn shut_down(&self) {
        shut_down(&self.gateway, &self.clients).await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| DaemonError::Listen(address, error))
}

async fn spawn_internal_listener(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    answer: AnswerFn,
) -> Result<(), DaemonError> {
    let listener = listen(address).await?;
    let internal = InternalListener::new(Rc::clone(gateway), listener, answer);
    spawn_local(async move { internal.run().await });
    Ok(())
}

async fn spawn_peer_tasks(gateway: &Rc<Gateway>, address: SocketAddr) -> Result<(), DaemonError> {
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|error| DaemonError::Listen(address, error))?;
    let socket = Rc::new(socket);
    spawn_internal_listener(gateway, address, answer_peer).await?;
    spawn_local(background_tasks::cache_store_log::run(Rc::clone(gateway)));
    gateway.permit_client.set_socket(Rc::clone(&socket));
    spawn_local(background_tasks::peer_messages::receive(
        Rc::clone(gateway),
        Rc::clone(&socket),
    ));
    spawn_local(background_tasks::notice_reports::send(
        Rc::clone(gateway),
        Rc::clone(&socket),
    ));
    spawn_local(background_tasks::load_reports::send(
        Rc::clone(gateway),
        socket,
    ));
    Ok(())
}

fn spawn_background_tasks(gateway: &Rc<Gateway>) {
    spawn_local(background_tasks::operators::run(Rc::clone(gateway)));
    spawn_local(background_tasks::servers::run(Rc::clone(gateway)));
    spawn_local(background_tasks::cache_events::run(Rc::clone(gateway)));
    spawn_local(background_tasks::membership::run(Rc::clone(gateway)));
    spawn_local(background_tasks::weight_switches::run(Rc::clone(gateway)));
    spawn_local(background_tasks::evidence::follow(Rc::clone(gateway)));
    spawn_local(background_tasks::evidence::publish(Rc::clone(gateway)));
    spawn_local(background_tasks::maintenance::run(Rc::clone(gateway)));
    if gateway.settings.bounds.rollouts.is_some() {
        spawn_local(background_tasks::rollouts::follow_statuses(Rc::clone(
            gateway,
        )));
        spawn_local(background_tasks::rollouts::run(Rc::clone(gateway)));
    }
}

async fn shut_down(gateway: &Rc<Gateway>, clients: &ClientListener) {
    let stopped_by = gateway.now() + gateway.settings.bounds.shutdown_grace - GRACE_MARGIN;
    gateway.is_draining.set(true);
    gateway.log_notable(&Event::Stopping {
        in_flight: gateway.requests_in_flight.get(),
    });
    // New connections keep arriving until the load balancer has noticed; each is closed after its
    // request.
    sleep(BALANCER_LAG).await;
    // A request that arrived from now on might not end before the process has to.
    gateway.is_refusing.set(true);
    clients.close_connections();
    wait_for_connections(gateway, clients, stopped_by).await;
    gateway.is_ending.send_replace(true);
    wait_for_connections(gateway, clients, stopped_by + LAST_ANSWERS_TIME).await;
    gateway.log_notable(&Event::Stopped {
        in_flight: gateway.requests_in_flight.get(),
    });
    gateway.log().flush(LOG_FLUSH_MAX);
}

/// Waits until all connections of clients are closed, until the time `end` at most.
async fn wait_for_connections(gateway: &Gateway, clients: &ClientListener, end: Duration) {
    while gateway.now() < end && clients.open_connections() > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}
