//! Start of the control service.

use super::budgets::SharedBudgets;
use super::log_io::{LogCalls, StreamNames};
use super::worker::{Publishers, Worker};
use super::{ControlService, Message, View, datagrams};
use crate::duties::send::send_until_accepted;
use crate::peer::PeerClient;
use anvilgw_config::ConfigState;
use anvilgw_core::{Clock, LogService};
use anvilgw_fleet::{Contact, Epoch, Freshness, OwnershipTracker};
use anvilgw_kernel::{Journal, Receiver, Sender, StopSignal, WorkerThread, bounded_channel};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Number of messages that may wait for the worker: a burst of datagrams from a few hundred
/// members.
const CHANNEL_CAPACITY: usize = 2048;

/// Parameters of the control worker.
pub(crate) struct ControlSetup {
    /// Identity, address and failure domain of this daemon.
    pub(crate) own: Contact,
    /// Addresses at which other members may be found.
    pub(crate) seed_addresses: Vec<SocketAddr>,
    /// Names of the log streams.
    pub(crate) streams: StreamNames,
    /// Retention of the log.
    pub(crate) retention: Duration,
    /// Seed of the random generators of the worker.
    pub(crate) seed: u64,
}

/// Dependencies of the control worker.
pub(crate) struct ControlDependencies {
    /// Log service with the configuration, epochs and leases.
    pub(crate) log: Arc<dyn LogService>,
    /// Socket of the membership protocol.
    pub(crate) socket: UdpSocket,
    /// Client for calls to other daemons.
    pub(crate) peers: Arc<PeerClient>,
    /// Runtime on which the calls run.
    pub(crate) runtime: Handle,
    /// Source of uptime and wall-clock time.
    pub(crate) clock: Arc<dyn Clock>,
    /// Receives events about members, the configuration and the log.
    pub(crate) journal: Arc<Journal>,
}

/// Result of starting the control service.
pub(crate) struct StartedControl {
    /// Handle through which the other services reach the worker.
    pub(crate) service: ControlService,
    /// This daemon's shares of the fleet-wide budgets, which the worker transfers.
    pub(crate) budgets: Arc<SharedBudgets>,
    /// Threads of the service, to be joined at shutdown.
    pub(crate) worker_threads: Vec<WorkerThread>,
}

impl ControlService {
    /// Starts the worker and the threads that receive datagrams and call the log service for it.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread or the socket.
    pub(crate) fn start(
        setup: ControlSetup,
        dependencies: ControlDependencies,
        stop: &StopSignal,
    ) -> io::Result<StartedControl> {
        let (messages, receiver) = bounded_channel(CHANNEL_CAPACITY);
        let own = setup.own.id;
        let (config, config_receiver) = watch::channel(Arc::new(ConfigState::default()));
        let (has_config, has_config_receiver) = watch::channel(false);
        let (freshness, freshness_receiver) = watch::channel(Freshness::new(own));
        let view = View {
            members: Vec::new(),
            epoch: Epoch::default(),
            ownership: OwnershipTracker::new(own),
            fleet_duties: Vec::new(),
        };
        let (view, view_receiver) = watch::channel(Arc::new(view));
        let clock = Arc::clone(&dependencies.clock);
        let budgets = Arc::new(SharedBudgets::new(
            own,
            freshness_receiver.clone(),
            Arc::clone(&clock),
        ));
        let publishers = Publishers {
            config,
            has_config,
            freshness,
            view,
        };
        let worker_threads = start_threads(
            setup,
            dependencies,
            stop,
            (&messages, receiver),
            publishers,
            &budgets,
        )?;
        let service = Self {
            messages,
            config: config_receiver,
            has_config: has_config_receiver,
            freshness: freshness_receiver,
            view: view_receiver,
            clock,
        };
        Ok(StartedControl {
            service,
            budgets,
            worker_threads,
        })
    }
}

fn start_threads(
    setup: ControlSetup,
    dependencies: ControlDependencies,
    stop: &StopSignal,
    (messages, receiver): (&Sender<Message>, Receiver<Message>),
    publishers: Publishers,
    budgets: &Arc<SharedBudgets>,
) -> io::Result<Vec<WorkerThread>> {
    let datagram_messages = messages.clone();
    let mut worker_threads = vec![datagrams::receive(
        &dependencies.socket,
        stop,
        move |source, bytes| {
            // If the channel is full, the datagram counts as lost on the network.
            let _ = datagram_messages.send(Message::Datagram(source, bytes));
        },
    )?];
    let log_messages = messages.clone();
    let (log, log_threads) =
        LogCalls::start(&dependencies.log, &setup.streams, stop, move |event| {
            send_until_accepted(&log_messages, Message::LogEvent(event));
        })?;
    worker_threads.extend(log_threads);
    let worker = Worker::new(
        setup,
        dependencies,
        messages.clone(),
        log,
        publishers,
        budgets,
    );
    worker_threads.push(WorkerThread::spawn("control", stop.clone(), move |stop| {
        worker.run(&receiver, &stop);
    })?);
    Ok(worker_threads)
}
