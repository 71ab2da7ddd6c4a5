//! Compares the answers of the target version with those of the version in force, by route and
//! period.

use super::evidence::{BUCKETS, Evidence, EvidenceRow, RouteKey, Side};
use super::fleet_evidence::FleetEvidence;
use indexmap::{IndexMap, IndexSet};

/// Largest weight, in answers, of the whole time up to now when it is averaged with the answers of
/// the base in one period. A period with few answers alone would give inexact shares.
const PRIOR_ANSWERS: f64 = 50.0;
/// Number of timed base answers on a route from which times are compared.
const TIMED_ANSWERS_MIN: f64 = 20.0;
/// Number of base answers in a period from which the target is compared with this period.
const PERIOD_ANSWERS_MIN: f64 = 3.0;

/// Share of failures above that of the base which a good version may have.
const FAILURES_TOLERATED: f64 = 0.001;
/// The same without enough answers of the base in the period.
const FAILURES_TOLERATED_UNCOMPARED: f64 = 0.01;
/// Share of failures above the tolerated one that the test assumes of a bad version.
const FAILURES_BAD: f64 = 0.018;

/// A test for answers that are several times slower.
struct SlowTest {
    /// Quantile of the base that the limit is derived from.
    quantile: f64,
    /// Number of buckets between this quantile and the limit. Three buckets are a factor of two.
    buckets: u8,
    /// Share of the answers above the limit, besides those of the base, that a good version may
    /// have. Its caches are empty, and its servers are cold at first.
    tolerated: f64,
    /// The same share that the test assumes of a bad version.
    bad: f64,
}

/// For versions whose answers are slower in general.
const BROAD: SlowTest = SlowTest {
    quantile: 0.5,
    buckets: 3,
    tolerated: 0.25,
    bad: 0.55,
};
/// For versions of which a portion of the answers is slower.
const TAIL: SlowTest = SlowTest {
    quantile: 0.95,
    buckets: 2,
    tolerated: 0.05,
    bad: 0.15,
};
/// Number of buckets by which the limits rise without enough answers of the base in the period.
const UNCOMPARED_BUCKETS: u8 = 2;

/// Smallest and largest share that a test assumes. A share of zero or one would decide at once.
const SHARE_MIN: f64 = 0.001;
const SHARE_MAX: f64 = 0.98;
/// Difference that a test needs between the shares of a good and a bad version.
const SHARE_DIFFERENCE_MIN: f64 = 0.005;

/// Failures and their share from which a server counts as broken.
const BROKEN_FAILURES_MIN: u32 = 3;
const BROKEN_FAILURE_SHARE: f64 = 0.5;

/// Number of servers of which one may be broken without evidence against the version.
const SERVERS_PER_BROKEN: usize = 5;

/// Returns whether a server with so many failures among its answers counts as broken.
pub(super) fn is_broken(answers: u32, failures: u32) -> bool {
    failures >= BROKEN_FAILURES_MIN
        && f64::from(failures) >= BROKEN_FAILURE_SHARE * f64::from(answers)
}

/// Returns how many of a version's servers may be broken without evidence against the version.
pub(super) fn broken_max(servers: usize) -> usize {
    (servers / SERVERS_PER_BROKEN).max(1)
}

/// What the answers of one target server on one route in one period say, as logarithms of the
/// likelihood ratio of a bad to a good version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) route: u16,
    pub(super) server: u32,
    pub(super) answers: u32,
    pub(super) failures: u32,
    pub(super) timed: u32,
    pub(super) slow: u32,
    /// Whether the base has enough answers in the same period.
    pub(super) is_compared: bool,
    pub(super) failures_llr: f64,
    pub(super) broad_llr: f64,
    pub(super) tail_llr: f64,
}

/// Returns the samples of each period, newest period first.
pub(super) fn samples(evidence: &FleetEvidence) -> Vec<Vec<Sample>> {
    let ignored = broken_base_groups(evidence);
    let total = base_sums(evidence.periods(), &ignored);
    let all_routes = total.values().fold(BaseSum::default(), BaseSum::plus);
    let periods = evidence.periods().rev();
    periods
        .map(|period| {
            let own = base_sums(std::iter::once(period), &ignored);
            let targets = period.rows().filter(|row| row.key.side == Side::Target);
            targets
                .map(|row| {
                    let route = &row.key.route;
                    sample(row, own.get(route), total.get(route), &all_routes)
                })
                .collect()
        })
        .collect()
}

/// Answers of the base on one route.
#[derive(Clone, Debug)]
struct BaseSum {
    answers: f64,
    failures: f64,
    timed: f64,
    times: [f64; BUCKETS as usize],
}

impl Default for BaseSum {
    fn default() -> Self {
        Self {
            answers: 0.0,
            failures: 0.0,
            timed: 0.0,
            times: [0.0; BUCKETS as usize],
        }
    }
}

impl BaseSum {
    fn add(&mut self, row: &EvidenceRow) {
        self.answers += f64::from(row.answers);
        self.failures += f64::from(row.failures);
        for time in &row.times {
            let bucket = usize::from(time.bucket.min(BUCKETS - 1));
            self.times[bucket] += f64::from(time.count);
            self.timed += f64::from(time.count);
        }
    }

    fn plus(self, other: &Self) -> Self {
        self.plus_scaled(other, 1.0, 1.0)
    }

