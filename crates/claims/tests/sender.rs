//! Tests of the state machine of one request on the daemon that serves its caller.

mod common;

use anvilgw_claims::{
    ClaimSender, RecordedAnswer, Reply, SenderAction, SenderEvent, Submission, Unavailable, Verdict,
};
use anvilgw_core::{ErrorKind, Executed, Stage};
use common::{attempt, claim};
use std::time::Duration;

fn answer() -> RecordedAnswer {
    RecordedAnswer::new(201, "", b"", 10)
}

/// Returns the event that a letter stands for.
fn event(letter: char) -> SenderEvent {
    match letter {
        'G' => verdict(Verdict::Granted),
        'U' => SenderEvent::OwnerUnreachable,
        'C' => SenderEvent::ConnectFailed,
        'S' => SenderEvent::ReadyToSend {
            is_backend_usable: true,
        },
        's' => SenderEvent::ReadyToSend {
            is_backend_usable: false,
        },
        'B' => SenderEvent::AnswerStarted,
        'A' => SenderEvent::AnswerComplete(answer()),
        'L' => SenderEvent::AnswerLost(ErrorKind::BackendSilent),
        'X' => SenderEvent::Cancelled(ErrorKind::ShuttingDown),
        other => panic!("no event has the letter {other}"),
    }
}

fn verdict(verdict: Verdict) -> SenderEvent {
    SenderEvent::Verdict {
        attempt: attempt(0, 1),
        verdict,
    }
}

/// Result of a run.
#[derive(Debug, PartialEq, Eq)]
struct Summary {
    /// Failure that the caller got, if any.
    failure: Option<(ErrorKind, Stage, Executed)>,
    /// Number of times that the request was sent.
    sends: usize,
    /// Kind of the record that was submitted last after the claim.
    last_submission: Option<&'static str>,
}

fn run(events: Vec<SenderEvent>, now_ms: u64) -> Summary {
    let mut sender = ClaimSender::new(claim(0, 0, 1), Duration::from_millis(100));
    let mut summary = Summary {
        failure: None,
        sends: 0,
        last_submission: None,
    };
    let start = sender.handle(SenderEvent::Admitted, Duration::ZERO);
    assert!(matches!(
        start[..],
        [SenderAction::Submit(Submission::Claim(_))]
    ));
    let mut replies = 0;
    for event in events {
        for action in sender.handle(event, Duration::from_millis(now_ms)) {
            match action {
                SenderAction::Submit(submission) => {
                    summary.last_submission = Some(match submission {
                        Submission::Claim(_) => "claim",
                        Submission::Outcome { .. } => "outcome",
                        Submission::Abandon { .. } => "abandon",
                        Submission::Expire { .. } => "expire",
                    });
                }
                SenderAction::Send(_) => summary.sends += 1,
                SenderAction::Reply(reply) => {
                    replies += 1;
                    if let Reply::Failed(failure) = reply {
                        summary.failure =
                            Some((failure.kind(), failure.stage(), failure.executed()));
                    }
                }
            }
        }
    }
    assert_eq!(replies, 1, "a caller is answered once");
    summary
}

/// Guards against a refused claim that leads to a failure of the wrong kind or stage, and against a
/// request that is sent after its claim was refused.
#[test]
fn refused_claim_fails_with_the_kind_and_stage_of_its_verdict() {
    use ErrorKind as Kind;
    struct Case {
        verdict: Verdict,
        failure: Option<(ErrorKind, Stage, Executed)>,
    }
    let case = |verdict, kind, stage: Stage| Case {
        verdict,
        failure: Some((kind, stage, stage.executed())),
    };
    let unavailable = Verdict::Unavailable(Unavailable::Log);
    let cases = [
        case(
            Verdict::InProgress,
            Kind::InProgress,
            Stage::ClaimedElsewhere,
        ),
        case(
            Verdict::Unknown,
            Kind::OutcomeUnknown,
            Stage::ClaimedElsewhere,
        ),
        case(Verdict::TooOld, Kind::KeyTooOld, Stage::ClaimedElsewhere),
        case(Verdict::KeyReused, Kind::KeyReused, Stage::Queued),
        case(Verdict::FromFuture, Kind::BadRequest, Stage::Queued),
        case(unavailable, Kind::ClaimUnavailable, Stage::Queued),
        Case {
            verdict: Verdict::Done(answer()),
            failure: None,
        },
    ];
    for case in cases {
        let expected = Summary {
            failure: case.failure,
            sends: 0,
            last_submission: None,
        };
        let events = vec![verdict(case.verdict), event('S')];
        assert_eq!(run(events, 1), expected);
    }
}

/// Events that follow the submission of the claim, and the expected end of the request.
struct EndCase {
    /// Letters of the events.
    events: &'static str,
    /// Uptime of all events. The deadline is at 100 ms.
    now_ms: u64,
    failure: Option<(ErrorKind, Stage)>,
    /// Kind of the record that is submitted last.
    last_submission: &'static str,
}

fn end_case(
    events: &'static str,
    failure: Option<(ErrorKind, Stage)>,
    last_submission: &'static str,
) -> EndCase {
    EndCase {
        events,
        now_ms: 1,
        failure,
        last_submission,
    }
}

/// Guards against a failure of the wrong kind or stage, against a claim that is abandoned after its
/// request was sent, and against a request that is sent twice.
#[test]
fn request_ends_with_the_expected_failure_and_record() {
    use ErrorKind as Kind;
    let cases = [
        end_case(
            "UGS",
            Some((Kind::ClaimUnavailable, Stage::Queued)),
            "abandon",
        ),
        end_case("XGS", Some((Kind::ShuttingDown, Stage::Queued)), "abandon"),
        end_case("GXS", Some((Kind::ShuttingDown, Stage::Claimed)), "abandon"),
        end_case(
            "GCS",
            Some((Kind::BackendFailed, Stage::Connecting)),
            "abandon",
        ),
        end_case("GsS", Some((Kind::StaleView, Stage::Connecting)), "abandon"),
        EndCase {
            now_ms: 100,
            ..end_case(
                "GS",
                Some((Kind::DeadlineExceeded, Stage::Connecting)),
                "abandon",
            )
        },
        end_case("GSSAX", None, "outcome"),
        end_case(
            "GSLS",
            Some((Kind::BackendSilent, Stage::AnswerLost)),
            "expire",
        ),
        end_case(
            "GSBL",
            Some((Kind::BackendSilent, Stage::AnswerStarted)),
            "expire",
        ),
        end_case(
            "GSXA",
            Some((Kind::ShuttingDown, Stage::Written)),
            "outcome",
        ),
    ];
    for case in cases {
        let expected = Summary {
            failure: case
                .failure
                .map(|(kind, stage)| (kind, stage, stage.executed())),
            sends: usize::from(case.last_submission != "abandon"),
            last_submission: Some(case.last_submission),
        };
        let events = case.events.chars().map(event).collect();
        assert_eq!(run(events, case.now_ms), expected, "{}", case.events);
    }
}
