//! Sequential test of the target version against the version in force.

use super::fleet_evidence::FleetEvidence;

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
    /// Answers of the target version.
    pub target_answers: u64,
    /// Failures among them.
    pub target_failures: u64,
    /// Answers of the version in force.
    pub base_answers: u64,
    /// Failures among them.
    pub base_failures: u64,
}

/// Compares the target version with the version in force.
#[must_use]
pub fn judge(evidence: &FleetEvidence, input: JudgeInput) -> Judgement {
    let _ = (evidence, input);
    Judgement {
        verdict: Verdict::Undecided,
        failures_llr: 0.0,
        slow_llr: 0.0,
        target_answers: 0,
        target_failures: 0,
        base_answers: 0,
        base_failures: 0,
    }
}
