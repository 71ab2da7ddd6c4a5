//! Changes of the configuration and the records that carry them.

use super::canonical_json;
use crate::fault::{Fault, Faults};
use crate::lists::{Entitlements, Plans, WorkspaceList, unknown_names};
use crate::settings::Settings;
use crate::spec::check_name;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use uuid::Uuid;

/// Format of the records that this version of anvilgw writes, and the newest format that it reads.
const FORMAT: u32 = 1;

/// Largest payload of a record. A plans list of 280 workspaces takes 44 KB.
const RECORD_MAX_BYTES: usize = 1 << 20;

/// Identifier that the author gives to a change. A second record with the same identifier has no
/// effect, so an append whose response was lost can be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub Uuid);

impl RecordId {
    /// Creates a new identifier, a version 7 UUID, from the wall clock and random numbers.
    #[must_use]
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One change of the configuration. In JSON: `{"plans": {...}}` or `{"domain_out": "porto"}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Replaces the whole plans list.
    Plans(Plans),
    /// Replaces the whole entitlements list.
    Entitlements(Entitlements),
    /// Takes the failure domain with this name out of service.
    DomainOut(String),
    /// Returns the failure domain with this name to service.
    DomainIn(String),
    /// Takes the instance with this name or address out of service.
    InstanceOut(String),
    /// Returns the instance with this name or address to service.
    InstanceIn(String),
}

impl ConfigChange {
    /// Checks the change without regard to the current configuration and the settings. The fold
    /// applies the same check, so that every daemon comes to the same result.
    ///
    /// # Errors
    ///
    /// All faults of the change.
    pub fn check(&self) -> Result<(), Faults> {
        let name_check = |key: &str, checked: Result<(), String>, example: &str| {
            let fault = checked.err().map(|reason| Fault {
                key: key.to_owned(),
                reason,
                example: example.to_owned(),
                ..Fault::default()
            });
            Faults::into_result(fault.into_iter().collect())
        };
        match self {
            Self::Plans(plans) => plans.check(),
            Self::Entitlements(entitlements) => entitlements.check(),
            Self::DomainOut(name) | Self::DomainIn(name) => {
                name_check("domain", check_name(name), "porto")
            }
            Self::InstanceOut(name) | Self::InstanceIn(name) => name_check(
                "instance",
                check_instance(name),
                "porto-3 or 10.1.0.31:9300",
            ),
        }
    }

    /// Returns a fault for each name in the change that the settings do not define. A daemon
    /// rejects such a change before it is appended; the fold does not, since settings may differ
    /// between daemons.
    #[must_use]
    pub fn unknown_names(&self, settings: &Settings) -> Vec<Fault> {
        match self {
            Self::Entitlements(list) => unknown_names(list, settings),
            Self::DomainOut(name) if !settings.domains.contains_key(name) => vec![Fault {
                key: "domain".to_owned(),
                reason: format!("the settings have no [domain {name}]"),
                example: settings.domains.keys().next().cloned().unwrap_or_default(),
                ..Fault::default()
            }],
            _ => Vec::new(),
        }
    }
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plans(plans) => write!(f, "plans of {} workspaces", plans.workspaces.len()),
            Self::Entitlements(list) => {
                write!(f, "entitlements of {} workspaces", list.workspaces.len())
            }
            Self::DomainOut(name) => write!(f, "domain {name} out"),
            Self::DomainIn(name) => write!(f, "domain {name} in"),
            Self::InstanceOut(name) => write!(f, "instance {name} out"),
            Self::InstanceIn(name) => write!(f, "instance {name} in"),
        }
    }
}

/// Checks the name of an instance, which for the servers of a plain service is an address.
fn check_instance(name: &str) -> Result<(), String> {
    if name.parse::<SocketAddr>().is_ok() || name.parse::<IpAddr>().is_ok() {
        return Ok(());
    }
    check_name(name)
}

/// A record of the configuration stream: a change with the data that decide whether it is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// Identifier that the author gave to the change.
    pub record_id: RecordId,
    /// Name of the operator who made the change.
    pub author: String,
    /// Time at which the record was written, in milliseconds since 1970 by the wall clock of its
    /// writer. Informative only.
    pub written_ms: u64,
    /// Version that the change is based on. The change is accepted only if this is the current
    /// version.
    pub expected_version: u64,
    /// The change.
    pub change: ConfigChange,
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    format: u32,
    record: T,
}

#[derive(Deserialize)]
struct FormatOnly {
    format: u32,
}

quick_error! {
    /// Reason why a payload is not a valid configuration record.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// The payload is larger than 1 MiB.
        TooLarge(bytes: usize) {
            display("the record has {} bytes, the limit is {}", bytes, RECORD_MAX_BYTES)
        }
        /// The payload is not JSON of a record.
        Malformed(detail: String) {
            display("not a configuration record: {}", detail)
        }
        /// The record was written by a newer version of anvilgw.
        NewerFormat(format: u32) {
            display("the record has format {}, but this version of anvilgw reads up to format {}", format, FORMAT)
        }
    }
}

impl ConfigRecord {
    /// Returns the payload of the record for the log.
    ///
    /// # Errors
    ///
    /// [`RecordError::TooLarge`] if the payload is so large that no daemon would decode it.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let payload = canonical_json(&Envelope {
            format: FORMAT,
            record: self,
        });
        match payload.len() {
            bytes if bytes > RECORD_MAX_BYTES => Err(RecordError::TooLarge(bytes)),
            _ => Ok(payload),
        }
    }

    /// Decodes a payload.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the payload is not a record of a format that this version reads.
    pub fn decode(payload: &[u8]) -> Result<Self, RecordError> {
        if payload.len() > RECORD_MAX_BYTES {
            return Err(RecordError::TooLarge(payload.len()));
        }
        let malformed = |error: serde_json::Error| RecordError::Malformed(error.to_string());
        let FormatOnly { format } = serde_json::from_slice(payload).map_err(malformed)?;
        match format {
            FORMAT => serde_json::from_slice(payload)
                .map(|envelope: Envelope<Self>| envelope.record)
                .map_err(malformed),
            0 => Err(RecordError::Malformed("format 0".to_owned())),
            newer => Err(RecordError::NewerFormat(newer)),
        }
    }

    /// Checks the name of the author and the change, without regard to the current configuration.
    pub(super) fn check(&self) -> Result<(), String> {
        check_name(&self.author).map_err(|reason| format!("author: {reason}"))?;
        self.change.check().map_err(|faults| faults.to_string())
    }
}
