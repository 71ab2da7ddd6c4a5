//! Messages of the operator endpoints, shared by the daemon and the command line.

use crate::stream::{ConfigChange, ConfigState, RecordId, Rejection};
use serde::{Deserialize, Serialize};

/// Body of `POST /admin/config`. The author is the operator whose key is presented.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Version that the change replaces.
    pub expected_version: u64,
    /// Identifier of the change. Posting it again gives the first answer again.
    pub record_id: RecordId,
    /// The change.
    pub change: ConfigChange,
}

/// Whether a change was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeVerdict {
    /// The change is part of the configuration.
    Accepted,
    /// The change had no effect.
    Rejected,
}

/// Newest configuration that a daemon is known to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonConfigVersion {
    /// Number and incarnation of the daemon.
    pub daemon: String,
    /// Version that it has acknowledged.
    pub version: u64,
}

/// Answer to `POST /admin/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Whether the change was accepted.
    pub verdict: ChangeVerdict,
    /// If accepted, the version that the change made; if not, the current version.
    pub version: u64,
    /// Why the change was rejected, for people. Empty if accepted.
    #[serde(default)]
    pub reason: String,
    /// Why the change was rejected, for programs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejection: Option<Rejection>,
    /// Versions in force at the daemons.
    #[serde(default)]
    pub in_force: Vec<DaemonConfigVersion>,
}

/// Answer to `GET /admin/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Digest of the configuration in hexadecimal.
    pub digest: String,
    /// The current configuration.
    pub state: ConfigState,
    /// Versions in force at the daemons.
    pub in_force: Vec<DaemonConfigVersion>,
}

/// Answer to `GET /admin/status`: the fleet as one daemon sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Number and incarnation of the daemon.
    pub daemon: String,
    /// Instance that it runs on.
    pub instance: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it accepts new work.
    pub ready: bool,
    /// Why it does not. Empty if it does.
    pub not_ready_because: String,
    /// Version of the configuration in use.
    pub config_version: u64,
    /// Digest of that configuration in hexadecimal. Equal versions have equal digests.
    pub config_digest: String,
    /// Time since the daemon was last known to have all accepted configuration. `None` if never.
    pub view_age_ms: Option<u64>,
    /// Whether its last read of the log succeeded.
    pub log_reachable: bool,
    /// Number of the current epoch.
    pub epoch: u64,
    /// Requests that are open at this daemon.
    pub open_requests: u64,
    /// Requests that wait for admission at this daemon.
    pub queued_requests: u64,
    /// Failure domains that are out of service.
    pub domains_out: Vec<String>,
    /// Instances that are out of service.
    pub instances_out: Vec<String>,
    /// Daemons of the fleet.
    pub members: Vec<MemberStatus>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
    /// Workspaces with open or waiting requests.
    pub workspaces: Vec<WorkspaceStatus>,
    /// Duties that one daemon of the fleet holds, as seen by this one.
    #[serde(default)]
    pub duties: Vec<DutyStatus>,
    /// Claim partitions that this daemon has read.
    #[serde(default)]
    pub claim_partitions: Vec<PartitionStatus>,
    /// What the daemon did on its own, oldest first.
    #[serde(default)]
    pub events: Vec<EventReport>,
}

/// A duty that only one daemon has at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub duty: String,
    /// Who holds it, or why it cannot be held.
    pub state: String,
}

/// A partition of the idempotency claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// Number.
    pub partition: u16,
    /// Whether the daemon has read the stream to its end.
    pub caught_up: bool,
    /// Offset that is read next.
    pub next_offset: u64,
    /// Keys within retention.
    pub keys: u64,
}

/// An event with its cause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventReport {
    /// Position, counted from the start of the daemon.
    pub sequence: u64,
    /// Wall clock time in milliseconds since 1970.
    pub wall_ms: u64,
    /// What happened.
    pub kind: String,
    /// What it happened to.
    pub subject: String,
    /// Why, with the evidence.
    pub cause: String,
}

/// One daemon of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Number and incarnation.
    pub daemon: String,
    /// Failure domain.
    pub failure_domain: String,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Version of the configuration that it last reported.
    pub config_version: u64,
}

/// One backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name under which its instance is taken out of service.
    pub server: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether new work may go to it.
    pub in_service: bool,
    /// Whether it is cold and gets a limited load.
    pub cold: bool,
    /// State of its circuit breaker: `closed`, `half-open` or `open`.
    pub breaker: String,
    /// Requests of this daemon that it runs.
    pub running: u64,
    /// Requests that it sustains now, over all daemons.
    #[serde(default)]
    pub capacity: u64,
    /// This daemon's share of that while the server is cold.
    #[serde(default)]
    pub cold_share: u64,
}

/// One workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Name.
    pub workspace: String,
    /// Requests that run at this daemon.
    pub running: u64,
    /// Requests that wait at this daemon.
    pub queued: u64,
}

/// Answer to `POST /admin/epoch`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForceEpochResponse {
    /// Whether the daemon holds the duty of epochs. Only that daemon can propose one.
    pub forced: bool,
}
