//! Decides which share of the requests leaves the zone (failure domain) in which their data is.
//!
//! Leaving costs time and money: messages and cached prompt parts cross the link between two zones.
//! It pays off if callers save more time than that. The share that leaves grows and shrinks in
//! small steps, in proportion to how uneven the zones are, and each request draws its own random
//! number, so that daemons with the same view do not all send their requests away or back at once.
//! Nothing moves to a zone that is itself under pressure.

use indexmap::IndexMap;
use std::time::Duration;

/// Time between two updates of the shares.
const UPDATE_PERIOD: Duration = Duration::from_millis(250);
/// Time by which callers have to save more than the costs before the first requests leave, in
/// milliseconds. They continue to leave until the savings no longer cover the costs.
const LEAVE_MARGIN_MS: f64 = 40.0;
/// Pressure of a zone from which requests may begin to leave it.
const LEAVE_PRESSURE: f64 = 0.8;
/// Pressure of a zone up to which more requests may move to it.
const ACCEPTING_PRESSURE_MAX: f64 = 0.75;
/// Pressure of a zone from which none move to it.
const FULL_PRESSURE: f64 = 0.9;
/// Fraction of the relative difference in pressure by which the share grows in one update.
const GROWTH: f64 = 0.025;
/// Decrease of a share in one update once leaving no longer pays off.
const DECREASE: f64 = 0.004;
/// Factor of a share in one update while the pressure of its target is between
/// [`ACCEPTING_PRESSURE_MAX`] and [`FULL_PRESSURE`].
const BACK_OFF_FACTOR: f64 = 0.9;
/// Largest share of a zone's requests that leaves for one other zone.
const SHARE_MAX: f64 = 0.5;
/// Share below which nothing leaves.
const SHARE_MIN: f64 = 0.004;

/// What is expected of the servers of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneEstimate {
    /// Mean time until a server of the zone begins with a request, in milliseconds.
    pub start_ms: f64,
    /// Share of the zone's capacity that is taken. It exceeds 1 while requests wait.
    pub pressure: f64,
}

/// What it costs if a request leaves its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCost {
    /// Additional time of messages and transfers, in milliseconds.
    pub extra_ms: f64,
    /// Price of the bytes, as the time in milliseconds that callers have to save for it.
    pub price_ms: f64,
}

impl ZoneCost {
    fn total_ms(&self) -> f64 {
        self.extra_ms + self.price_ms
    }
}

/// Share of the requests of one zone that leaves for another one.
#[derive(Clone, Debug)]
struct LeavingShare {
    from: String,
    to: String,
    share: f64,
}

/// A pair of zones between which requests begin or cease to leave.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneChange {
    /// Zone that requests leave.
    pub from: String,
    /// Zone for which they leave.
    pub to: String,
    /// Whether some leave from now on.
    pub leaves: bool,
    /// What is expected of the zone that they leave.
    pub home: ZoneEstimate,
    /// What is expected of the other zone.
    pub other: ZoneEstimate,
}

/// Choice of zones for the requests of one service.
#[derive(Clone, Debug, Default)]
pub struct ZoneChoice {
    estimates: IndexMap<String, ZoneEstimate>,
    shares: Vec<LeavingShare>,
    updated_at: Option<Duration>,
}

impl ZoneChoice {
    /// Returns whether the shares are to be updated.
    #[must_use]
    pub fn is_update_due(&self, now: Duration) -> bool {
        self.updated_at
            .is_none_or(|updated_at| now >= updated_at + UPDATE_PERIOD)
    }

    /// Updates the shares with new estimates of all zones that have usable servers. Shares from and
    /// to other zones are dropped. Returns the pairs of these zones between which requests begin or
    /// cease to leave.
    pub fn update(
        &mut self,
        estimates: IndexMap<String, ZoneEstimate>,
        cost: ZoneCost,
        now: Duration,
    ) -> Vec<ZoneChange> {
        self.updated_at = Some(now);
        let (mut shares, mut changes) = (Vec::new(), Vec::new());
        for (from, home) in &estimates {
            for (to, other) in estimates.iter().filter(|(to, _)| *to != from) {
                let before = self.share(from, to);
                let share = next_share(before, *home, *other, cost);
                let leaves = share >= SHARE_MIN;
                if leaves != (before > 0.0) {
                    changes.push(ZoneChange {
                        from: from.clone(),
                        to: to.clone(),
                        leaves,
                        home: *home,
                        other: *other,
                    });
                }
                if leaves {
                    shares.push(LeavingShare {
                        from: from.clone(),
                        to: to.clone(),
                        share,
                    });
                }
            }
        }
        self.shares = shares;
        self.estimates = estimates;
        changes
    }

    /// Returns the share of the requests of the zone `from` that leaves for the zone `to`.
    #[must_use]
    pub fn share(&self, from: &str, to: &str) -> f64 {
        let mut shares = self.shares.iter();
        let share = shares.find(|share| share.from == from && share.to == to);
        share.map_or(0.0, |share| share.share)
    }

    /// Returns the zone for which a request of the zone `from` leaves, or `None` if it stays. `draw`
    /// is a random number from 0 to 1.
    #[must_use]
    pub fn target(&self, from: &str, draw: f64) -> Option<&str> {
        let mut total = 0.0;
        let leaving = self.shares.iter().filter(|share| share.from == from);
        for share in leaving {
            total += share.share;
            if draw < total {
                return Some(&share.to);
            }
        }
        None
    }

    /// Returns whether a zone is under pressure, so that no request may move to it.
    #[must_use]
    pub fn is_full(&self, zone: &str) -> bool {
        let estimate = self.estimates.get(zone);
        estimate.is_none_or(|estimate| estimate.pressure >= FULL_PRESSURE)
    }
}

/// Returns the share after an update.
fn next_share(share: f64, home: ZoneEstimate, other: ZoneEstimate, cost: ZoneCost) -> f64 {
    let saved_ms = home.start_ms - other.start_ms - cost.total_ms();
    let pays_off = if share > 0.0 {
        saved_ms > 0.0
    } else {
        saved_ms > LEAVE_MARGIN_MS && home.pressure >= LEAVE_PRESSURE
    };
    let unevenness = (home.pressure - other.pressure) / home.pressure.max(LEAVE_PRESSURE);
    let next = if other.pressure >= FULL_PRESSURE {
        0.0
    } else if other.pressure >= ACCEPTING_PRESSURE_MAX {
        share * BACK_OFF_FACTOR
    } else if pays_off {
        share + GROWTH * unevenness.max(0.0)
    } else {
        share - DECREASE
    };
    next.clamp(0.0, SHARE_MAX)
}
