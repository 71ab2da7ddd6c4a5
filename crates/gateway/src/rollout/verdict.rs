//! Sequential test of the target version against the version in force.
//!
//! As in Page's CUSUM test, logarithms of likelihood ratios are summed over the newest periods, for
//! the number of periods that gives the largest sum, so that a version which turns bad later is
//! found as fast as one that is bad at once. A good version reaches [`BAD_LLR`] in one window with
//! a probability of at most 0.1% (Wald's bound), and with less if its failures are as rare as those
//! of the base.

use super::comparison::{Sample, broken_max, is_broken, samples};
use super::evidence::Side;
use super::fleet_evidence::FleetEvidence;
use indexmap::{IndexMap, IndexSet};

/// Logarithm of the likelihood ratio from which a version is bad.
const BAD_LLR: f64 = 7.0;
/// The same for a test of one route out of several, of which one may exceed the limit by chance.
const BAD_ROUTE_LLR: f64 = 8.0;

/// Evidence from which a rule applies. Servers that are broken or slow as a whole are left out.
#[derive(Clone, Copy)]
struct Threshold {
    llr: f64,
    bad_answers: u32,
}

/// Thresholds of a test that apply before [`BAD_LLR`] is reached.
struct EarlyThresholds {
    /// Evidence from which there is a suspicion.
    suspicion: Threshold,
    /// Evidence from which a version is bad if there is no time to wait for more.
    late_bad: Threshold,
}

/// Number of bad answers that the thresholds require in addition if one route of several is tested.
const ROUTE_BAD_ANSWERS: u32 = 1;
/// Sum over all periods below which a version is not rejected for lack of time. A few failures in a
/// short window do not outweigh all other answers.
const LATE_BAD_WHOLE_LLR: f64 = -1.0;

/// Thresholds of the test for failures.
const FAILURES: EarlyThresholds = EarlyThresholds {
    suspicion: Threshold {
        llr: 0.5,
        bad_answers: 2,
    },
    late_bad: Threshold {
        llr: 1.5,
        bad_answers: 3,
    },
};
/// Thresholds of the tests for slow answers. They are higher, because slow answers are frequent
/// among those of a good version as well, so a few of them in a short window say little.
const SLOW: EarlyThresholds = EarlyThresholds {
    suspicion: Threshold {
        llr: 1.5,
        bad_answers: 3,
    },
    late_bad: Threshold {
        llr: 3.0,
        bad_answers: 5,
    },
};

/// Logarithm of the likelihood ratio that no window of a good version exceeds.
const GOOD_LLR: f64 = 0.0;
/// Number of answers from which a version can be good.
const GOOD_ANSWERS_MIN: u64 = 30;
/// Largest contribution of one server to a sum, as a fraction of [`BAD_LLR`], if there are two
/// servers, and if there are several. A single server must not reach the limit.
const WEIGHT_OF_TWO: f64 = 0.6;
const WEIGHT_OF_SEVERAL: f64 = 0.45;
/// The same for all servers together that are broken or slow as a whole. With a larger contribution,
/// one of them and two chance failures of others would reach the limit.
const WEIGHT_OF_OUTLIERS: f64 = 0.3;
/// Fraction of the servers that may be broken while the base has no answers to compare with. A
/// failure domain that is out of service takes a third of them.
const BROKEN_UNCOMPARED_MAX: f64 = 0.4;
/// Share and number of slow answers from which a server counts as slow.
const SLOW_SHARE: f64 = 0.7;
const SLOW_ANSWERS_MIN: u32 = 3;
/// Share of the base's failures up to which the base counts as sound.
const SOUND_FAILURE_SHARE: f64 = 0.25;
/// Number of routes that are tested one by one: those with most answers of the target.
const ROUTES_MAX: usize = 8;

/// Why a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadReason {
    /// Its answers fail more often than those of the version in force.
    Failures,
    /// A portion of its answers is several times slower than those of the version in force.
    Slow,
    /// Most of its servers fail, while those of the version in force do not.
    ServersFail,
    /// Its servers leave most requests without an answer.
    Unanswered,
}

/// Result of the test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence decides neither way.
    Undecided,
    /// The target version is as good as the one in force.
    Good,
    /// The target version is worse than the one in force.
    Bad(BadReason),
}

/// What the test needs besides the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JudgeInput {
    /// Number of ready servers of the target version.
    pub target_servers: usize,
}

/// Result of the test, with the figures behind it for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// The result.
    pub verdict: Verdict,
    /// Logarithm of the likelihood ratio that failures are more frequent.
    pub failures_llr: f64,
    /// Logarithm of the likelihood ratio that answers are slower.
    pub slow_llr: f64,
    /// Whether the evidence against the version, without single broken or slow servers, is enough to
    /// wait for more.
    pub is_suspicious: bool,
    /// Whether it is enough to reject the version if there is no time to wait.
    pub is_late_bad: bool,
    /// Answers of the target version.
    pub target_answers: u64,
    /// Failures among them.
    pub target_failures: u64,
    /// Answers of the version in force.
    pub base_answers: u64,
    /// Failures among them.
    pub base_failures: u64,
}

