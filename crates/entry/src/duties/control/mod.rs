//! The control service: membership, view freshness, configuration, epochs and leases of this
//! daemon.
//!
//! One worker thread owns all of them, because each is input to the others: log reads advance the
//! configuration and the epochs, both are evidence of freshness, and heartbeats carry all three.

mod agreement;
mod budgets;
mod configuration;
mod datagrams;
mod log_io;
mod start;
mod worker;

pub(crate) use budgets::{BudgetKind, MILLI, SharedBudgets};
pub(crate) use log_io::StreamNames;
pub(crate) use start::{ControlDependencies, ControlSetup};

use anvilgw_config::{ConfigRecord, ConfigState, PeerUpdate, Rejection};
use anvilgw_core::{Clock, DaemonId, DomainId};
use anvilgw_fleet::{Epoch, Freshness, OwnedResource, OwnershipTracker, Stale};
use anvilgw_kernel::Sender;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Longest wait for the verdict on a configuration change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcome of a configuration change that was submitted at this daemon.
#[derive(Clone, Debug)]
pub(crate) enum ChangeOutcome {
    /// The change is part of the configuration from this version on.
    Accepted(u64),
    /// The change was not applied, for this reason.
    Rejected(Rejection),
    /// The log service did not answer in time; the change may still take effect.
    Undecided,
}

/// A member in the published view.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Index of the daemon in the fleet.
    pub(crate) index: u32,
    /// Start time of its process in milliseconds since 1970.
    pub(crate) incarnation: u64,
    /// Address at which the daemon receives datagrams and calls from peers.
    pub(crate) address: SocketAddr,
    /// Failure domain in which the daemon runs.
    pub(crate) domain: DomainId,
    /// State in this daemon's view: `alive`, `suspect`, `dead` or `leaving`.
    pub(crate) state: &'static str,
    /// Configuration version that the member last reported; `None` before its first report.
    pub(crate) config_version: Option<u64>,
}

impl Member {
    /// Returns the identifier of the daemon's process.
    pub(crate) fn id(&self) -> DaemonId {
        DaemonId {
            index: self.index,
            incarnation: self.incarnation,
        }
    }
}

/// State of the fleet as the control worker publishes it.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// Known members, this daemon first.
    pub(crate) members: Vec<Member>,
    /// Current epoch; without members before the first epoch is known.
    pub(crate) epoch: Epoch,
    /// Owners of claim partitions and budgets in the current epoch.
    pub(crate) ownership: OwnershipTracker,
    /// Names and states of the fleet duties and of the epoch proposer, for the status of the
    /// daemon.
    pub(crate) fleet_duties: Vec<(String, String)>,
}

enum Message {
    Datagram(SocketAddr, Vec<u8>),
    LogEvent(log_io::LogEvent),
    ChangeConfig {
        record: ConfigRecord,
        reply: oneshot::Sender<ChangeOutcome>,
    },
    ConfigSince {
        version: u64,
        reply: oneshot::Sender<PeerUpdate>,
    },
    PeerUpdate(PeerUpdate),
    SeedAddresses(Vec<SocketAddr>),
    ForceEpoch(oneshot::Sender<bool>),
    Leave(oneshot::Sender<()>),
}

/// Handle through which other services and request handlers reach the control worker.
pub(crate) struct ControlService {
    messages: Sender<Message>,
    config: watch::Receiver<Arc<ConfigState>>,
    has_config: watch::Receiver<bool>,
    freshness: watch::Receiver<Freshness>,
    view: watch::Receiver<Arc<View>>,
    clock: Arc<dyn Clock>,
}

impl ControlService {
    /// Returns the configuration in force, which is empty until the first one was read.
    pub(crate) fn config(&self) -> Arc<ConfigState> {
        Arc::clone(&self.config.borrow())
    }

    /// Returns a receiver that is notified of each new configuration.
    pub(crate) fn watch_config(&self) -> watch::Receiver<Arc<ConfigState>> {
        self.config.clone()
    }

    /// Returns whether a configuration was read from the log or a peer.
    pub(crate) fn has_config(&self) -> bool {
        *self.has_config.borrow()
    }

    /// Checks that the view is fresh enough to start new work. Called when work arrives and
    /// directly before it is sent to a backend server.
    ///
    /// # Errors
    ///
    /// Returns the reason if the view is too old.
    pub(crate) fn may_take_new_work(&self) -> Result<(), Stale> {
        let now = self.clock.uptime();
        self.freshness.borrow().may_take_new_work(now)
    }

    /// Returns whether the last read of the log succeeded.
    pub(crate) fn reaches_log(&self) -> bool {
        let now = self.clock.uptime();
        self.freshness.borrow().daemon_status(now).reaches_log
    }

    /// Returns the age of the view, or `None` if there is no evidence of its freshness.
    pub(crate) fn view_age(&self) -> Option<Duration> {
        let now = self.clock.uptime();
        self.freshness.borrow().age(now)
    }

    /// Returns the view of the fleet that was published last.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the address of the owner of a claim partition, or `None` if the owner is this daemon
    /// or not known.
    pub(crate) fn claim_owner(&self, own: DaemonId, partition: u16) -> Option<SocketAddr> {
        let view = self.view.borrow();
        let owner = view
            .ownership
            .owner(OwnedResource::ClaimPartition(partition.into()))?;
        let member = view.members.iter().find(|member| member.id() == owner)?;
        (owner != own).then_some(member.address)
    }

    /// Appends a configuration change to the log and waits until its outcome is known, for at most
    /// [`CHANGE_TIMEOUT`].
    pub(crate) async fn change_config(&self, record: ConfigRecord) -> ChangeOutcome {
        let (reply, answer) = oneshot::channel();
        if self
            .messages
            .send(Message::ChangeConfig { record, reply })
            .is_err()
        {
            return ChangeOutcome::Undecided;
        }
        match tokio::time::timeout(CHANGE_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer,
            _ => ChangeOutcome::Undecided,
        }
    }

    /// Returns the update that brings a peer with this configuration version up to date, or `None`
    /// if the worker does not reply.
    pub(crate) async fn config_since(&self, version: u64) -> Option<PeerUpdate> {
        let (reply, answer) = oneshot::channel();
        self.messages
            .send(Message::ConfigSince { version, reply })
            .ok()?;
        answer.await.ok()
    }

    /// Adds addresses at which other members may be found.
    pub(crate) fn add_seed_addresses(&self, addresses: Vec<SocketAddr>) {
        // If the channel is full, the next poll of the list of instances repeats the addresses.
        let _ = self.messages.send(Message::SeedAddresses(addresses));
    }

    /// Allows the next epoch to be proposed although most members of the last one are neither alive
    /// nor known to have left. Returns false if this daemon does not hold the lease for proposing
    /// epochs.
    pub(crate) async fn force_epoch(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::ForceEpoch(reply)).is_ok();
        sent && answer.await.unwrap_or(false)
    }

    /// Leaves the fleet and releases all leases of this daemon. Waits for at most one second.
    pub(crate) async fn leave(&self) {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::Leave(reply)).is_ok() {
            let _ = tokio::time::timeout(Duration::from_secs(1), answer).await;
        }
    }
}
