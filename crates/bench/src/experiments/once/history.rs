//! What callers were told, compared with what the service executed.

use super::faults::{Event, EventKind};
use super::overlaps;
use indexmap::IndexMap;
use serde_json::{Value, json};
use std::time::Duration;

/// Lines of detail that a failed run prints.
const DETAILS_MAX: usize = 30;

/// How an attempt of a caller ended.
#[derive(Clone, Debug)]
pub(super) enum Ending {
    /// With an answer of the service.
    Answered {
        /// Whether it is the answer of the only execution of this key.
        is_own: bool,
    },
    /// Refused with `executed: no`.
    No(String),
    /// Failed with `executed: yes`.
    Yes(String),
    /// Failed with `executed: unknown`.
    Unknown(String),
    /// Another attempt with the key has no outcome yet.
    InProgress,
    /// Without an answer of the daemon.
    Broken,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) daemon: usize,
    pub(super) began: Duration,
    pub(super) ended: Duration,
    pub(super) ending: Ending,
}

/// One call with its attempts; the last one is final.
#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    pub(super) key: usize,
    /// Intended start.
    pub(super) at: Duration,
    pub(super) attempts: Vec<Attempt>,
}

impl CallRecord {
    pub(super) fn new(key: usize, at: Duration) -> Self {
        Self {
            key,
            at,
            attempts: Vec::new(),
        }
    }

    /// Time from the intended start to the service's answer.
    pub(super) fn latency(&self) -> Option<Duration> {
        let last = self.attempts.last()?;
        let is_answered = matches!(last.ending, Ending::Answered { .. });
        is_answered.then(|| last.ended.saturating_sub(self.at))
    }

    fn ending(&self) -> &Ending {
        let last = self.attempts.last();
        last.map_or(&Ending::Broken, |attempt| &attempt.ending)
    }
}

/// Result of the check.
#[derive(Debug, Default)]
pub(super) struct Verdicts {
    pub(super) over_once: u64,
    pub(super) untrue_no: u64,
    pub(super) untrue_yes: u64,
    pub(super) wrong_answers: u64,
    pub(super) unknown: u64,
    pub(super) unexplained: u64,
    pub(super) details: Vec<String>,
    answered: u64,
    refused: IndexMap<String, u64>,
    broken_attempts: u64,
    executed_yes: IndexMap<String, u64>,
    unknown_codes: IndexMap<String, u64>,
    explained_by: IndexMap<&'static str, u64>,
    events: IndexMap<&'static str, u64>,
}

impl Verdicts {
    pub(super) fn figures(&self, calls: usize, unknown_share: f64) -> Value {
        json!({
            "calls": calls,
            "answered": self.answered,
            "keys_executed_more_than_once": self.over_once,
            "untrue_no": self.untrue_no,
            "untrue_yes": self.untrue_yes,
            "wrong_answers": self.wrong_answers,
            "unknown": self.unknown,
            "unknown_share": unknown_share,
            "unknown_unexplained": self.unexplained,
            "unknown_codes": self.unknown_codes,
            "unknown_explained_by": self.explained_by,
            "refused_executed_no": self.refused,
            "failed_executed_yes": self.executed_yes,
            "broken_attempts": self.broken_attempts,
            "faults": self.events,
        })
    }

    fn detail(&mut self, line: String) {
        if self.details.len() < DETAILS_MAX {
            self.details.push(line);
        }
    }
}

/// Compares the calls of each key with its executions.
pub(super) fn check(
    keys: usize,
    calls: &[CallRecord],
    executions: &[u64],
    faulted: &[Option<&'static str>],
    events: &[Event],
) -> Verdicts {
    let mut verdicts = Verdicts::default();
    for event in events {
        *verdicts.events.entry(event.kind.name()).or_default() += 1;
    }
    let mut of_key: Vec<Vec<&CallRecord>> = vec![Vec::new(); keys];
    calls.iter().for_each(|call| of_key[call.key].push(call));
    for (key, calls) in of_key.iter().enumerate() {
        let explanation = explanation(calls, faulted[key], events);
        check_key(&mut verdicts, calls, executions[key]);
        for call in calls {
            count(&mut verdicts, call, explanation);
        }
    }
    verdicts
}

fn check_key(verdicts: &mut Verdicts, calls: &[&CallRecord], executions: u64) {
    let attempts = || calls.iter().flat_map(|call| &call.attempts);
    let is_claimed_done = attempts()
        .any(|attempt| matches!(attempt.ending, Ending::Answered { .. } | Ending::Yes(_)));
    let is_all_no = attempts().all(|attempt| matches!(attempt.ending, Ending::No(_)));
    let faults = [
        (executions > 1, "executed more than once"),
        (
            is_all_no && executions > 0,
            "refused as not executed, but executed",
        ),
        (
            is_claimed_done && executions == 0,
            "reported as executed, but not executed",
        ),
    ];
    verdicts.over_once += u64::from(faults[0].0);
    verdicts.untrue_no += u64::from(faults[1].0);
    verdicts.untrue_yes += u64::from(faults[2].0);
    for (_, name) in faults.iter().filter(|(is_found, _)| *is_found) {
        verdicts.detail(format!("{name}: {executions} executions, {calls:?}"));
    }
}

fn count(verdicts: &mut Verdicts, call: &CallRecord, explanation: Option<&'static str>) {
    let broken = call.attempts.iter();
    verdicts.broken_attempts += broken
        .filter(|attempt| matches!(attempt.ending, Ending::Broken))
        .count() as u64;
    match call.ending() {
        Ending::Answered { is_own } => {
            verdicts.answered += 1;
            verdicts.wrong_answers += u64::from(!is_own);
        }
        Ending::No(code) => *verdicts.refused.entry(code.clone()).or_default() += 1,
        Ending::Yes(code) => *verdicts.executed_yes.entry(code.clone()).or_default() += 1,
        // The caller of a call without a final answer does not know its outcome either.
        ending => {
            verdicts.unknown += 1;
            let code = match ending {
                Ending::Unknown(code) => code,
                _ => "none",
            };
            *verdicts.unknown_codes.entry(code.to_owned()).or_default() += 1;
            match explanation {
                Some(name) => *verdicts.explained_by.entry(name).or_default() += 1,
                None => {
                    verdicts.unexplained += 1;
                    verdicts.detail(format!("unexplained: {call:?}"));
                }
            }
        }
    }
}

/// The fault that a key without a known outcome met: one of the service's faults of chance, or an
/// event during one of its attempts. Events at the daemon of the attempt come first.
fn explanation(
    calls: &[&CallRecord],
    faulted: Option<&'static str>,
    events: &[Event],
) -> Option<&'static str> {
    let attempts = || calls.iter().flat_map(|call| &call.attempts);
    let met = |is_near: fn(&Event, &Attempt) -> bool| {
        events.iter().find(|event| {
            attempts().any(|attempt| overlaps(event, attempt) && is_near(event, attempt))
        })
    };
    let own = |event: &Event, attempt: &Attempt| event.daemon == Some(attempt.daemon);
    let any_daemon = |event: &Event, _: &Attempt| event.kind != EventKind::SlowLog;
    faulted.or_else(|| {
        met(own)
            .map(|event| event.kind.name())
            .or_else(|| met(any_daemon).map(|event| event.kind.elsewhere()))
    })
}
