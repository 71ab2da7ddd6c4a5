//! Permits that this daemon holds for one server.

use super::issuer::{BATCH_TIME, BURST, CONTROL_DEBT, PAUSE_MAX};
use super::message::PermitPurpose;
use crate::request_limit::RequestRate;
use crate::share_budget::ShareBudget;
use std::time::Duration;

/// Time for which permits that were not used at once stay valid.
const VALID_FOR: Duration = Duration::from_millis(200);
/// Time for which an issuer that did not answer is not asked again.
const SILENT_ISSUER_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause that is kept. The pause of an issuer is shorter, also with this daemon's jitter;
/// a longer one comes from a damaged or forged datagram.
const KEPT_PAUSE_MAX: Duration = PAUSE_MAX.saturating_mul(2);

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// A permit is available.
    Available,
    /// The issuer must be asked for a permit.
    MustAsk,
    /// No request may be sent for this time.
    Paused(Duration),
}

/// Outcome of a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// This many requests may be sent, at least one.
    Granted(u32),
    /// No request may be sent for this time.
    Denied(Duration),
    /// The issuer is not known or has not answered.
    NoAnswer,
}

/// Permits of this daemon for one server, and when it may ask for more.
#[derive(Clone, Copy, Debug, Default)]
pub struct PermitHolder {
    permits: u32,
    valid_until: Duration,
    paused_until: Duration,
    silent_until: Duration,
    /// This daemon's share of the server's rate, used while the issuer does not answer.
    own_share: Option<ShareBudget>,
}

impl PermitHolder {
    /// Returns whether a request may be sent to a server that takes `limit` from all daemons
    /// together. `share` is this daemon's share of the fleet, from 0 to 1.
    pub fn state(&mut self, limit: RequestRate, share: f64, now: Duration) -> PermitState {
        if self.permits > 0 && now < self.valid_until {
            return PermitState::Available;
        }
        if now < self.silent_until {
            let own_share = self.own_share.as_mut();
            let is_allowed =
                own_share.is_some_and(|budget| budget.allows(limit.per_s(), share, now));
            return if is_allowed {
                PermitState::Available
            } else {
                PermitState::Paused(self.silent_until - now)
            };
        }
        if now < self.paused_until {
            return PermitState::Paused(self.paused_until - now);
        }
        PermitState::MustAsk
    }

    /// Takes a permit for a client's request and returns whether one was available.
    pub fn take(&mut self, limit: RequestRate, share: f64, now: Duration) -> bool {
        self.take_for(PermitPurpose::Request, limit, share, now)
    }

    /// Takes the permits for a purpose and returns whether they were available. Of this daemon's
    /// own share, a few permits for control calls are taken ahead of time: only one daemon sends
    /// such calls.
    pub fn take_for(
        &mut self,
        purpose: PermitPurpose,
        limit: RequestRate,
        share: f64,
        now: Duration,
    ) -> bool {
        let (wanted, debt) = match purpose {
            PermitPurpose::Request => (1, 0.0),
            PermitPurpose::Control { calls } => (calls, CONTROL_DEBT),
        };
        if self.permits >= wanted && now < self.valid_until {
            self.permits -= wanted;
            return true;
        }
        let is_silent = now < self.silent_until;
        let own_share = self.own_share.as_mut().filter(|_| is_silent);
        own_share.is_some_and(|budget| budget.take_ahead(wanted, debt, limit.per_s(), share, now))
    }

    /// Applies the outcome of a request for permits for a server that takes `limit` from all daemons
    /// together. The reply is bounded by what an issuer can grant and ask for.
    pub fn on_outcome(&mut self, outcome: PermitOutcome, limit: RequestRate, now: Duration) {
        match outcome {
            PermitOutcome::Granted(permits) => self.on_granted(permits, limit, now),
            PermitOutcome::Denied(pause) => {
                let pause_end = now + pause.min(KEPT_PAUSE_MAX);
                self.paused_until = self.paused_until.max(pause_end);
            }
            PermitOutcome::NoAnswer => self.silent_until = now + SILENT_ISSUER_PAUSE,
        }
        self.own_share = match outcome {
            PermitOutcome::NoAnswer => self.own_share.or(Some(ShareBudget::new(now))),
            PermitOutcome::Granted(_) | PermitOutcome::Denied(_) => None,
        };
    }

    fn on_granted(&mut self, permits: u32, limit: RequestRate, now: Duration) {
        if now >= self.valid_until {
            self.permits = 0;
        }
        let permits = self.permits.saturating_add(permits);
        self.permits = permits.min(held_permits_max(limit));
        self.valid_until = now + VALID_FOR;
    }
}

/// Returns the most permits that an issuer grants within [`VALID_FOR`].
fn held_permits_max(limit: RequestRate) -> u32 {
    let refilled = limit.per_s() * (BATCH_TIME + VALID_FOR).as_secs_f64();
    (BURST + CONTROL_DEBT + refilled).ceil() as u32
}