    /// Adds another sum with at most [`PRIOR_ANSWERS`] answers.
    fn with_prior(self, prior: &Self) -> Self {
        let answers_factor = (PRIOR_ANSWERS / prior.answers.max(1.0)).min(1.0);
        let timed_factor = (PRIOR_ANSWERS / prior.timed.max(1.0)).min(1.0);
        self.plus_scaled(prior, answers_factor, timed_factor)
    }

    fn plus_scaled(mut self, other: &Self, answers_factor: f64, timed_factor: f64) -> Self {
        self.answers += other.answers * answers_factor;
        self.failures += other.failures * answers_factor;
        self.timed += other.timed * timed_factor;
        for (time, other) in self.times.iter_mut().zip(other.times) {
            *time += other * timed_factor;
        }
        self
    }

    fn failure_share(&self) -> f64 {
        self.failures / self.answers.max(1.0)
    }

    /// Returns the bucket of a quantile.
    fn quantile(&self, quantile: f64) -> u8 {
        let mut below = 0.0;
        let reached = self.times.iter().position(|count| {
            below += count;
            below >= quantile * self.timed
        });
        reached.map_or(BUCKETS - 1, |bucket| bucket as u8)
    }

    /// Returns the share of the times in or above a bucket.
    fn share_from(&self, bucket: u8) -> f64 {
        let slow: f64 = self.times.iter().skip(usize::from(bucket)).sum();
        slow / self.timed.max(1.0)
    }
}

/// Sums the base rows by route, without the given groups of servers.
fn base_sums<'a>(
    periods: impl Iterator<Item = &'a Evidence>,
    ignored: &IndexSet<u32>,
) -> IndexMap<RouteKey, BaseSum> {
    let mut sums: IndexMap<RouteKey, BaseSum> = IndexMap::new();
    let rows = periods.flat_map(Evidence::rows);
    let base = rows.filter(|row| row.key.side == Side::Base && !ignored.contains(&row.key.server));
    for row in base {
        sums.entry(row.key.route).or_default().add(row);
    }
    sums
}

/// Returns the groups of base servers that fail while the others do not. Counted in, one broken
/// server would hide a target version that fails as often.
fn broken_base_groups(evidence: &FleetEvidence) -> IndexSet<u32> {
    let mut groups: IndexMap<u32, (u32, u32)> = IndexMap::new();
    let rows = evidence.periods().flat_map(Evidence::rows);
    for row in rows.filter(|row| row.key.side == Side::Base) {
        let (answers, failures) = groups.entry(row.key.server).or_default();
        *answers += row.answers;
        *failures += row.failures;
    }
    let broken: IndexSet<u32> = groups
        .iter()
        .filter(|(_, (answers, failures))| is_broken(*answers, *failures))
        .map(|(group, _)| *group)
        .collect();
    let is_single = groups.len() > 2 && broken.len() <= broken_max(groups.len());
    if is_single { broken } else { IndexSet::new() }
}

fn sample(
    row: &EvidenceRow,
    own: Option<&BaseSum>,
    total: Option<&BaseSum>,
    all_routes: &BaseSum,
) -> Sample {
    let is_compared = own.is_some_and(|own| own.answers >= PERIOD_ANSWERS_MIN);
    let own = own.cloned().unwrap_or_default();
    let base = own.with_prior(total.unwrap_or(all_routes));
    let tolerated = if is_compared {
        FAILURES_TOLERATED
    } else {
        FAILURES_TOLERATED_UNCOMPARED
    };
    let good_share = base.failure_share() + tolerated;
    let failures_llr = llr(
        row.answers,
        row.failures,
        good_share,
        good_share + FAILURES_BAD,
    );
    let can_compare_times = total.is_some_and(|total| total.timed >= TIMED_ANSWERS_MIN);
    let slow_llr = |test: &SlowTest| {
        let limit = slow_limit(test, &base, is_compared);
        let base_share = base.share_from(limit);
        let share_of = |more: f64| base_share + more * (1.0 - base_share);
        let slow = row.timed_from(limit);
        let (good, bad) = (share_of(test.tolerated), share_of(test.bad));
        if can_compare_times {
            llr(row.timed(), slow, good, bad)
        } else {
            0.0
        }
    };
    Sample {
        route: row.key.route.route,
        server: row.key.server,
        answers: row.answers,
        failures: row.failures,
        timed: row.timed(),
        slow: row.timed_from(slow_limit(&BROAD, &base, is_compared)),
        is_compared,
        failures_llr,
        broad_llr: slow_llr(&BROAD),
        tail_llr: slow_llr(&TAIL),
    }
}

fn slow_limit(test: &SlowTest, base: &BaseSum, is_compared: bool) -> u8 {
    let more = if is_compared { 0 } else { UNCOMPARED_BUCKETS };
    base.quantile(test.quantile) + test.buckets + more
}

/// Returns the logarithm of the likelihood ratio of a `bad` to a `good` share of events.
fn llr(total: u32, events: u32, good: f64, bad: f64) -> f64 {
    let good = good.clamp(SHARE_MIN, SHARE_MAX);
    let bad = bad.clamp(SHARE_MIN, SHARE_MAX);
    if bad - good < SHARE_DIFFERENCE_MIN {
        return 0.0;
    }
    let others = total.saturating_sub(events);
    f64::from(events) * (bad / good).ln() + f64::from(others) * ((1.0 - bad) / (1.0 - good)).ln()
}
