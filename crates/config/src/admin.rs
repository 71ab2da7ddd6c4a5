//! Bodies of the requests and responses of the operator endpoints, shared by the daemon and the
//! command line tool.

use crate::stream::{ConfigChange, ConfigState, RecordId, Rejection};
use serde::{Deserialize, Serialize};

/// Body of `POST /admin/config`. The author of the change is the owner of the bearer key of the
/// request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Version that the change is based on. The change is rejected if it is no longer current.
    pub expected_version: u64,
    /// Identifier of the change. A repeated request with the same identifier has no further effect
    /// and gets the same result.
    pub record_id: RecordId,
    /// Change to apply.
    pub change: ConfigChange,
}

/// Result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeVerdict {
    /// The change is part of the configuration.
    Accepted,
    /// The change was not applied.
    Rejected,
}

/// Version of the configuration that is in force at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonConfigVersion {
    /// Number and incarnation of the daemon.
    pub daemon: String,
    /// Newest version that the daemon is known to use. 0 if it has not reported one.
    pub version: u64,
}

/// Response to `POST /admin/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Whether the change was accepted.
    pub verdict: ChangeVerdict,
    /// Version that the change has created if it was accepted, otherwise the current version.
    pub version: u64,
    /// Reason for the rejection as text. Empty if the change was accepted.
    #[serde(default)]
    pub reason: String,
    /// Reason for the rejection in a form for programs. `None` if the change was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejection: Option<Rejection>,
    /// Versions in force at the daemons.
    #[serde(default)]
    pub in_force: Vec<DaemonConfigVersion>,
}

/// Response to `GET /admin/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Digest of `state` in hexadecimal.
    pub digest: String,
    /// Current configuration of the daemon that responds.
    pub state: ConfigState,
    /// Versions in force at the daemons.
    pub in_force: Vec<DaemonConfigVersion>,
}

/// Response to `GET /admin/status`: the state of one daemon and its view of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Number and incarnation of the daemon that responds.
    pub daemon: String,
    /// Name of the instance that the daemon runs on.
    pub instance: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Whether the daemon accepts new work.
    pub ready: bool,
    /// Reason why the daemon does not accept new work. Empty if it does.
    pub not_ready_because: String,
    /// Version of the configuration that the daemon uses.
    pub config_version: u64,
    /// Digest of that configuration in hexadecimal. Daemons with the same version must have the
    /// same digest.
    pub config_digest: String,
    /// Time since the daemon last was certain to have every accepted change. `None` if it never
    /// was.
    pub view_age_ms: Option<u64>,
    /// Whether the last read of the log by the daemon succeeded.
    pub log_reachable: bool,
    /// Number of the current epoch.
    pub epoch: u64,
    /// Requests that are open at the daemon.
    pub open_requests: u64,
    /// Requests that wait for admission at the daemon.
    pub queued_requests: u64,
    /// Failure domains that are out of service.
    pub domains_out: Vec<String>,
    /// Instances that are out of service.
    pub instances_out: Vec<String>,
    /// Daemons of the fleet that the daemon knows.
    pub members: Vec<MemberStatus>,
    /// Backend servers that the daemon may route requests to.
    pub servers: Vec<ServerStatus>,
    /// Workspaces with running or waiting requests at the daemon.
    pub workspaces: Vec<WorkspaceStatus>,
    /// Duties that only one daemon of the fleet holds at a time, as known to the daemon.
    #[serde(default)]
    pub duties: Vec<DutyStatus>,
    /// Partitions of the idempotency claims that the daemon reads.
    #[serde(default)]
    pub claim_partitions: Vec<PartitionStatus>,
    /// Latest events of the daemon, oldest first.
    #[serde(default)]
    pub events: Vec<EventReport>,
}

/// A duty that only one daemon of the fleet holds at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub duty: String,
    /// Holder of the duty, or the reason why nobody can hold it.
    pub state: String,
}

/// One partition of the idempotency claims, which has a log stream of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// Number of the partition, counted from 0.
    pub partition: u16,
    /// Whether the daemon has read the stream of the partition to its end.
    pub caught_up: bool,
    /// Offset of the stream that the daemon reads next.
    pub next_offset: u64,
    /// Number of idempotency keys whose records the daemon holds.
    pub keys: u64,
}

/// An event in the journal of the daemon, with its cause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventReport {
    /// Number of the event since the start of the daemon.
    pub sequence: u64,
    /// Wall clock time in milliseconds since 1970.
    pub wall_ms: u64,
    /// Kind of the event.
    pub kind: String,
    /// Server, daemon or other object that the event concerns.
    pub subject: String,
    /// Cause of the event, with the observations behind it.
    pub cause: String,
}

/// State of one daemon of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Number and incarnation of the member.
    pub daemon: String,
    /// Failure domain of the member.
    pub failure_domain: String,
    /// Membership state: `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Version of the configuration that the member last reported, or 0.
    pub config_version: u64,
}

/// State of one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name under which operators take the instance of the server out of service.
    pub server: String,
    /// Failure domain of the server.
    pub failure_domain: String,
    /// Whether neither the server nor its failure domain is out of service.
    pub in_service: bool,
    /// Whether the server is cold, so that its load is limited.
    pub cold: bool,
    /// State of the circuit breaker of the server: `closed`, `half-open` or `open`.
    pub breaker: String,
    /// Requests of this daemon that run on the server.
    pub running: u64,
    /// Requests of all daemons together that the server can run now.
    #[serde(default)]
    pub capacity: u64,
    /// Part of `capacity` that this daemon may use while the server is cold.
    #[serde(default)]
    pub cold_share: u64,
}

/// Requests of one workspace at this daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests that are admitted and not yet finished.
    pub running: u64,
    /// Requests that wait for admission.
    pub queued: u64,
}

/// Response to `POST /admin/epoch`, which lets the next epoch begin without a majority of the
/// members of the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForceEpochResponse {
    /// Whether the request took effect. `false` if the daemon does not hold the duty of epochs,
    /// since only its holder can propose an epoch.
    pub forced: bool,
}