impl Judgement {
    /// Returns why the version is bad if there is no time to wait for more evidence.
    #[must_use]
    pub fn late_bad(&self) -> Option<BadReason> {
        let (reason, _) = self.strongest();
        self.is_late_bad.then_some(reason)
    }

    fn strongest(&self) -> (BadReason, f64) {
        if self.failures_llr >= self.slow_llr {
            (BadReason::Failures, self.failures_llr)
        } else {
            (BadReason::Slow, self.slow_llr)
        }
    }
}

/// Compares the target version with the version in force.
#[must_use]
pub fn judge(evidence: &FleetEvidence, input: JudgeInput) -> Judgement {
    let samples = samples(evidence);
    let target = evidence.counts(Side::Target);
    let base = evidence.counts(Side::Base);
    let mut best = scan(&samples, input, None);
    let routes = routes(&samples);
    for route in routes.iter().filter(|_| routes.len() > 1) {
        let found = scan(&samples, input, Some(*route));
        let scale = BAD_LLR / BAD_ROUTE_LLR;
        best.failures = best.failures.max(found.failures * scale);
        best.slow = best.slow.max(found.slow * scale);
        best.is_suspicious |= found.is_suspicious;
        best.is_late_bad |= found.is_late_bad;
    }
    let is_base_sound = base.failures as f64 <= SOUND_FAILURE_SHARE * base.answers as f64;
    let mut judgement = Judgement {
        verdict: Verdict::Undecided,
        failures_llr: best.failures,
        slow_llr: best.slow,
        is_suspicious: best.is_suspicious,
        is_late_bad: best.is_late_bad,
        target_answers: target.answers,
        target_failures: target.failures,
        base_answers: base.answers,
        base_failures: base.failures,
    };
    let (reason, llr) = judgement.strongest();
    judgement.verdict = if llr >= BAD_LLR {
        Verdict::Bad(reason)
    } else if is_base_sound && most_servers_fail(&samples) {
        Verdict::Bad(BadReason::ServersFail)
    } else if target.answers >= GOOD_ANSWERS_MIN && llr < GOOD_LLR {
        Verdict::Good
    } else {
        Verdict::Undecided
    };
    judgement
}

/// Returns the routes with most answers of the target.
fn routes(samples: &[Vec<Sample>]) -> Vec<u16> {
    let mut answers: IndexMap<u16, u32> = IndexMap::new();
    for sample in samples.iter().flatten() {
        *answers.entry(sample.route).or_default() += sample.answers;
    }
    answers.sort_by(|_, a, _, b| b.cmp(a));
    answers.into_keys().take(ROUTES_MAX).collect()
}

/// Sums of one server over a window.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    answers: u32,
    failures: u32,
    timed: u32,
    slow: u32,
    compared: u32,
    failures_llr: f64,
    broad_llr: f64,
    tail_llr: f64,
}

impl Tally {
    fn add(&mut self, sample: &Sample) {
        self.answers += sample.answers;
        self.failures += sample.failures;
        self.timed += sample.timed;
        self.slow += sample.slow;
        self.compared += if sample.is_compared {
            sample.answers
        } else {
            0
        };
        self.failures_llr += sample.failures_llr;
        self.broad_llr += sample.broad_llr;
        self.tail_llr += sample.tail_llr;
    }

    fn is_broken(&self) -> bool {
        is_broken(self.answers, self.failures)
    }

    fn is_slow(&self) -> bool {
        self.slow >= SLOW_ANSWERS_MIN && f64::from(self.slow) >= SLOW_SHARE * f64::from(self.timed)
    }
}

/// Result of the tests over all windows that end now.
#[derive(Clone, Copy, Debug, Default)]
struct ScanResult {
    failures: f64,
    slow: f64,
    is_suspicious: bool,
    is_late_bad: bool,
}

/// Servers that are broken or slow as a whole in at least one window.
#[derive(Default)]
struct Outliers {
    broken: IndexSet<u32>,
    slow: IndexSet<u32>,
}

/// Tests all windows that end now, on one route or on all (`None`).
fn scan(samples: &[Vec<Sample>], input: JudgeInput, route: Option<u16>) -> ScanResult {
    let sums = window_sums(samples, input, route);
    let largest = |sum: fn(&[ServerSum; 3]) -> f64| sums.iter().map(sum).reduce(f64::max);
    let thresholds = [&FAILURES, &SLOW, &SLOW];
    let mut tests = thresholds.iter().enumerate();
    let more = u32::from(route.is_some()) * ROUTE_BAD_ANSWERS;
    let exceeds = |test: usize, from: Threshold| {
        let bad_answers = from.bad_answers + more;
        let from = Threshold {
            bad_answers,
            ..from
        };
        sums.iter().any(|sums| sums[test].exceeds(from))
    };
    let is_suspicious = tests
        .clone()
        .any(|(test, thresholds)| exceeds(test, thresholds.suspicion));
    let is_late_bad = tests.any(|(test, thresholds)| {
        let whole = sums.last().map_or(0.0, |sums| sums[test].others);
        whole > LATE_BAD_WHOLE_LLR && exceeds(test, thresholds.late_bad)
    });
    ScanResult {
        failures: largest(|sums| sums[0].all).unwrap_or(0.0),
        slow: largest(|sums| sums[1].all.max(sums[2].all)).unwrap_or(0.0),
        is_suspicious,
        is_late_bad,
    }
}

