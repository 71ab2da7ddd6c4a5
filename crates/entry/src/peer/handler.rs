//! Handler of calls that other daemons send to this one.

use super::messages::{PeerAnswer, PeerRequest, decode, encode};
use super::transport::PeerHandler;
use crate::duties::claims::ClaimsService;
use crate::duties::control::{ControlService, SharedBudgets};
use anvilgw_claims::Record;
use bytes::Bytes;
use std::pin::Pin;
use std::sync::Arc;

/// Passes calls of other daemons to the services of this daemon.
pub(crate) struct PeerRequestHandler {
    /// Answers claims and records their outcomes.
    pub(crate) claims: Arc<ClaimsService>,
    /// Answers requests for configuration changes.
    pub(crate) control: Arc<ControlService>,
    /// Transfers shares of budgets between daemons.
    pub(crate) budgets: Arc<SharedBudgets>,
}

impl PeerHandler for PeerRequestHandler {
    fn handle(&self, message: Bytes) -> Pin<Box<dyn Future<Output = Option<Vec<u8>>> + Send + '_>> {
        Box::pin(async move {
            let request = decode(&message)?;
            Some(encode(&self.answer(request).await))
        })
    }
}

impl PeerRequestHandler {
    async fn answer(&self, request: PeerRequest) -> PeerAnswer {
        match request {
            PeerRequest::ConfigSince { version } => {
                let update = self.control.config_since(version).await;
                match update.map(|update| serde_json::to_vec(&update)) {
                    Some(Ok(json)) => PeerAnswer::Config(json),
                    _ => PeerAnswer::Unavailable,
                }
            }
            PeerRequest::Claim(claim) => PeerAnswer::Verdict(self.claims.claim(claim).await),
            PeerRequest::Record(record) => self.record(record),
            PeerRequest::AskBudget {
                from,
                budget,
                amount,
            } => PeerAnswer::Share(self.budgets.on_share_request(from, budget, amount)),
            PeerRequest::Transfer(transfer) => match self.budgets.on_transfer(&transfer) {
                Ok(()) => PeerAnswer::Taken,
                Err(_) => PeerAnswer::Unavailable,
            },
        }
    }

    fn record(&self, record: Record) -> PeerAnswer {
        if matches!(record, Record::Claim(_)) {
            // Claims need a verdict, so they are sent as `PeerRequest::Claim`.
            return PeerAnswer::Unavailable;
        }
        self.claims.record(record);
        PeerAnswer::Taken
    }
}
