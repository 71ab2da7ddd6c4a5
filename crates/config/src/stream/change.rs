//! Changes of the configuration and the records that carry them.

use super::canonical;
use crate::fault::{Fault, Faults};
use crate::lists::{Entitlements, Plans, WorkspaceList, unknown_names};
use crate::settings::Settings;
use crate::spec::check_name;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use uuid::Uuid;

/// Format of the records that this version writes and the newest that it reads.
const FORMAT: u32 = 1;

/// Size above which a record is not decoded. A plans list of 280 workspaces takes 44 KB.
const RECORD_MAX_BYTES: usize = 1 << 20;

/// Identifier that its author gives to a change, so that appending it twice has no further effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub Uuid);

impl RecordId {
    /// Creates a new identifier from the wall clock and random numbers.
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
    /// Replaces the plans list.
    Plans(Plans),
    /// Replaces the entitlements list.
    Entitlements(Entitlements),
    /// Takes a failure domain out of service.
    DomainOut(String),
    /// Returns a failure domain to service.
    DomainIn(String),
    /// Takes an instance out of service.
    InstanceOut(String),
    /// Returns an instance to service.
    InstanceIn(String),
}

impl ConfigChange {
    /// Checks the change by itself. The fold applies the same check, so the result depends on
    /// nothing but the change.
    ///
    /// # Errors
    ///
    /// All faults.
    pub fn check(&self) -> Result<(), Faults> {
        let named = |key: &str, checked: Result<(), String>, example: &str| {
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
                named("domain", check_name(name), "porto")
            }
            Self::InstanceOut(name) | Self::InstanceIn(name) => named(
                "instance",
                check_instance(name),
                "porto-3 or 10.1.0.31:9300",
            ),
        }
    }

    /// Names in the change that the settings do not have. A daemon refuses such a change before it
    /// is appended; the fold does not, since settings may differ between daemons.
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

/// An instance is known by a name or, for the servers of a service, by an address.
fn check_instance(name: &str) -> Result<(), String> {
    if name.parse::<SocketAddr>().is_ok() || name.parse::<IpAddr>().is_ok() {
        return Ok(());
    }
    check_name(name)
}

/// A change with what decides about its acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// Identifier given by the author.
    pub record_id: RecordId,
    /// Name of the operator.
    pub author: String,
    /// Wall clock time of the author in milliseconds since 1970. For people; decides nothing.
    pub written_ms: u64,
    /// Version that the change replaces.
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
    /// Why a payload is not a configuration record.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// The payload is too large.
        TooLarge(bytes: usize) {
            display("the record has {} bytes, more than {}", bytes, RECORD_MAX_BYTES)
        }
        /// The payload is not a record.
        Malformed(detail: String) {
            display("not a configuration record: {}", detail)
        }
        /// The record was written by a newer version of anvilgw.
        NewerFormat(format: u32) {
            display("the record has format {}, this version reads up to {}", format, FORMAT)
        }
    }
}

impl ConfigRecord {
    /// Encodes the record for the log.
    ///
    /// # Errors
    ///
    /// [`RecordError::TooLarge`] if no daemon would decode the record.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let payload = canonical(&Envelope {
            format: FORMAT,
            record: self,
        });
        match payload.len() {
            bytes if bytes > RECORD_MAX_BYTES => Err(RecordError::TooLarge(bytes)),
            _ => Ok(payload),
        }
    }

    /// Decodes a record.
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

    /// Checks author and change by themselves.
    pub(super) fn check(&self) -> Result<(), String> {
        check_name(&self.author).map_err(|reason| format!("author: {reason}"))?;
        self.change.check().map_err(|faults| faults.to_string())
    }
}
