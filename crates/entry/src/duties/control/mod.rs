//! The control duty: membership, view freshness, configuration, epochs and leases of this daemon.
//!
//! One thread owns all of it, because each part is input to the others: log reads advance the
//! configuration and the epochs, both are evidence of freshness, and heartbeats carry all three.

mod agreement;
mod budgets;
mod configuration;
mod datagrams;
mod log_io;
mod start;
mod worker;

pub(crate) use budgets::{BudgetKind, MILLI, SharedBudgets};
pub(crate) use log_io::Streams;
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

/// What became of a configuration change.
#[derive(Clone, Debug)]
pub(crate) enum ChangeOutcome {
    /// It is in the configuration from this version on.
    Accepted(u64),
    /// It is not.
    Rejected(Rejection),
    /// The log service did not answer in time; the change may still take effect.
    Undecided,
}

/// A live member, for `status` and for calls.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Number of the daemon.
    pub(crate) index: u32,
    /// Start time of its process in milliseconds since 1970.
    pub(crate) incarnation: u64,
    /// Address for datagrams and calls.
    pub(crate) address: SocketAddr,
    /// Failure domain.
    pub(crate) domain: DomainId,
    /// State in this daemon's view.
    pub(crate) state: &'static str,
    /// Configuration version that it last reported.
    pub(crate) config_version: Option<u64>,
}

impl Member {
    /// Identifier.
    pub(crate) fn id(&self) -> DaemonId {
        DaemonId {
            index: self.index,
            incarnation: self.incarnation,
        }
    }
}

/// What the duty publishes about the fleet.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// Members, this daemon included.
    pub(crate) members: Vec<Member>,
    /// The current epoch.
    pub(crate) epoch: Epoch,
    /// Owners of partitions and budgets.
    pub(crate) ownership: OwnershipTracker,
    /// State of the fleet duties, for `status`.
    pub(crate) duties: Vec<(String, String)>,
}

enum Message {
    Datagram(SocketAddr, Vec<u8>),
    Log(log_io::LogEvent),
    Change {
        record: ConfigRecord,
        reply: oneshot::Sender<ChangeOutcome>,
    },
    ConfigSince {
        version: u64,
        reply: oneshot::Sender<PeerUpdate>,
    },
    PeerUpdate(PeerUpdate),
    Hints(Vec<SocketAddr>),
    ForceEpoch(oneshot::Sender<bool>),
    Leave(oneshot::Sender<()>),
}

/// Handle of the control duty.
pub(crate) struct ControlService {
    messages: Sender<Message>,
    config: watch::Receiver<Arc<ConfigState>>,
    ready: watch::Receiver<bool>,
    freshness: watch::Receiver<Freshness>,
    view: watch::Receiver<Arc<View>>,
    clock: Arc<dyn Clock>,
}

impl ControlService {
    /// The configuration in force.
    pub(crate) fn config(&self) -> Arc<ConfigState> {
        Arc::clone(&self.config.borrow())
    }

    /// Follows the configuration.
    pub(crate) fn watch_config(&self) -> watch::Receiver<Arc<ConfigState>> {
        self.config.clone()
    }

    /// Whether a configuration has been read from the log or a peer.
    pub(crate) fn has_config(&self) -> bool {
        *self.ready.borrow()
    }

    /// Whether new work may start now. Called when work arrives and directly before it is sent.
    ///
    /// # Errors
    ///
    /// The reason if the view is too old.
    pub(crate) fn may_take_new_work(&self) -> Result<(), Stale> {
        let now = self.clock.uptime();
        self.freshness.borrow().may_take_new_work(now)
    }

    /// Whether the last read of the log succeeded.
    pub(crate) fn reaches_log(&self) -> bool {
        let now = self.clock.uptime();
        self.freshness.borrow().daemon_status(now).reaches_log
    }

    /// Age of the view.
    pub(crate) fn view_age(&self) -> Option<Duration> {
        let now = self.clock.uptime();
        self.freshness.borrow().age(now)
    }

    /// What is known about the fleet.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Address of the owner of a claim partition; `None` if it is this daemon or not known.
    pub(crate) fn claim_owner(&self, own: DaemonId, partition: u16) -> Option<SocketAddr> {
        let view = self.view.borrow();
        let owner = view
            .ownership
            .owner(OwnedResource::ClaimPartition(partition.into()))?;
        let member = view.members.iter().find(|member| member.id() == owner)?;
        (owner != own).then_some(member.address)
    }

    /// Publishes a configuration change and waits until its outcome is known.
    pub(crate) async fn change_config(&self, record: ConfigRecord) -> ChangeOutcome {
        let (reply, answer) = oneshot::channel();
        if self
            .messages
            .send(Message::Change { record, reply })
            .is_err()
        {
            return ChangeOutcome::Undecided;
        }
        match tokio::time::timeout(CHANGE_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer,
            _ => ChangeOutcome::Undecided,
        }
    }

    /// What a peer with this version has to be told.
    pub(crate) async fn config_since(&self, version: u64) -> Option<PeerUpdate> {
        let (reply, answer) = oneshot::channel();
        self.messages
            .send(Message::ConfigSince { version, reply })
            .ok()?;
        answer.await.ok()
    }

    /// Adds addresses at which members may be found.
    pub(crate) fn add_seed_addresses(&self, addresses: Vec<SocketAddr>) {
        // The list is polled again.
        let _ = self.messages.send(Message::Hints(addresses));
    }

    /// Lets the next epoch be proposed although most members of the last one are neither alive nor
    /// known to have left. Returns false if this daemon does not hold the duty.
    pub(crate) async fn force_epoch(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::ForceEpoch(reply)).is_ok();
        sent && answer.await.unwrap_or(false)
    }

    /// Leaves the fleet.
    pub(crate) async fn leave(&self) {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::Leave(reply)).is_ok() {
            let _ = tokio::time::timeout(Duration::from_secs(1), answer).await;
        }
    }
}
