//! Exchange of the configuration between daemons.

use super::change::ConfigRecord;
use super::fold::ConfigFold;
use super::mutation::Mutation;
use super::state::{ConfigDigest, ConfigState};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A change that was accepted, with the digest of the configuration that it led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version after the change.
    pub version: u64,
    /// Digest of the configuration after the change.
    pub digest: ConfigDigest,
    /// The record that carried the change.
    pub record: ConfigRecord,
}

/// Answer to a peer that has an older configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerUpdate {
    /// The peer is not behind.
    Nothing,
    /// The changes after the peer's version, oldest first.
    Changes(Vec<AcceptedChange>),
    /// The whole configuration, if the changes are no longer kept.
    Full {
        /// The configuration.
        state: ConfigState,
        /// Its digest.
        digest: ConfigDigest,
    },
}

quick_error! {
    /// Why an update from a peer was not applied. Nothing of it was.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PeerUpdateError {
        /// The changes do not continue the own version.
        NotConsecutive(own: u64, received: u64) {
            display("version {} does not follow version {}", received, own)
        }
        /// A change is not accepted by the own rules.
        NotAccepted(version: u64, reason: String) {
            display("the change to version {} is not acceptable: {}", version, reason)
        }
        /// The digest is wrong.
        WrongDigest(version: u64) {
            display("version {} has another digest than the peer says", version)
        }
    }
}

impl ConfigFold {
    /// What a peer with this version has to be told.
    #[must_use]
    pub fn update_since(&self, version: u64) -> PeerUpdate {
        let current = self.current();
        if version >= current.version {
            return PeerUpdate::Nothing;
        }
        let kept = self
            .changes
            .front()
            .is_some_and(|oldest| oldest.version <= version + 1);
        if kept
            && self
                .changes
                .back()
                .is_some_and(|newest| newest.version == current.version)
        {
            let newer = self
                .changes
                .iter()
                .filter(|change| change.version > version);
            return PeerUpdate::Changes(newer.cloned().collect());
        }
        PeerUpdate::Full {
            digest: current.digest(),
            state: ConfigState::clone(&current),
        }
    }

    /// Applies an update from a peer as a whole or not at all. Returns whether the current version
    /// rose; an update that is not newer changes nothing.
    ///
    /// # Errors
    ///
    /// [`PeerUpdateError`] if the update is inconsistent.
    pub fn apply_update(&mut self, update: PeerUpdate) -> Result<bool, PeerUpdateError> {
        match update {
            PeerUpdate::Nothing => Ok(false),
            PeerUpdate::Full { state, digest } => {
                if state.digest() != digest {
                    return Err(PeerUpdateError::WrongDigest(state.version));
                }
                let newer = state.version > self.current().version
                    || self.mutation == Some(Mutation::OlderUpdateApplied);
                if newer {
                    self.ahead = Some(Arc::new(state));
                    self.changes.clear();
                }
                Ok(newer)
            }
            PeerUpdate::Changes(changes) => self.apply_changes(changes),
        }
    }

    fn apply_changes(&mut self, changes: Vec<AcceptedChange>) -> Result<bool, PeerUpdateError> {
        let current = self.current();
        let mut state = ConfigState::clone(&current);
        let newer: Vec<_> = changes
            .into_iter()
            .filter(|change| change.version > current.version)
            .collect();
        for change in &newer {
            if change.version != state.version + 1 {
                return Err(PeerUpdateError::NotConsecutive(
                    state.version,
                    change.version,
                ));
            }
            state = state
                .apply_record(&change.record)
                .map_err(|why| PeerUpdateError::NotAccepted(change.version, why.to_string()))?;
            if state.digest() != change.digest {
                return Err(PeerUpdateError::WrongDigest(change.version));
            }
        }
        let rises = state.version > current.version;
        if rises {
            self.ahead = Some(Arc::new(state));
            newer.into_iter().for_each(|change| self.remember(change));
        }
        Ok(rises)
    }
}
