//! The configuration at one version.

use super::canonical;
use super::change::{ConfigChange, ConfigRecord, RecordId};
use crate::lists::{Entitlements, Plans};
use anvilgw_core::Offset;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Length of the fault text in a rejection. Outcomes are part of snapshots, whose size is bounded.
const FAULTS_MAX_CHARS: usize = 1_000;

/// blake3 digest of a configuration. Equal versions have equal digests in every daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigDigest(pub [u8; 32]);

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from(self.0).to_hex())
    }
}

/// Configuration that all daemons agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigState {
    /// Number of accepted changes.
    pub version: u64,
    /// Author of the last accepted change.
    pub author: String,
    /// Wall clock time of the last accepted change in milliseconds since 1970, by its author.
    pub written_ms: u64,
    /// Plans of all workspaces.
    pub plans: Plans,
    /// Entitlements of all workspaces.
    pub entitlements: Entitlements,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<String>,
    /// Instances that are out of service.
    pub instances_out: BTreeSet<String>,
}

/// Why the fold did not accept a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// Another change came first.
    VersionConflict {
        /// Version that the author expected.
        expected: u64,
        /// Version that was current at the offset of the record.
        current: u64,
        /// Author of the current version.
        author: String,
    },
    /// The change by itself has faults.
    Invalid {
        /// The faults as text, cut to a bounded length.
        faults: String,
    },
    /// The configuration is already as the change wants it.
    NoEffect,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionConflict {
                expected,
                current,
                author,
            } => write!(
                f,
                "version {expected} was expected, but version {current} by {author:?} is current"
            ),
            Self::Invalid { faults } => write!(f, "the change has faults: {faults}"),
            Self::NoEffect => f.write_str("the configuration is already so"),
        }
    }
}

impl std::error::Error for Rejection {}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The change is part of the configuration from this version on.
    Accepted {
        /// Version after the change.
        version: u64,
    },
    /// The change had no effect.
    Rejected(Rejection),
}

/// What became of a record, with its identifier and position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordOutcome {
    /// Identifier given by the author.
    pub record_id: RecordId,
    /// Position of the first record with this identifier.
    pub offset: Offset,
    /// What became of it.
    pub outcome: Outcome,
}

impl ConfigState {
    /// Digest of everything in this configuration.
    #[must_use]
    pub fn digest(&self) -> ConfigDigest {
        ConfigDigest(*blake3::hash(&canonical(self)).as_bytes())
    }

    /// Whether new work may go to an instance of a failure domain. An empty instance name stands
    /// for an instance without a name.
    #[must_use]
    pub fn is_in_service(&self, domain: &str, instance: &str) -> bool {
        !self.domains_out.contains(domain) && !self.instances_out.contains(instance)
    }

    /// The configuration after a record, if the record is accepted.
    ///
    /// # Errors
    ///
    /// The [`Rejection`] that its author is told.
    pub fn apply_record(&self, record: &ConfigRecord) -> Result<Self, Rejection> {
        if record.expected_version != self.version {
            return Err(Rejection::VersionConflict {
                expected: record.expected_version,
                current: self.version,
                author: self.author.clone(),
            });
        }
        record.check().map_err(|faults| Rejection::Invalid {
            faults: faults.chars().take(FAULTS_MAX_CHARS).collect(),
        })?;
        let mut next = self.clone();
        next.apply(&record.change);
        if next == *self
            && next
                .plans
                .workspaces
                .keys()
                .eq(self.plans.workspaces.keys())
        {
            return Err(Rejection::NoEffect);
        }
        next.version += 1;
        next.author.clone_from(&record.author);
        next.written_ms = record.written_ms;
        Ok(next)
    }

    fn apply(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::Plans(plans) => self.plans = plans.clone(),
            ConfigChange::Entitlements(list) => self.entitlements = list.clone(),
            ConfigChange::DomainOut(name) => {
                self.domains_out.insert(name.clone());
            }
            ConfigChange::DomainIn(name) => {
                self.domains_out.remove(name);
            }
            ConfigChange::InstanceOut(name) => {
                self.instances_out.insert(name.clone());
            }
            ConfigChange::InstanceIn(name) => {
                self.instances_out.remove(name);
            }
        }
    }
}
