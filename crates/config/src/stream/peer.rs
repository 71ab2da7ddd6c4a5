//! Updates of the configuration that a daemon sends to peers that are behind.

use super::change::ConfigRecord;
use super::fold::ConfigFold;
use super::mutation::Flaw;
use super::state::{ConfigDigest, ConfigState};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An accepted change, with the digest of the configuration that it led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version after the change.
    pub version: u64,
    /// Digest of the configuration after the change.
    pub digest: ConfigDigest,
    /// The record that carried the change.
    pub record: ConfigRecord,
}

/// Response to a peer that has asked for a configuration newer than its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerUpdate {
    /// The peer has the current version, or a newer one.
    Nothing,
    /// All changes after the peer's version, oldest first.
    Changes(Vec<AcceptedChange>),
    /// The whole configuration, if not all of these changes are retained.
    Full {
        /// Current configuration of the sender.
        state: ConfigState,
        /// Digest of `state`.
        digest: ConfigDigest,
    },
}

quick_error! {
    /// Reason why an update from a peer was not applied, not even in part.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PeerUpdateError {
        /// The first change does not follow the current version, or a change is missing between
        /// two.
        NotConsecutive(current: u64, received: u64) {
            display("version {} does not follow version {}", received, current)
        }
        /// The receiver rejects a change that the peer has accepted.
        NotAccepted(version: u64, reason: String) {
            display("the change to version {} is rejected: {}", version, reason)
        }
        /// The content does not match the digest that the peer has sent.
        WrongDigest(version: u64) {
            display("the digest of version {} differs from the one that the peer sent", version)
        }
    }
}

impl ConfigFold {
    /// Returns what a peer needs to advance from `version` to the current version.
    #[must_use]
    pub fn update_since(&self, version: u64) -> PeerUpdate {
        let current = self.current();
        if version >= current.version {
            return PeerUpdate::Nothing;
        }
        let is_retained = self
            .changes
            .front()
            .is_some_and(|oldest| oldest.version <= version + 1);
        if is_retained
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
    /// increased; an update that is not newer changes nothing.
    ///
    /// # Errors
    ///
    /// [`PeerUpdateError`] if the update is inconsistent; the fold is then unchanged.
    pub fn apply_update(&mut self, update: PeerUpdate) -> Result<bool, PeerUpdateError> {
        match update {
            PeerUpdate::Nothing => Ok(false),
            PeerUpdate::Full { state, digest } => {
                if state.digest() != digest {
                    return Err(PeerUpdateError::WrongDigest(state.version));
                }
                let newer = state.version > self.current().version
                    || self.flaw == Some(Flaw::OlderUpdateApplied);
                if newer {
                    self.newer_state = Some(Arc::new(state));
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
            state = state.apply_record(&change.record).map_err(|rejection| {
                PeerUpdateError::NotAccepted(change.version, rejection.to_string())
            })?;
            if state.digest() != change.digest {
                return Err(PeerUpdateError::WrongDigest(change.version));
            }
        }
        let is_newer = state.version > current.version;
        if is_newer {
            self.newer_state = Some(Arc::new(state));
            newer
                .into_iter()
                .for_each(|change| self.retain_change(change));
        }
        Ok(is_newer)
    }
}
