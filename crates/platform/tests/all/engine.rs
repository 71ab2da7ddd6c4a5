//! Tests of the engine client against the engine stand-in.

use crate::scripted::{http_answer, start_scripted};
use crate::{SILENCE_TIMEOUT, STEP_TIMEOUT_MS, loopback, settings, short_silence};
use anvilgw_core::{AttemptId, RequestId, Stage};
use anvilgw_platform::{
    CallOptions, EngineClient, EngineError, EngineEvent, EngineRequest, EngineUsage, KvImport,
    KvSource, TransportCause, TransportError,
};
use anvilgw_standin::{
    AnswerGenerator, ConnectionFaults, EngineConfig, EngineCounters, EngineFaults, EngineStandin,
    RunningStandin, answer_text,
};
use http::HeaderValue;
use serde_json::{Value, json};
use std::net::SocketAddr;

const TOKENS: u64 = 20;

fn fast() -> EngineConfig {
    EngineConfig {
        prefill_tokens_per_s: 1e6,
        decode_ms: 0.5,
        ping_ms: 50,
        import_limit_ms: STEP_TIMEOUT_MS,
        ..EngineConfig::default()
    }
}

async fn start(config: EngineConfig) -> RunningStandin<EngineStandin> {
    EngineStandin::start(config, loopback()).await.unwrap()
}

fn client(addr: SocketAddr) -> EngineClient {
    EngineClient::new(addr, settings())
}

fn prompt() -> String {
    (0..40).map(|word| format!("word{word} ")).collect()
}

fn attempt(number: u64) -> EngineRequest {
    let body = json!({"model": "m", "prompt": prompt(), "max_tokens": TOKENS});
    EngineRequest {
        request_id: RequestId(7),
        attempt_id: AttemptId(number),
        body: body.as_object().unwrap().clone(),
        ..EngineRequest::default()
    }
}

/// Runs a completion to its end.
pub(crate) async fn complete(addr: SocketAddr, body: &Value) {
    let extension = &body["anvilgw"];
    let request = EngineRequest {
        blocks: serde_json::from_value(extension["blocks"].clone()).unwrap(),
        block_tokens: extension["block_tokens"].as_u64().unwrap(),
        body: body.as_object().unwrap().clone(),
        ..EngineRequest::default()
    };
    run(&client(addr), &request).await.usage.unwrap();
}

/// Text received in one attempt and how the attempt ended.
struct Outcome {
    text: String,
    tokens: u64,
    usage: Result<EngineUsage, EngineError>,
}

async fn run(client: &EngineClient, attempt: &EngineRequest) -> Outcome {
    let mut text = String::new();
    let mut tokens = 0;
    let usage = async {
        let mut stream = client.stream(attempt).await?;
        loop {
            match stream.next().await? {
                Some(EngineEvent::Token { index, text: token }) => {
                    assert_eq!(index, attempt.resume_from + tokens);
                    text.push_str(&token);
                    tokens += 1;
                }
                Some(EngineEvent::Finish { usage, .. }) => return Ok(usage),
                None => panic!("no finish"),
            }
        }
    };
    let usage = usage.await;
    Outcome {
        text,
        tokens,
        usage,
    }
}

struct StreamCase {
    name: &'static str,
    faults: EngineFaults,
    error: Option<EngineError>,
    tokens: u64,
}

fn stream_cases() -> Vec<StreamCase> {
    let after = |faults| EngineFaults {
        after_tokens: 5,
        ..faults
    };
    let none = EngineFaults::default;
    vec![
        StreamCase {
            name: "no fault",
            faults: none(),
            error: None,
            tokens: TOKENS,
        },
        StreamCase {
            name: "event of another request",
            faults: after(EngineFaults {
                foreign_probability: 1.0,
                ..none()
            }),
            error: None,
            tokens: TOKENS,
        },
        StreamCase {
            name: "token sent twice",
            faults: after(EngineFaults {
                repeat_probability: 1.0,
                ..none()
            }),
            error: None,
            tokens: TOKENS,
        },
        StreamCase {
            name: "token left out",
            faults: after(EngineFaults {
                skip_probability: 1.0,
                ..none()
            }),
            error: Some(EngineError::MissingToken(5, 6)),
            tokens: 5,
        },
        StreamCase {
            name: "end marker left out",
            faults: EngineFaults {
                no_end_probability: 1.0,
                ..none()
            },
            error: Some(EngineError::MissingEndMarker),
            tokens: TOKENS,
        },
    ]
}

