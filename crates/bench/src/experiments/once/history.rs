//! Check of what callers were told against what the service executed.

use super::faults::{FaultEvent, FaultKind};
use super::overlaps;
use indexmap::IndexMap;
use serde_json::{Value, json};
use std::time::Duration;

/// Most lines of detail that a failed run prints.
const DETAIL_LINES_MAX: usize = 30;

/// Outcome of one attempt of a caller.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// Answered by the service.
    Answered {
        /// Whether it is the answer of the only execution of this key.
        is_own: bool,
    },
    /// Refused with `executed: no`. Carries the error code, as the next two do.
    RefusedNotExecuted(String),
    /// Failed with `executed: yes`.
    FailedExecuted(String),
    /// Failed with `executed: unknown`.
    FailedUnknown(String),
    /// Refused because another attempt with the key has no outcome yet; the caller retries.
    InProgress,
    /// Connection broken or time exceeded without an answer of the daemon; the caller retries.
    NoAnswer,
}

/// One attempt of a caller. Times are relative to the start of the load.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) daemon: usize,
    pub(super) began: Duration,
    pub(super) ended: Duration,
    pub(super) outcome: Outcome,
}

/// A call and its attempts. The outcome of the last attempt is that of the call.
#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    pub(super) key: usize,
    /// Intended start, relative to the start of the load.
    pub(super) at: Duration,
    pub(super) attempts: Vec<Attempt>,
}

impl CallRecord {
    /// Returns a call without attempts.
    pub(super) fn new(key: usize, at: Duration) -> Self {
        Self {
            key,
            at,
            attempts: Vec::new(),
        }
    }

    /// Returns the time from the intended start to the service's answer, or `None` if there is
    /// none.
    pub(super) fn latency(&self) -> Option<Duration> {
        let last = self.attempts.last()?;
        let is_answered = matches!(last.outcome, Outcome::Answered { .. });
        is_answered.then(|| last.ended.saturating_sub(self.at))
    }

    /// Returns the outcome of the last attempt.
    fn final_outcome(&self) -> &Outcome {
        let last = self.attempts.last();
        last.map_or(&Outcome::NoAnswer, |attempt| &attempt.outcome)
    }
}

/// Result of the check: violations of the guarantees, and numbers of calls by outcome.
#[derive(Debug, Default)]
pub(super) struct CheckResult {
    /// Keys with more than one execution.
    pub(super) executed_more_than_once: u64,
    /// Executed keys whose callers were all told `executed: no`.
    pub(super) untrue_no: u64,
    /// Keys without an execution, one of whose callers was told that there was one.
    pub(super) untrue_yes: u64,
    /// Calls with an answer that is not that of the only execution of their key.
    pub(super) wrong_answers: u64,
    /// Calls whose caller does not know whether the key was executed.
    pub(super) unknown: u64,
    /// Calls counted in `unknown` that met no fault.
    pub(super) unknown_unexplained: u64,
    /// Descriptions of the first violations.
    pub(super) details: Vec<String>,
    answered: u64,
    /// Calls refused with `executed: no`, by error code.
    refused: IndexMap<String, u64>,
    broken_attempts: u64,
    /// Calls failed with `executed: yes`, by error code.
    executed: IndexMap<String, u64>,
    /// Calls counted in `unknown`, by error code.
    unknown_codes: IndexMap<String, u64>,
    /// Calls counted in `unknown` that met a fault, by the name of the fault.
    explained_by: IndexMap<&'static str, u64>,
    /// Injected faults by name.
    events: IndexMap<&'static str, u64>,
}

impl CheckResult {
    /// Returns the figures of the report.
    pub(super) fn figures(&self, calls: usize, unknown_share: f64) -> Value {
        json!({
            "calls": calls,
            "answered": self.answered,
            "keys_executed_more_than_once": self.executed_more_than_once,
            "untrue_no": self.untrue_no,
            "untrue_yes": self.untrue_yes,
            "wrong_answers": self.wrong_answers,
            "unknown": self.unknown,
            "unknown_share": unknown_share,
            "unknown_unexplained": self.unknown_unexplained,
            "unknown_codes": self.unknown_codes,
            "unknown_explained_by": self.explained_by,
            "refused_executed_no": self.refused,
            "failed_executed_yes": self.executed,
            "broken_attempts": self.broken_attempts,
            "faults": self.events,
        })
    }

    /// Adds a line of detail, up to [`DETAIL_LINES_MAX`] lines.
    fn add_detail(&mut self, line: String) {
        if self.details.len() < DETAIL_LINES_MAX {
            self.details.push(line);
        }
    }
}

