//! What the errors of engines tell about the engines.

use anvilgw_core::Stage;
use anvilgw_platform::{EngineError, TransportCause};
use anvilgw_router::SendOutcome;

/// Returns what an error says about the server. Status 4xx is caused by the request and says
/// nothing about the server, so it counts as cancelled.
pub(super) fn send_outcome(error: &EngineError) -> SendOutcome {
    match error {
        EngineError::Refused(503, _) => SendOutcome::Overloaded,
        EngineError::Refused(400..500, _) => SendOutcome::Cancelled,
        _ => SendOutcome::Failed,
    }
}

/// Returns whether the connection ended before the answer did, as it does when the engine ends.
pub(super) fn is_broken_answer(error: &EngineError) -> bool {
    match error {
        EngineError::Transport(error) => {
            let is_late = matches!(
                error.cause(),
                TransportCause::Silent(_) | TransportCause::TimedOut
            );
            error.stage() >= Stage::Written && !is_late
        }
        EngineError::MissingEndMarker => true,
        _ => false,
    }
}