/// Guards against wrong, foreign or partial answers being presented as complete ones.
#[tokio::test]
async fn faulty_streams_are_never_taken_for_complete() {
    for case in stream_cases() {
        let engine = start(EngineConfig {
            faults: case.faults,
            ..fast()
        })
        .await;
        let outcome = run(&client(engine.addr()), &attempt(1)).await;
        assert_eq!(outcome.usage.err(), case.error, "{}", case.name);
        assert_eq!(outcome.tokens, case.tokens, "{}", case.name);
        assert_eq!(outcome.text, answer_text(&prompt(), case.tokens));
    }
}

/// Guards against a broken stream being taken for complete, and against a resumed answer that
/// differs from an undisturbed one.
#[tokio::test]
async fn resumed_answer_equals_an_undisturbed_one() {
    let cut = EngineFaults {
        cut_probability: 1.0,
        after_tokens: 5,
        ..EngineFaults::default()
    };
    let silence = EngineFaults {
        silence_probability: 1.0,
        after_tokens: 5,
        ..EngineFaults::default()
    };
    for faults in [cut, silence] {
        let is_silent = faults.silence_probability > 0.0;
        let engine = start(EngineConfig { faults, ..fast() }).await;
        let client = client(engine.addr());
        let mut request = attempt(1);
        if is_silent {
            request.options = short_silence();
        }
        let first = run(&client, &request).await;
        let Err(EngineError::Transport(TransportError::Failed(cause, stage))) = first.usage else {
            panic!("unexpected {:?}", first.usage);
        };
        assert_eq!(
            matches!(cause, TransportCause::Silent(_)),
            is_silent,
            "{cause}"
        );
        assert_eq!(stage, Stage::AnswerStarted);
        assert!(first.tokens <= 5);
        engine.set_faults(EngineFaults::default());
        let mut rest = attempt(2);
        rest.resume_from = first.tokens;
        let second = run(&client, &rest).await;
        assert_eq!(second.usage.unwrap().completion_tokens, TOKENS);
        let text = first.text + &second.text;
        assert_eq!(text, answer_text(&prompt(), TOKENS));
    }
}

/// Guards against an engine that continues to work for a caller that has disconnected.
#[tokio::test]
async fn dropping_the_stream_cancels_the_request() {
    let engine = start(EngineConfig {
        decode_ms: 1e6,
        ..fast()
    })
    .await;
    let mut stream = client(engine.addr()).stream(&attempt(1)).await.unwrap();
    assert!(matches!(
        stream.next().await,
        Ok(Some(EngineEvent::Token { index: 0, .. }))
    ));
    drop(stream);
    while engine.load().running > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(engine.counters().completed, 0);
}

/// Guards against a long prefill being taken for a silent connection.
#[tokio::test]
async fn pings_keep_a_waiting_stream_open() {
    let engine = start(EngineConfig {
        prefill_tokens_per_s: 40.0 / (3 * SILENCE_TIMEOUT).as_secs_f64(),
        ..fast()
    })
    .await;
    let mut request = attempt(1);
    request.options = short_silence();
    let outcome = run(&client(engine.addr()), &request).await;
    assert_eq!(outcome.usage.unwrap().completion_tokens, TOKENS);
}

/// Guards against refusals without the status and stage on which the router decides what to do
/// next.
#[tokio::test]
async fn refusals_carry_their_status() {
    let engine = start(EngineConfig {
        models: vec!["other".to_owned()],
        ..fast()
    })
    .await;
    let mut versioned = attempt(1);
    versioned.weight_version = 9;
    for (attempt, status) in [(attempt(1), 404), (versioned, 409)] {
        let usage = run(&client(engine.addr()), &attempt).await.usage;
        let error = usage.unwrap_err();
        assert!(
            matches!(error, EngineError::Refused(got, _) if got == status),
            "{error}"
        );
        assert_eq!(error.stage(), Stage::Connecting);
    }
}

/// Guards against a request being reported as not executed, because an engine in trouble answers with
/// a status that is neither a success nor a refusal.
#[tokio::test]
async fn only_refusals_are_reported_as_not_executed() {
    let cases = [
        (201, Stage::AnswerLost),
        (204, Stage::AnswerLost),
        (302, Stage::AnswerLost),
        (400, Stage::Connecting),
        (499, Stage::Connecting),
        (500, Stage::AnswerLost),
        (503, Stage::Connecting),
        (599, Stage::AnswerLost),
        (600, Stage::AnswerLost),
    ];
    for (status, stage) in cases {
        let addr = start_scripted(http_answer(status, ""));
        let usage = run(&client(addr), &attempt(1)).await.usage;
        assert_eq!(usage.unwrap_err().stage(), stage, "{status}");
    }
}

