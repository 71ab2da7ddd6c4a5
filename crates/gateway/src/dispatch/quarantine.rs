//! Keeps prompts with quarantined parts from backend servers.

use super::routed_request::RoutedRequest;
use crate::gateway::Gateway;
use crate::log::Event;
use crate::ports::{AppendOutcome, KeyedBytes};
use crate::retry::AttemptError;
use anvilgw_quarantine::record::KeyedRecord;
use anvilgw_quarantine::{Admission, PartKey, UNCLAIMED_RETRY_AFTER};
use std::time::Duration;

/// Refuses a request with a quarantined part, unless a trial of the part is due.
pub(super) fn check_quarantine(
    gateway: &Gateway,
    routed: &RoutedRequest,
) -> Result<(), AttemptError> {
    match admission(gateway, routed) {
        Admission::Allowed | Admission::TrialDue(_) => Ok(()),
        Admission::Refused { retry_after } => Err(refused(gateway, retry_after)),
    }
}

/// Does the same immediately before the request is sent, and claims the trial if one is due. Only
/// one request of the fleet gets it.
pub(super) async fn enter_quarantine(
    gateway: &Gateway,
    routed: &RoutedRequest,
) -> Result<(), AttemptError> {
    match admission(gateway, routed) {
        Admission::Allowed => Ok(()),
        Admission::Refused { retry_after } => Err(refused(gateway, retry_after)),
        Admission::TrialDue(part) if claim_trial(gateway, part).await => Ok(()),
        Admission::TrialDue(_) => Err(refused(gateway, UNCLAIMED_RETRY_AFTER)),
    }
}

/// Returns whether a request whose answer broke off may be sent to another server.
pub(crate) fn may_repeat_after_end(gateway: &Gateway, routed: &RoutedRequest) -> bool {
    let times = gateway.times();
    let quarantine = &mut gateway.state.borrow_mut().quarantine;
    quarantine.may_repeat(&routed.suspects, times)
}

fn admission(gateway: &Gateway, routed: &RoutedRequest) -> Admission {
    if routed.suspects.is_empty() {
        return Admission::Allowed;
    }
    let times = gateway.times();
    let quarantine = &mut gateway.state.borrow_mut().quarantine;
    quarantine.admit(&routed.suspects, times)
}

fn refused(gateway: &Gateway, retry_after: Duration) -> AttemptError {
    gateway.metrics.count("requests_quarantined");
    AttemptError::Quarantined(retry_after)
}

/// Claims the trial of a part. The append succeeds only if no other daemon has written since this
/// one has read the log.
async fn claim_trial(gateway: &Gateway, part: PartKey) -> bool {
    let times = gateway.times();
    let (record, at) = {
        let quarantine = &mut gateway.state.borrow_mut().quarantine;
        quarantine.claim_trial(part, times)
    };
    let Some(bytes) = encode_record(&record) else {
        return false;
    };
    let store = &gateway.ports.metadata_store;
    let outcome = store.append_evidence(Some(at.offset), vec![bytes]).await;
    let is_claimed = match outcome {
        Ok(AppendOutcome::Stored(stored)) => {
            let quarantine = &mut gateway.state.borrow_mut().quarantine;
            quarantine.on_claim_stored(&record, at, stored, times.uptime)
        }
        Ok(AppendOutcome::Conflict(_)) | Err(_) => false,
    };
    // The log has grown, or a read notices that the store was restored.
    gateway.evidence_news.notify_one();
    if is_claimed {
        gateway.metrics.count("quarantine_trials");
        gateway.log_notable(&Event::Quarantine {
            change: "trial",
            parts: &[part.to_string()],
            ends: None,
            workspaces: None,
        });
    }
    is_claimed
}

/// Encodes a record for the log, or returns `None` if it cannot be encoded.
pub(crate) fn encode_record(record: &KeyedRecord) -> Option<KeyedBytes> {
    let value = match &record.record {
        Some(record) => record.encode().ok()?,
        None => Vec::new(),
    };
    Some(KeyedBytes {
        key: record.key.to_string(),
        value: value.into(),
    })
}
