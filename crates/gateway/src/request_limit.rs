//! Limit on the requests per second that a backend server takes from all daemons together, as the
//! server names it in its answers.

use std::time::Duration;

/// Number of [`RequestRate`] units in one request per second.
const UNITS_PER_REQUEST: f64 = 1000.0;
/// Time after the last answer that named a limit during which answers without one do not end it.
/// Answers on different connections overtake each other, and a server may not name its limit in
/// every answer.
const LIMIT_HOLD: Duration = Duration::from_secs(1);

/// Rate in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
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

/// What a server stated about its limit at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatement {
    /// The limit, or `None` if the server stated that it has none.
    pub limit: Option<RequestRate>,
    /// Uptime of this daemon at which the server stated it.
    pub stated_at: Duration,
}

/// Newest known statement of one server about its limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLimit {
    newest: Option<LimitStatement>,
}

impl RequestLimit {
    /// Records that an answer of the server named a limit, and returns whether that changes the
    /// limit in force.
    pub fn on_named(&mut self, limit: RequestRate, now: Duration) -> bool {
        self.on_statement(LimitStatement {
            limit: Some(limit),
            stated_at: now,
        })
    }

    /// Records that the server answered a request without naming a limit, and returns whether that
    /// ends a limit.
    pub fn on_not_named(&mut self, now: Duration) -> bool {
        let Some(newest) = self.newest else {
            return false;
        };
        if newest.limit.is_none() || now < newest.stated_at + LIMIT_HOLD {
            return false;
        }
        self.on_statement(LimitStatement {
            limit: None,
            stated_at: now,
        })
    }

    /// Applies a statement unless a newer one is known, and returns whether that changes the limit
    /// in force.
    pub fn on_statement(&mut self, statement: LimitStatement) -> bool {
        let is_newest = self
            .newest
            .is_none_or(|newest| newest.stated_at <= statement.stated_at);
        if !is_newest {
            return false;
        }
        let replaced = self.in_force();
        self.newest = Some(statement);
        replaced != statement.limit
    }

    /// Returns the limit in force, if the server has one.
    #[must_use]
    pub fn in_force(&self) -> Option<RequestRate> {
        self.newest?.limit
    }

    /// Returns the newest statement, if the server has ever named a limit.
    #[must_use]
    pub fn newest(&self) -> Option<LimitStatement> {
        self.newest
    }
}