/// Guards against reuse and import being reported for blocks that were computed.
#[tokio::test]
async fn usage_counts_reused_imported_and_recomputed_tokens() {
    let (first, second) = (start(fast()).await, start(fast()).await);
    let mut request = attempt(1);
    request.blocks = ["a", "b", "c"].map(str::to_owned).to_vec();
    request.block_tokens = 16;
    let parts = |usage: Result<EngineUsage, EngineError>| {
        let usage = usage.unwrap();
        (
            usage.reused_tokens,
            usage.imported_tokens,
            usage.recomputed_tokens,
        )
    };
    let client_1 = client(first.addr());
    assert_eq!(parts(run(&client_1, &request).await.usage), (0, 0, 40));
    assert_eq!(parts(run(&client_1, &request).await.usage), (40, 0, 0));
    request.import = ["a", "b", "missing"]
        .map(|key| KvImport {
            key: key.to_owned(),
            source: KvSource::Engine(first.addr()),
            generation: 0,
        })
        .to_vec();
    let client_2 = client(second.addr());
    assert_eq!(parts(run(&client_2, &request).await.usage), (0, 32, 8));
    assert_eq!(parts(run(&client_2, &request).await.usage), (40, 0, 0));
    assert_eq!(second.counters().wrong_blocks, 0);
}

/// Guards against wrong blocks being used. A wrong block must cost no more than its recomputation.
#[tokio::test]
async fn wrong_blocks_are_recomputed() {
    let holder = start(EngineConfig {
        faults: EngineFaults {
            wrong_kv_probability: 1.0,
            ..EngineFaults::default()
        },
        ..fast()
    })
    .await;
    let mut request = attempt(1);
    request.blocks = vec!["a".to_owned()];
    request.block_tokens = 40;
    run(&client(holder.addr()), &request).await.usage.unwrap();
    request.import = vec![KvImport {
        key: "a".to_owned(),
        source: KvSource::Engine(holder.addr()),
        generation: 0,
    }];
    for verify_imports in [true, false] {
        let reader = start(EngineConfig {
            verify_imports,
            ..fast()
        })
        .await;
        let outcome = run(&client(reader.addr()), &request).await;
        let recomputed = if verify_imports { 40 } else { 0 };
        assert_eq!(outcome.usage.unwrap().recomputed_tokens, recomputed);
        assert_eq!(outcome.text, answer_text(&prompt(), TOKENS));
        let counters = reader.counters();
        let counted = (counters.imports_refused, counters.wrong_blocks);
        assert_eq!(counted, if verify_imports { (1, 0) } else { (0, 1) });
    }
}

/// Guards against a stand-in whose cold engine sustains its full load, which would hide overload in
/// other tests.
#[tokio::test]
async fn cold_engine_crashes_above_its_concurrency() {
    let engine = start(EngineConfig {
        starts_warm: false,
        cold_concurrency: 1,
        warm_completions: 1,
        decode_ms: 1e6,
        restart_ms: 50,
        ..fast()
    })
    .await;
    let before = engine.load().start_ms;
    let client = client(engine.addr());
    let mut running = client.stream(&attempt(1)).await.unwrap();
    client.stream(&attempt(2)).await.unwrap_err();
    while let Ok(Some(EngineEvent::Token { .. })) = running.next().await {}
    assert_ne!(engine.load().start_ms, before);
    let EngineCounters {
        crashes,
        cold_crashes,
        ..
    } = engine.counters();
    assert_eq!((crashes, cold_crashes), (1, 1));
}

/// Guards against lost trace context and against a pool that opens a connection per request.
#[tokio::test]
async fn trace_is_propagated_and_connections_are_reused() {
    let engine = start(fast()).await;
    let client = client(engine.addr());
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    for number in 0..3 {
        let mut request = attempt(number);
        request.options = CallOptions {
            traceparent: Some(HeaderValue::from_static(trace)),
            ..CallOptions::default()
        };
        run(&client, &request).await.usage.unwrap();
        while client.idle_connections() == 0 {
            tokio::task::yield_now().await;
        }
    }
    assert_eq!(engine.last_traceparent().as_deref(), Some(trace));
    assert_eq!(client.counters().opened, 1);
    engine.set_connection_faults(&ConnectionFaults {
        silence_open: true,
        ..ConnectionFaults::default()
    });
    let mut request = attempt(9);
    request.options = short_silence();
    run(&client, &request).await.usage.unwrap_err();
    run(&client, &attempt(10)).await.usage.unwrap();
}

/// Guards against streams and JSON answers of the stand-in that differ for the same prompt.
#[test]
fn answer_is_a_function_of_the_prompt() {
    let key = AnswerGenerator::new("a prompt");
    assert_eq!(key.text(0, 9), answer_text("a prompt", 9));
    assert_eq!(key.text(0, 4) + &key.text(4, 9), key.text(0, 9));
    assert_ne!(key.text(0, 9), answer_text("another prompt", 9));
}
