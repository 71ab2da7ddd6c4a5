//! Decides whether a prompt is admitted while the engines of its service are busy.
//!
//! The measure is the estimated start: the median over the usable servers of the time until they
//! begin with a prompt that arrives now. It does not depend on the prompt itself, so large prompts
//! are rejected no more often than small ones. Each urgency has a limit for it. Near the limit a
//! random part of the prompts is admitted, so that daemons with the same view do not all begin or
//! cease to reject at once.

use crate::server_speed::ServiceSpeed;
use crate::start_estimate::{ServerWork, StartEstimate};
use crate::workspace_shares::WorkspaceShares;
use std::cell::Cell;
use std::time::Duration;

/// Shortest time after which clients are assumed to give up waiting for the first event of a stream.
const GIVE_UP_MIN: Duration = Duration::from_millis(3200);
/// Number of latency targets after which they are assumed to give up, if that is longer.
const GIVE_UP_TARGETS: u32 = 4;
/// Limit of the most urgent requests, as a fraction of their latency target.
const MOST_URGENT_FRACTION: f64 = 0.9;
/// Limits of less urgent requests, as fractions of the shortest latency target of the more urgent
/// ones, by the number of more urgent levels.
const LESS_URGENT_FRACTIONS: [f64; 3] = [0.45, 0.38, 0.3];
/// Largest fraction of their own latency target for such requests.
const OWN_TARGET_FRACTION: f64 = 0.8;
/// Fraction of the limit up to which all requests are admitted.
const ADMITTED_FRACTION: f64 = 0.6;
/// Multiple of the limit from which none is admitted.
const REJECTED_FACTOR: f64 = 1.4;
/// Number of levels of urgency that are distinguished.
const LEVELS: usize = LESS_URGENT_FRACTIONS.len() + 1;
/// Largest increase of the share of rejected requests of the most urgent level per second, so
/// that a short load spike ends before they are rejected.
const MOST_URGENT_RISE_PER_S: f64 = 2.0;
/// Longest time since the last request that the rise is computed from, in seconds. Otherwise the
/// share could rise to its maximum with the first request after a pause.
const RISE_AGE_MAX_S: f64 = 0.1;
/// Decrease of the share of rejected requests per second, by level. More urgent ones are admitted
/// again first.
const FALL_PER_S: [f64; LEVELS] = [5.0, 1.5, 0.7, 0.4];
/// Fraction of the limit below which servers may soon be idle, so that the share of rejected
/// requests falls faster.
const DRAINED_FRACTION: f64 = 0.2;
/// Smallest decrease of the share per second in that case.
const DRAINED_FALL_MIN_PER_S: f64 = 2.0;
/// Largest share of rejected requests of a level, so that no level is starved.
const REJECTED_SHARE_MAX: f64 = 0.97;
/// Fraction of the slots below which nothing is rejected unless requests wait.
const SLOTS_TAKEN_MIN: f64 = 0.5;
/// Fraction of its latency target for which a less urgent request waits for memory while servers
/// are busy.
const BUSY_MEMORY_WAIT: f64 = 0.08;
/// Number of latency targets for which the most urgent requests wait for memory while servers are
/// busy, and less urgent ones while they are not.
const MEMORY_WAIT: f64 = 1.0;
/// Number of latency targets for which the most urgent requests wait while servers are not busy.
const IDLE_MEMORY_WAIT: f64 = 2.5;
/// Fraction of an engine's memory that a request leaves free for each more urgent level.
const MEMORY_LEVEL_FRACTION: f64 = 0.04;
/// Fraction of the mean time for which a request occupies an engine, after which some memory is
/// expected to be free.
const FREED_AFTER_HOLDS: f64 = 0.25;
/// Assumed time until a service whose servers are all full can take a request again.
const FULL_START: Duration = Duration::from_millis(150);
/// Time without a rejection after which an overload is over.
const OVERLOAD_GAP: Duration = Duration::from_secs(2);
/// Time after a rejection for which daemons report what workspaces claim, and less urgent requests
/// leave memory free.
const RECENT_TIME: Duration = Duration::from_secs(10);
/// Shortest range over which the times of retries are spread.
const RETRY_SPREAD_MIN: Duration = Duration::from_millis(300);
/// Shortest time after which a client is asked to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Fraction of the time until the deadline for which clients wait at most before a retry.
const RETRY_TIME_FRACTION: f64 = 0.32;

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Requests that are more urgent than the one to decide on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoreUrgent {
    /// Their shortest latency target.
    pub latency_target: Duration,
    /// Number of their levels, from 1.
    pub levels: usize,
}

impl MoreUrgent {
    /// Returns the more urgent ones among the routes of a service, given by their urgency and
    /// latency target. `None` if there are none.
    #[must_use]
    pub fn among(routes: impl Iterator<Item = (u8, Duration)>, urgency: u8) -> Option<Self> {
        let mut more_urgent: Vec<(u8, Duration)> =
            routes.filter(|(other, _)| *other < urgency).collect();
        let latency_target = more_urgent.iter().map(|(_, target)| *target).min()?;
        more_urgent.sort_unstable();
        more_urgent.dedup_by_key(|(other, _)| *other);
        Some(Self {
            latency_target,
            levels: more_urgent.len(),
        })
    }