/// Compares the calls of each key with its executions. `executions` and `injected_faults` are
/// indexed by key.
pub(super) fn check(
    keys: usize,
    calls: &[CallRecord],
    executions: &[u64],
    injected_faults: &[Option<&'static str>],
    events: &[FaultEvent],
) -> CheckResult {
    let mut result = CheckResult::default();
    for event in events {
        *result.events.entry(event.kind.name()).or_default() += 1;
    }
    let mut calls_by_key: Vec<Vec<&CallRecord>> = vec![Vec::new(); keys];
    calls
        .iter()
        .for_each(|call| calls_by_key[call.key].push(call));
    for (key, calls) in calls_by_key.iter().enumerate() {
        let explanation = find_explanation(calls, injected_faults[key], events);
        check_key(&mut result, calls, executions[key]);
        for call in calls {
            count_call(&mut result, call, explanation);
        }
    }
    result
}

/// Counts the violations of one key.
fn check_key(result: &mut CheckResult, calls: &[&CallRecord], executions: u64) {
    let attempts = || calls.iter().flat_map(|call| &call.attempts);
    let is_reported_executed = attempts().any(|attempt| {
        matches!(
            attempt.outcome,
            Outcome::Answered { .. } | Outcome::FailedExecuted(_)
        )
    });
    let is_always_refused =
        attempts().all(|attempt| matches!(attempt.outcome, Outcome::RefusedNotExecuted(_)));
    let violations = [
        (executions > 1, "executed more than once"),
        (
            is_always_refused && executions > 0,
            "refused as not executed, but executed",
        ),
        (
            is_reported_executed && executions == 0,
            "reported as executed, but not executed",
        ),
    ];
    result.executed_more_than_once += u64::from(violations[0].0);
    result.untrue_no += u64::from(violations[1].0);
    result.untrue_yes += u64::from(violations[2].0);
    for (_, name) in violations.iter().filter(|(is_found, _)| *is_found) {
        result.add_detail(format!("{name}: {executions} executions, {calls:?}"));
    }
}

/// Counts a call by its outcome.
fn count_call(result: &mut CheckResult, call: &CallRecord, explanation: Option<&'static str>) {
    let broken = call.attempts.iter();
    result.broken_attempts += broken
        .filter(|attempt| matches!(attempt.outcome, Outcome::NoAnswer))
        .count() as u64;
    match call.final_outcome() {
        Outcome::Answered { is_own } => {
            result.answered += 1;
            result.wrong_answers += u64::from(!is_own);
        }
        Outcome::RefusedNotExecuted(code) => *result.refused.entry(code.clone()).or_default() += 1,
        Outcome::FailedExecuted(code) => *result.executed.entry(code.clone()).or_default() += 1,
        // A caller without a final answer does not know the outcome either.
        outcome => {
            result.unknown += 1;
            let code = match outcome {
                Outcome::FailedUnknown(code) => code,
                _ => "none",
            };
            *result.unknown_codes.entry(code.to_owned()).or_default() += 1;
            match explanation {
                Some(name) => *result.explained_by.entry(name).or_default() += 1,
                None => {
                    result.unknown_unexplained += 1;
                    result.add_detail(format!("unknown outcome without a fault: {call:?}"));
                }
            }
        }
    }
}

/// Returns the name of the fault that explains an unknown outcome of a key: a random fault of the
/// service, or else an injected one that overlaps with an attempt. Faults of the attempt's own
/// daemon take precedence.
fn find_explanation(
    calls: &[&CallRecord],
    injected_faults: Option<&'static str>,
    events: &[FaultEvent],
) -> Option<&'static str> {
    let attempts = || calls.iter().flat_map(|call| &call.attempts);
    let first_overlapping = |is_matching: fn(&FaultEvent, &Attempt) -> bool| {
        events.iter().find(|event| {
            attempts().any(|attempt| overlaps(event, attempt) && is_matching(event, attempt))
        })
    };
    let at_own_daemon =
        |event: &FaultEvent, attempt: &Attempt| event.daemon == Some(attempt.daemon);
    let except_slow_log = |event: &FaultEvent, _: &Attempt| event.kind != FaultKind::SlowLog;
    injected_faults.or_else(|| {
        first_overlapping(at_own_daemon)
            .map(|event| event.kind.name())
            .or_else(|| {
                first_overlapping(except_slow_log).map(|event| event.kind.name_at_other_daemon())
            })
    })
}
