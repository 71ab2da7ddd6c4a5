//! One request on the daemon that serves its caller.

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

/// Events by letter.
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
        other => panic!("no event {other}"),
    }
}

fn verdict(verdict: Verdict) -> SenderEvent {
    SenderEvent::Verdict {
        attempt: attempt(0, 1),
        verdict,
    }
}

/// What is left of a run: the failure, and what was submitted after the claim.
#[derive(Debug, PartialEq, Eq)]
struct Summary {
    failure: Option<(ErrorKind, Stage, Executed)>,
    sends: usize,
    last: Option<&'static str>,
}

fn run(events: Vec<SenderEvent>, now_ms: u64) -> Summary {
    let mut sender = ClaimSender::new(claim(0, 0, 1), Duration::from_millis(100));
    let mut summary = Summary {
        failure: None,
        sends: 0,
        last: None,
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
                    summary.last = Some(match submission {
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

/// Guards against a refusal with the wrong kind or stage, and against sending after one.
#[test]
fn refusals() {
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
            last: None,
        };
        let events = vec![verdict(case.verdict), event('S')];
        assert_eq!(run(events, 1), expected);
    }
}

/// Events in the state "claim requested" and what follows from them.
struct End {
    events: &'static str,
    now_ms: u64,
    failure: Option<(ErrorKind, Stage)>,
    last: &'static str,
}

fn end(events: &'static str, failure: Option<(ErrorKind, Stage)>, last: &'static str) -> End {
    End {
        events,
        now_ms: 1,
        failure,
        last,
    }
}

/// Guards against an end whose kind or stage is wrong, an abandon after sending and a second send.
#[test]
fn ends() {
    use ErrorKind as Kind;
    let cases = [
        end(
            "UGS",
            Some((Kind::ClaimUnavailable, Stage::Queued)),
            "abandon",
        ),
        end("XGS", Some((Kind::ShuttingDown, Stage::Queued)), "abandon"),
        end("GXS", Some((Kind::ShuttingDown, Stage::Claimed)), "abandon"),
        end(
            "GCS",
            Some((Kind::BackendFailed, Stage::Connecting)),
            "abandon",
        ),
        end("GsS", Some((Kind::StaleView, Stage::Connecting)), "abandon"),
        End {
            now_ms: 100,
            ..end(
                "GS",
                Some((Kind::DeadlineExceeded, Stage::Connecting)),
                "abandon",
            )
        },
        end("GSSAX", None, "outcome"),
        end(
            "GSLS",
            Some((Kind::BackendSilent, Stage::AnswerLost)),
            "expire",
        ),
        end(
            "GSBL",
            Some((Kind::BackendSilent, Stage::AnswerStarted)),
            "expire",
        ),
        end(
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
            sends: usize::from(case.last != "abandon"),
            last: Some(case.last),
        };
        let events = case.events.chars().map(event).collect();
        assert_eq!(run(events, case.now_ms), expected, "{}", case.events);
    }
}