    fn level_index(self) -> usize {
        self.levels.clamp(1, LESS_URGENT_FRACTIONS.len()) - 1
    }
}

/// A request to decide on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Latency target of the request.
    pub latency_target: Duration,
    /// Requests of the service that are more urgent, if there are any.
    pub more_urgent: Option<MoreUrgent>,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time until its deadline.
    pub remaining: Duration,
}

impl Demand {
    /// Returns the time within which the request must begin, so that the client has not given up.
    #[must_use]
    pub fn latest_start(&self) -> Duration {
        let give_up = GIVE_UP_MIN.max(self.latency_target * GIVE_UP_TARGETS);
        give_up.saturating_sub(self.waited).min(self.remaining)
    }

    /// Returns 0 for the most urgent requests and up to 3 for others.
    fn level(&self) -> usize {
        self.more_urgent
            .map_or(0, |more_urgent| more_urgent.level_index() + 1)
    }

    /// Returns the estimated start of the service's servers up to which the request is admitted.
    /// Never longer for a less urgent request than for a more urgent one.
    #[must_use]
    pub fn start_limit(&self) -> Duration {
        match self.more_urgent {
            None => self.latency_target.mul_f64(MOST_URGENT_FRACTION),
            Some(more_urgent) => {
                let fraction = LESS_URGENT_FRACTIONS[more_urgent.level_index()];
                let limit = more_urgent.latency_target.mul_f64(fraction);
                limit.min(self.latency_target.mul_f64(OWN_TARGET_FRACTION))
            }
        }
    }

    /// Returns the time for which the request waits for memory.
    #[must_use]
    pub fn memory_wait(&self, is_busy: bool) -> Duration {
        let targets = match (is_busy, self.more_urgent) {
            (true, Some(_)) => BUSY_MEMORY_WAIT,
            (true, None) | (false, Some(_)) => MEMORY_WAIT,
            (false, None) => IDLE_MEMORY_WAIT,
        };
        self.latency_target.mul_f64(targets)
    }

    /// Returns the rejection of the request if no engine has memory for it. Its limit is the time
    /// for which the request waits before.
    #[must_use]
    pub fn memory_rejection(&self, fleet: &FleetLoad, service: &ServiceSpeed) -> Rejection {
        Rejection {
            reason: RejectReason::Memory,
            start: Duration::from_secs_f64(service.hold_ms() / 1000.0).mul_f64(FREED_AFTER_HOLDS),
            limit: self.memory_wait(fleet.is_busy()),
        }
    }

    /// Returns the fraction of an engine's memory that the request leaves free for more urgent ones
    /// while requests are rejected.
    #[must_use]
    pub fn free_memory_fraction(&self) -> f64 {
        self.level() as f64 * MEMORY_LEVEL_FRACTION
    }
}

/// Load of the servers that a request could be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// Median of the estimated starts, in milliseconds.
    pub start_ms: f64,
    /// Fraction of the slots that are taken.
    pub slots_taken: f64,
    /// Whether requests wait at a server.
    pub is_waiting: bool,
}

impl FleetLoad {
    /// Summarizes the servers with the estimated starts at them.
    #[must_use]
    pub fn of(servers: &[(ServerWork, StartEstimate)]) -> Self {
        let mut starts: Vec<f64> = servers.iter().map(|(_, start)| start.start_ms()).collect();
        let middle = starts.len() / 2;
        let start_ms = match starts.is_empty() {
            true => 0.0,
            false => *starts.select_nth_unstable_by(middle, f64::total_cmp).1,
        };
        let slots: f64 = servers.iter().map(|(work, _)| f64::from(work.slots)).sum();
        let taken = servers
            .iter()
            .map(|(work, _)| work.requests.min(f64::from(work.slots)));
        Self {
            start_ms,
            slots_taken: taken.sum::<f64>() / slots.max(1.0),
            is_waiting: servers.iter().any(|(work, _)| work.waiting > 0),
        }
    }

    /// Returns whether requests may be rejected because of the load.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.is_waiting || self.slots_taken >= SLOTS_TAKEN_MIN
    }
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// No server begins before the client gives up or the deadline passes.
    TooLate,
    /// The estimated start exceeds the limit of the request's urgency.
    StartLimit,
    /// No engine had memory in time.
    Memory,
    /// All servers execute as many requests as they can.
    Full,
}

impl RejectReason {
    /// Returns the name in the log and in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::StartLimit => "start_limit",
            Self::Memory => "memory",
            Self::Full => "full",
        }
    }
}

/// A rejection because of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request is rejected.
    pub reason: RejectReason,
    /// Estimated start of the request.
    pub start: Duration,
    /// Start up to which it would have been admitted.
    pub limit: Duration,
}

