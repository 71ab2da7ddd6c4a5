//! Tests of the engine client against scripted events.

use crate::scripted::{http_answer, start_scripted, start_scripted_series};
use crate::settings;
use anvilgw_core::{AttemptId, ErrorKind, Failure, RequestId, Stage};
use anvilgw_platform::{DroppedEvents, EngineClient, EngineError, EngineEvent, EngineRequest};

/// Step between the tested chunk sizes in bytes. Each size takes one connection.
const PART_STEP: usize = 7;
/// Identifying fields of the events of request 7, attempt 2.
const OWN: &str = "\"id\":\"00000000000000000000000000000007\",\"attempt\":2";

fn token(index: u64) -> String {
    format!("data: {{{OWN},\"index\":{index},\"text\":\"t{index}\"}}\n\n")
}

fn finish(tokens: u64) -> String {
    format!(
        "data: {{{OWN},\"finish_reason\":\"stop\",\"usage\":{{\"completion_tokens\":{tokens}}}}}\n\n"
    )
}

fn done() -> String {
    "data: [DONE]\n\n".to_owned()
}

/// Text of a complete answer, or the error.
type Text = Result<&'static str, EngineError>;

struct Case {
    name: &'static str,
    events: Vec<String>,
    text: Text,
    foreign: u64,
    repeated: u64,
}

fn case(name: &'static str, events: Vec<String>, text: Text) -> Case {
    Case {
        name,
        events,
        text,
        foreign: 0,
        repeated: 0,
    }
}

fn complete_cases() -> Vec<Case> {
    let old_attempt = token(0).replace("\"attempt\":2", "\"attempt\":1");
    let old_finish = finish(9).replace("\"attempt\":2", "\"attempt\":1");
    let finish_without_ids = finish(1).replace(&format!("{OWN},"), "");
    let crlf = [token(0), finish(1), done()].concat().replace('\n', "\r\n");
    vec![
        case("plain", vec![token(0), finish(1), done()], Ok("t0")),
        case("empty", vec![finish(0), done()], Ok("")),
        case(
            "finish without id",
            vec![token(0), finish_without_ids, done()],
            Ok("t0"),
        ),
        case("CRLF", vec![crlf], Ok("t0")),
        case(
            "comments and other fields",
            vec![
                ": ping\n\nevent: token\nid: 1\n".to_owned(),
                token(0),
                finish(1),
                done(),
            ],
            Ok("t0"),
        ),
        Case {
            foreign: 2,
            ..case(
                "events of an older attempt",
                vec![old_attempt, token(0), old_finish, finish(1), done()],
                Ok("t0"),
            )
        },
        Case {
            repeated: 1,
            ..case(
                "token repeated",
                vec![token(0), token(0), token(1), finish(2), done()],
                Ok("t0t1"),
            )
        },
    ]
}

fn broken_cases() -> Vec<Case> {
    vec![
        case("no events", vec![], Err(EngineError::MissingEndMarker)),
        case(
            "no finish",
            vec![token(0), done()],
            Err(EngineError::MissingEndMarker),
        ),
        case(
            "no end marker",
            vec![token(0), finish(1)],
            Err(EngineError::MissingEndMarker),
        ),
        case(
            "first token missing",
            vec![token(1), finish(2), done()],
            Err(EngineError::MissingToken(0, 1)),
        ),
        case(
            "last token missing",
            vec![token(0), finish(2), done()],
            Err(EngineError::TokenCountMismatch(1, 2)),
        ),
        case(
            "token after the finish",
            vec![token(0), finish(1), token(1), done()],
            Err(EngineError::MissingToken(1, 1)),
        ),
        case(
            "neither token nor finish",
            vec![format!("data: {{{OWN}}}\n\n")],
            Err(EngineError::Malformed(
                "event is neither a token nor the finish".to_owned(),
            )),
        ),
    ]
}

async fn read(client: &EngineClient) -> Result<String, EngineError> {
    let attempt = EngineRequest {
        request_id: RequestId(7),
        attempt_id: AttemptId(2),
        ..EngineRequest::default()
    };
    let mut stream = client.stream(&attempt).await?;
    let mut text = String::new();
    while let Some(event) = stream.next().await? {
        match event {
            EngineEvent::Token { text: token, .. } => text.push_str(&token),
            EngineEvent::Finish { .. } => return Ok(text),
        }
    }
    panic!("the stream ended with neither finish nor error");
}

/// Guards against a wrong, foreign or partial answer being presented as complete, whatever the
/// engine sends.
#[tokio::test]
async fn foreign_repeated_or_missing_events_never_corrupt_an_answer() {
    for case in complete_cases().into_iter().chain(broken_cases()) {
        let addr = start_scripted(http_answer(200, &case.events.concat()));
        let client = EngineClient::new(addr, settings());
        let text = read(&client).await;
        assert_eq!(text, case.text.map(str::to_owned), "{}", case.name);
        let dropped = DroppedEvents {
            foreign: case.foreign,
            repeated: case.repeated,
        };
        assert_eq!(client.dropped(), dropped, "{}", case.name);
    }
}

/// Guards against events that are lost or joined at the boundaries of the parts in which they
/// arrive.
#[tokio::test]
async fn events_split_at_any_byte_are_decoded() {
    let events = [token(0), token(1), finish(2), done()].concat();
    let parts: Vec<usize> = (1..events.len()).step_by(PART_STEP).collect();
    let answers = parts.iter().map(|part| {
        let chunks = events.as_bytes().chunks(*part).map(|chunk| {
            let text = String::from_utf8(chunk.to_vec()).unwrap();
            format!("{:x}\r\n{text}\r\n", chunk.len())
        });
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let body: String = chunks.collect();
        format!("{head}{body}0\r\n\r\n").into_bytes()
    });
    let addr = start_scripted_series(answers.collect());
    for part in parts {
        let text = read(&EngineClient::new(addr, settings())).await;
        assert_eq!(text, Ok("t0t1".to_owned()), "parts of {part} bytes");
    }
}

/// Guards against a panic on a malformed event, and against malformed events being skipped.
#[tokio::test]
async fn malformed_events_are_an_error() {
    for event in ["data: {\n\n", "data: 7\n\n", "data:\n\n"] {
        let addr = start_scripted(http_answer(200, &[event, &finish(0), &done()].concat()));
        let error = read(&EngineClient::new(addr, settings())).await;
        assert!(
            matches!(error, Err(EngineError::Malformed(_))),
            "{event:?}: {error:?}"
        );
    }
}

/// Guards against an answer that its engine broke off and that is taken for complete, because the
/// end of the connection is taken for the end of the answer. An engine has to state a length or
/// send chunks, so an answer without either is refused also if nothing of it is missing.
#[tokio::test]
async fn an_answer_without_length_or_chunks_is_never_complete() {
    let whole = [token(0), finish(1), done()].concat();
    let within_event = whole.len() - 1;
    let between_events = token(0).len();
    for sent in [0, between_events, within_event, whole.len()] {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", &whole[..sent]);
        let client = EngineClient::new(start_scripted(answer), settings());
        let error = read(&client).await.expect_err("not complete");
        let failure = Failure::from(error);
        assert_eq!(failure.kind(), ErrorKind::AnswerBroken, "{sent} bytes");
        assert_eq!(failure.stage(), Stage::AnswerStarted, "{sent} bytes");
    }
}