/// Returns the sums of each window that ends now, from the shortest to the longest one.
fn window_sums(
    samples: &[Vec<Sample>],
    input: JudgeInput,
    route: Option<u16>,
) -> Vec<[ServerSum; 3]> {
    let of_route = |sample: &&Sample| route.is_none_or(|route| sample.route == route);
    let mut tallies: IndexMap<u32, Tally> = IndexMap::new();
    let mut outliers = Outliers::default();
    let mut windows = Vec::new();
    for period in samples {
        for sample in period.iter().filter(of_route) {
            let tally = tallies.entry(sample.server).or_default();
            tally.add(sample);
            if tally.is_broken() {
                outliers.broken.insert(sample.server);
            }
            if tally.is_slow() {
                outliers.slow.insert(sample.server);
            }
        }
        if period.iter().any(|sample| of_route(&sample)) {
            windows.push(tallies.clone());
        }
    }
    windows
        .iter()
        .map(|tallies| window(tallies, input, &outliers))
        .collect()
}

/// Returns the sums of one window: for failures, for answers that are slow in general, and for a
/// portion of slow answers.
fn window(
    tallies: &IndexMap<u32, Tally>,
    input: JudgeInput,
    outliers: &Outliers,
) -> [ServerSum; 3] {
    let failures = ServerTest {
        llr: |tally| tally.failures_llr,
        bad_answers: |tally| tally.failures,
    };
    let broad = ServerTest {
        llr: |tally| tally.broad_llr,
        bad_answers: |tally| tally.slow,
    };
    let tail = ServerTest {
        llr: |tally| tally.tail_llr,
        ..broad
    };
    [
        bounded_sum(tallies, input, failures, &outliers.broken),
        bounded_sum(tallies, input, broad, &outliers.slow),
        bounded_sum(tallies, input, tail, &outliers.slow),
    ]
}

/// One of the tests, as seen by a server.
#[derive(Clone, Copy)]
struct ServerTest {
    llr: fn(&Tally) -> f64,
    bad_answers: fn(&Tally) -> u32,
}

/// Sum of a test over the servers.
struct ServerSum {
    /// Sum over all servers.
    all: f64,
    /// Sum without the servers that are broken or slow as a whole, unless there are too many of
    /// them.
    others: f64,
    /// Bad answers of these others.
    other_events: u32,
}

impl ServerSum {
    fn exceeds(&self, from: Threshold) -> bool {
        self.others > from.llr && self.other_events >= from.bad_answers
    }
}

/// Returns the sum over all servers, to which each one contributes a bounded part. Broken or slow
/// servers together contribute at most [`WEIGHT_OF_OUTLIERS`] unless there are too many of them.
/// `outliers` are those of any window.
fn bounded_sum(
    tallies: &IndexMap<u32, Tally>,
    input: JudgeInput,
    test: ServerTest,
    outliers: &IndexSet<u32>,
) -> ServerSum {
    let servers = tallies.len().max(input.target_servers);
    let weight_max = BAD_LLR
        * match servers {
            0 | 1 => f64::INFINITY,
            2 => WEIGHT_OF_TWO,
            _ => WEIGHT_OF_SEVERAL,
        };
    let outliers_max = outliers_max(tallies, servers);
    let are_bounded = servers > 1 && outliers.len() <= outliers_max;
    let (mut outliers_sum, mut others, mut other_events) = (0.0, 0.0, 0);
    for (server, tally) in tallies {
        let weight = (test.llr)(tally).min(weight_max);
        if are_bounded && outliers.contains(server) {
            outliers_sum += weight;
        } else {
            others += weight;
            other_events += (test.bad_answers)(tally);
        }
    }
    ServerSum {
        all: others + f64::min(outliers_sum, WEIGHT_OF_OUTLIERS * BAD_LLR),
        others,
        other_events,
    }
}

/// Returns how many servers may be broken or slow without evidence against the version.
fn outliers_max(tallies: &IndexMap<u32, Tally>, servers: usize) -> usize {
    let compared: u32 = tallies.values().map(|tally| tally.compared).sum();
    let answers: u32 = tallies.values().map(|tally| tally.answers).sum();
    if compared * 2 >= answers {
        broken_max(servers)
    } else {
        broken_max(servers).max((servers as f64 * BROKEN_UNCOMPARED_MAX) as usize)
    }
}

/// Returns whether more than half of several servers with answers are broken.
fn most_servers_fail(samples: &[Vec<Sample>]) -> bool {
    let mut tallies: IndexMap<u32, Tally> = IndexMap::new();
    for sample in samples.iter().flatten() {
        tallies.entry(sample.server).or_default().add(sample);
    }
    let broken = tallies.values().filter(|tally| tally.is_broken()).count();
    let servers: IndexSet<&u32> = tallies.keys().collect();
    servers.len() > 1 && broken * 2 > servers.len()
}