impl Rejection {
    /// Returns the rejection of a request because all servers are full.
    #[must_use]
    pub fn all_full() -> Self {
        Self {
            reason: RejectReason::Full,
            start: FULL_START,
            limit: Duration::ZERO,
        }
    }

    /// Returns the time in which the backlog shrinks so far that a request is admitted again.
    #[must_use]
    pub fn drain_time(&self) -> Duration {
        self.start
            .saturating_sub(self.limit.mul_f64(ADMITTED_FRACTION))
    }
}

/// Share of the requests of one level that is rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RejectedShare {
    share: f64,
    at: Duration,
}

/// Shares of rejected requests of one service, by level of urgency. They rise at once and fall
/// slowly: the load is known with a delay, and shares that followed it at once would make the fleet
/// oscillate between admitting and rejecting all requests.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    shares: Cell<[RejectedShare; LEVELS]>,
}

impl Throttle {
    /// Updates the share of the demand's level, and returns the share of requests to reject, from 0
    /// to 1.
    #[must_use]
    pub fn rejected_share(&self, demand: &Demand, fleet: &FleetLoad, now: Duration) -> f64 {
        let relative = fleet.start_ms / millis(demand.start_limit()).max(1.0);
        let excess = (relative - ADMITTED_FRACTION) / (REJECTED_FACTOR - ADMITTED_FRACTION);
        let mut shares = self.shares.get();
        let level = demand.level();
        let held = &mut shares[level];
        let fall_per_s = if relative < DRAINED_FRACTION {
            DRAINED_FALL_MIN_PER_S.max(FALL_PER_S[level])
        } else {
            FALL_PER_S[level]
        };
        let age_s = now.saturating_sub(held.at).as_secs_f64();
        let mut risen = excess.clamp(0.0, REJECTED_SHARE_MAX);
        if level == 0 {
            let rise = MOST_URGENT_RISE_PER_S * age_s.min(RISE_AGE_MAX_S);
            risen = risen.min(held.share + rise);
        }
        held.share = (held.share - fall_per_s * age_s).max(risen);
        held.at = now;
        let share = held.share;
        self.shares.set(shares);
        share
    }
}

/// Decides whether a request is admitted. `rejected_share` is the share of requests like it that is
/// rejected because of the start, `start_ms` the estimated start at the server that was chosen for
/// it, and `draw` a random number from 0 to 1.
///
/// # Errors
///
/// Returns the [`Rejection`] of a request that is not admitted.
pub fn admit(
    demand: &Demand,
    fleet: &FleetLoad,
    rejected_share: f64,
    start_ms: f64,
    draw: f64,
) -> Result<(), Rejection> {
    if !fleet.is_busy() {
        return Ok(());
    }
    let rejection = |reason, start_ms: f64, limit| Rejection {
        reason,
        start: Duration::from_secs_f64(start_ms.max(0.0) / 1000.0),
        limit,
    };
    let latest = demand.latest_start();
    if start_ms > millis(latest) {
        return Err(rejection(RejectReason::TooLate, start_ms, latest));
    }
    if draw < rejected_share {
        let limit = demand.start_limit();
        return Err(rejection(RejectReason::StartLimit, fleet.start_ms, limit));
    }
    Ok(())
}

/// Control of the overload of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceOverload {
    /// Shares of rejected requests.
    pub throttle: Throttle,
    /// When requests were rejected.
    pub span: OverloadSpan,
    /// What workspaces claim.
    pub shares: WorkspaceShares,
}

/// Start and latest rejection of a service's newest overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OverloadSpan {
    began_at: Duration,
    last_at: Option<Duration>,
}

impl OverloadSpan {
    /// Records a rejection. Returns whether it is the first one of an overload.
    pub fn on_rejected(&mut self, now: Duration) -> bool {
        let is_new = self.last_at.is_none_or(|last| now > last + OVERLOAD_GAP);
        if is_new {
            self.began_at = now;
        }
        self.last_at = Some(now);
        is_new
    }

    /// Returns whether a request was rejected lately.
    #[must_use]
    pub fn is_recent(&self, now: Duration) -> bool {
        self.last_at.is_some_and(|last| now < last + RECENT_TIME)
    }

    /// Returns the time after which a client should retry. It is at least the time in which the
    /// backlog shrinks. It is spread over a range that grows with the length of the overload: the
    /// longer it has lasted, the longer it is likely to last. The range ends where clients would no
    /// longer wait. `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn retry_after(
        &self,
        drain: Duration,
        remaining: Duration,
        draw: f64,
        now: Duration,
    ) -> Duration {
        let earliest = drain.max(RETRY_AFTER_MIN);
        let spread = now.saturating_sub(self.began_at).max(RETRY_SPREAD_MIN);
        let latest = (earliest + spread).min(remaining.mul_f64(RETRY_TIME_FRACTION));
        earliest + latest.saturating_sub(earliest).mul_f64(draw)
    }
}
