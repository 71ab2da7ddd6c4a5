//! Limit on the requests per second that a backend server takes from all daemons together, as the
//! server names it in its answers.

use bincode::{Decode, Encode};
use std::time::Duration;

/// Number of [`RequestRate`] units in one request per second.
const UNITS_PER_REQUEST: f64 = 1000.0;
/// Time after the last answer that named a limit during which answers without one do not end it.
/// Answers on different connections overtake each other, and a server may not name its limit in
/// every answer.
const LIMIT_HOLD: Duration = Duration::from_secs(1);

/// Least rate at which a server is used, whatever limit it names. Only its answers tell when the
/// limit has ended.
const RATE_MIN: RequestRate = RequestRate(200);

/// Rate in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate from requests per second. Returns `None` unless the number is at least 0. A
    /// rate that is too large to represent becomes the largest one.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s >= 0.0).then_some(Self((per_s * UNITS_PER_REQUEST) as u64))
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }
}

/// How this daemon has learned a statement of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementSource {
    /// From an answer of the server.
    Answer,
    /// From a daemon of the group that this daemon leads.
    Follower,
    /// From another daemon, which has told the whole fleet or its group's leaders.
    Fleet,
}

/// What a server stated about its limit at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatement {
    /// The limit, or `None` if the server stated that it has none.
    pub limit: Option<RequestRate>,
    /// Uptime of this daemon at which the server stated it.
    pub stated_at: Duration,
    /// How this daemon has learned it.
    pub source: StatementSource,
}

/// Newest known statement of one server about its limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLimit {
    newest: Option<LimitStatement>,
    changed_at: Duration,
}

impl RequestLimit {
    /// Records that an answer of the server named a limit, and returns whether that changes the
    /// limit in force.
    pub fn on_named(&mut self, limit: RequestRate, now: Duration) -> bool {
        self.on_answer(Some(limit), now)
    }

    /// Records that the server answered a request with success and without naming a limit, and
    /// returns whether that ends a limit.
    pub fn on_not_named(&mut self, now: Duration) -> bool {
        let Some(newest) = self.newest else {
            return false;
        };
        if newest.limit.is_none() || now < newest.stated_at + LIMIT_HOLD {
            return false;
        }
        self.on_answer(None, now)
    }

    fn on_answer(&mut self, limit: Option<RequestRate>, now: Duration) -> bool {
        let statement = LimitStatement {
            limit,
            stated_at: now,
            source: StatementSource::Answer,
        };
        self.on_statement(statement, now)
    }

    /// Applies a statement unless a newer one is known, and returns whether that changes the limit
    /// in force.
    pub fn on_statement(&mut self, statement: LimitStatement, now: Duration) -> bool {
        let is_newest = self
            .newest
            .is_none_or(|newest| newest.stated_at <= statement.stated_at);
        if !is_newest {
            return false;
        }
        let is_changed = self.in_force() != statement.limit;
        self.newest = Some(statement);
        if is_changed {
            self.changed_at = now;
        }
        is_changed
    }

    /// Returns the limit in force, if the server has one.
    #[must_use]
    pub fn in_force(&self) -> Option<RequestRate> {
        self.newest?.limit
    }

    /// Returns the rate at which all daemons together may send requests, or `None` if it is not
    /// limited.
    #[must_use]
    pub fn allowed_rate(&self) -> Option<RequestRate> {
        self.in_force().map(|limit| limit.max(RATE_MIN))
    }

    /// Returns when the limit in force last changed, as far as this daemon knows.
    #[must_use]
    pub fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// Returns the newest statement, if the server has ever named a limit.
    #[must_use]
    pub fn newest(&self) -> Option<LimitStatement> {
        self.newest
    }
}
