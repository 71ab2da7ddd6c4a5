//! The configuration at one version, and the rules for accepting a change.

use super::canonical_json;
use super::change::{ConfigChange, ConfigRecord, RecordId};
use crate::lists::{Entitlements, Plans};
use anvilgw_core::Offset;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Longest fault text in a rejection. Outcomes are part of snapshots, whose size must stay bounded.
const FAULTS_MAX_CHARS: usize = 1_000;

/// blake3 digest of a configuration, to detect daemons that differ. The same version has the same
/// digest in every daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigDigest(pub [u8; 32]);

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from(self.0).to_hex())
    }
}

/// Configuration at one version, which is the same in every daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigState {
    /// Version: the number of changes accepted so far.
    pub version: u64,
    /// Operator who wrote the last accepted change. Empty at version 0.
    pub author: String,
    /// Time at which the last accepted change was written, in milliseconds since 1970 by the wall
    /// clock of the daemon that received it. Informative only.
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

/// Reason why the fold did not accept a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The expected version is not the current one: another change was accepted first.
    VersionConflict {
        /// Version that the change expected.
        expected: u64,
        /// Version that was current at the offset of the record.
        current: u64,
        /// Operator who wrote the current version.
        author: String,
    },
    /// The record has faults, whatever the current configuration is.
    Invalid {
        /// Text of the faults, cut after 1,000 characters.
        faults: String,
    },
    /// The change would leave the configuration as it is.
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
                "expected version {expected}, but the current version is {current} by {author:?}"
            ),
            Self::Invalid { faults } => write!(f, "the change has faults: {faults}"),
            Self::NoEffect => f.write_str("the change has no effect on the current configuration"),
        }
    }
}

impl std::error::Error for Rejection {}

/// Decision on the change of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The change is part of the configuration from `version` on.
    Accepted {
        /// Version that the change has created.
        version: u64,
    },
    /// The change was not applied.
    Rejected(Rejection),
}

/// Decision on the change of a record, with the identifier and the offset of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordOutcome {
    /// Identifier that the author gave to the change.
    pub record_id: RecordId,
    /// Offset of the first record with this identifier.
    pub offset: Offset,
    /// Decision on the change.
    pub outcome: Outcome,
}

impl ConfigState {
    /// Returns the digest of the whole configuration, including its version and author.
    #[must_use]
    pub fn digest(&self) -> ConfigDigest {
        ConfigDigest(*blake3::hash(&canonical_json(self)).as_bytes())
    }

    /// Returns whether new work may go to an instance of a failure domain, that is, neither of them
    /// is out of service. `instance` is empty for an instance without a name.
    #[must_use]
    pub fn is_in_service(&self, domain: &str, instance: &str) -> bool {
        !self.domains_out.contains(domain) && !self.instances_out.contains(instance)
    }

    /// Returns the configuration after a record, if the record is accepted.
    ///
    /// # Errors
    ///
    /// The [`Rejection`] that is reported to the author.
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
