//! Issues the permits for the servers for which this daemon is the issuer.

use super::message::PermitPurpose;
use crate::request_limit::RequestRate;
use indexmap::IndexMap;
use std::time::Duration;

/// Fraction of a server's rate for which permits are issued while all daemons agree on the issuer.
/// The rest covers requests that arrive closer together than they were sent.
const FRACTION_SETTLED: f64 = 0.9;
/// The same while they may not agree. Two issuers together then exceed the rate by less than a
/// half.
const FRACTION_UNSETTLED: f64 = 0.7;
/// Permits that can accumulate, besides those of [`BATCH_TIME`].
pub(super) const BURST: f64 = 2.0;
/// Time for which permits are issued together to one daemon, so that a high rate does not cost a
/// message for each request.
pub(super) const BATCH_TIME: Duration = Duration::from_millis(100);
/// Number of permits for control calls that are issued ahead of time.
pub(super) const CONTROL_DEBT: f64 = 2.0;
/// Requests for permits that the issuer aims to deny for each one that it grants. With fewer, a
/// permit waits for a request; each more costs a message.
const DENIALS_PER_GRANT: f64 = 2.0;
/// Limits of the pause after a denial.
const PAUSE_MIN: Duration = Duration::from_millis(20);
pub(super) const PAUSE_MAX: Duration = Duration::from_secs(5);
/// Time without a request for permits after which the state of a server is dropped.
const IDLE_MAX: Duration = Duration::from_secs(60);

/// Rate at which permits for a server are issued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Rate that the server takes from all daemons together.
    pub limit: RequestRate,
    /// Whether all daemons agree on who issues the permits.
    pub is_settled: bool,
}

impl Rate {
    fn per_s(self) -> f64 {
        let fraction = if self.is_settled {
            FRACTION_SETTLED
        } else {
            FRACTION_UNSETTLED
        };
        self.limit.per_s() * fraction
    }
}

/// Decision on a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// This many requests may be sent, at least one.
    Granted(u32),
    /// No request may be sent. A permit should be requested again after this time.
    Denied(Duration),
}

/// Permits of one server.
#[derive(Clone, Copy, Debug)]
struct ServerPermits {
    /// Permits that can be issued now. Negative if some were issued ahead of time.
    available: f64,
    per_s: f64,
    refilled_at: Duration,
    /// Requests for permits that were denied since the last grant.
    denied: u32,
}

impl ServerPermits {
    fn new(per_s: f64, now: Duration) -> Self {
        Self {
            // Another daemon may have issued permits just before.
            available: 0.0,
            per_s,
            refilled_at: now,
            denied: 0,
        }
    }

    fn refill(&mut self, per_s: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        // The rate has changed at an unknown time since the last refill.
        let per_s_since = per_s.min(self.per_s);
        let capacity = BURST + per_s * BATCH_TIME.as_secs_f64();
        self.available = (self.available + elapsed_s * per_s_since).min(capacity);
        self.per_s = per_s;
        self.refilled_at = now;
    }

    fn grant(&mut self, purpose: PermitPurpose) -> Option<u32> {
        let (granted, least) = match purpose {
            PermitPurpose::Request => {
                let batch = (self.per_s * BATCH_TIME.as_secs_f64()).max(1.0);
                (batch.min(self.available.max(1.0)).floor(), 0.0)
            }
            PermitPurpose::Control { calls } => (f64::from(calls), -CONTROL_DEBT),
        };
        if self.available - granted < least {
            return None;
        }
        self.available -= granted;
        self.denied = 0;
        Some(granted as u32)
    }

    /// Returns the pause after a denial. It grows with the number of denials, so that requests for
    /// permits do not outnumber the permits by far, however many daemons there are.
    fn deny(&mut self) -> Duration {
        let missing = 1.0 - self.available;
        let due = missing + f64::from(self.denied) / DENIALS_PER_GRANT;
        self.denied += 1;
        let pause = Duration::try_from_secs_f64(due / self.per_s).unwrap_or(PAUSE_MAX);
        pause.clamp(PAUSE_MIN, PAUSE_MAX)
    }
}

/// Issues permits to all daemons. For each server it is a token bucket that is filled at
/// `FRACTION_SETTLED` of the server's rate, or at `FRACTION_UNSETTLED` while other daemons may take
/// another one for the issuer.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    servers: IndexMap<u64, ServerPermits>,
}

impl PermitIssuer {
    /// Decides on a request for a permit.
    pub fn decide(
        &mut self,
        server_hash: u64,
        rate: Rate,
        purpose: PermitPurpose,
        now: Duration,
    ) -> Decision {
        let per_s = rate.per_s();
        let is_new = !self.servers.contains_key(&server_hash);
        if is_new {
            self.servers
                .retain(|_, server| now.saturating_sub(server.refilled_at) < IDLE_MAX);
        }
        let server = self.servers.entry(server_hash);
        let server = server.or_insert_with(|| ServerPermits::new(per_s, now));
        server.refill(per_s, now);
        match server.grant(purpose) {
            Some(permits) => Decision::Granted(permits),
            None => Decision::Denied(server.deny()),
        }
    }
}
