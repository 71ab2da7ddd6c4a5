//! Start of the control duty.

use super::budgets::SharedBudgets;
use super::log_io::{LogCalls, Streams};
use super::worker::{Publish, Worker};
use super::{ControlService, Message, View, datagrams};
use crate::duties::deliver::deliver;
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

/// Messages that may wait: datagrams of a few hundred members in a burst.
const RING_CAPACITY: usize = 2048;

/// What the duty needs to know.
pub(crate) struct ControlSetup {
    /// Number, address and failure domain of this daemon.
    pub(crate) own: Contact,
    /// Addresses at which members may be found.
    pub(crate) hints: Vec<SocketAddr>,
    /// Names of the log streams.
    pub(crate) streams: Streams,
    /// Retention of the log.
    pub(crate) retention: Duration,
    /// Seed of random choices.
    pub(crate) seed: u64,
}

/// Parts of the daemon that the duty uses.
pub(crate) struct ControlParts {
    /// The log service.
    pub(crate) log: Arc<dyn LogService>,
    /// Socket of the membership protocol.
    pub(crate) socket: UdpSocket,
    /// Calls to other daemons.
    pub(crate) peers: Arc<PeerClient>,
    /// Runtime for the calls.
    pub(crate) runtime: Handle,
    /// The clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// The journal.
    pub(crate) journal: Arc<Journal>,
}

/// The started duty.
pub(crate) struct Started {
    /// Handle for the other services.
    pub(crate) service: ControlService,
    /// Shares of the budgets.
    pub(crate) budgets: Arc<SharedBudgets>,
    /// The threads.
    pub(crate) duties: Vec<WorkerThread>,
}

impl ControlService {
    /// Starts the duty with its threads.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread or the socket.
    pub(crate) fn start(
        setup: ControlSetup,
        parts: ControlParts,
        stop: &StopSignal,
    ) -> io::Result<Started> {
        let (messages, receiver) = bounded_channel(RING_CAPACITY);
        let own = setup.own.id;
        let (config, config_seen) = watch::channel(Arc::new(ConfigState::default()));
        let (ready, ready_seen) = watch::channel(false);
        let (freshness, freshness_seen) = watch::channel(Freshness::new(own));
        let view = View {
            members: Vec::new(),
            epoch: Epoch::default(),
            ownership: OwnershipTracker::new(own),
            duties: Vec::new(),
        };
        let (view, view_seen) = watch::channel(Arc::new(view));
        let clock = Arc::clone(&parts.clock);
        let budgets = Arc::new(SharedBudgets::new(
            own,
            freshness_seen.clone(),
            Arc::clone(&clock),
        ));
        let publish = Publish {
            config,
            ready,
            freshness,
            view,
        };
        let duties = start_threads(setup, parts, stop, (&messages, receiver), publish, &budgets)?;
        let service = Self {
            messages,
            config: config_seen,
            ready: ready_seen,
            freshness: freshness_seen,
            view: view_seen,
            clock,
        };
        Ok(Started {
            service,
            budgets,
            duties,
        })
    }
}

fn start_threads(
    setup: ControlSetup,
    parts: ControlParts,
    stop: &StopSignal,
    (messages, receiver): (&Sender<Message>, Receiver<Message>),
    publish: Publish,
    budgets: &Arc<SharedBudgets>,
) -> io::Result<Vec<WorkerThread>> {
    let datagram_messages = messages.clone();
    let mut duties = vec![datagrams::receive(
        &parts.socket,
        stop,
        move |source, bytes| {
            // A lost datagram is like one lost on the way.
            let _ = datagram_messages.send(Message::Datagram(source, bytes));
        },
    )?];
    let log_messages = messages.clone();
    let (log, log_duties) = LogCalls::start(&parts.log, &setup.streams, stop, move |event| {
        deliver(&log_messages, Message::Log(event));
    })?;
    duties.extend(log_duties);
    let worker = Worker::new(setup, parts, messages.clone(), log, publish, budgets);
    duties.push(WorkerThread::spawn("control", stop.clone(), move |stop| {
        worker.run(&receiver, &stop);
    })?);
    Ok(duties)
}
