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
pub enum Verdict {
    /// The change is part of the configuration.
    Accepted,
    /// The change had no effect.
    Rejected,
}

/// Newest configuration that a daemon is known to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Number and incarnation of the daemon.
    pub daemon: String,
    /// Version that it has acknowledged.
    pub version: u64,
}

/// Answer to `POST /admin/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// Whether the change was accepted.
    pub verdict: Verdict,
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
    pub in_force: Vec<InForce>,
}

/// Answer to `GET /admin/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Digest of the configuration in hexadecimal.
    pub digest: String,
    /// The current configuration.
    pub state: ConfigState,
    /// Versions in force at the daemons.
    pub in_force: Vec<InForce>,
}
