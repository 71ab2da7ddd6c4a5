//! Tests of the service client against the stand-in of a plain service and against broken servers.

use crate::scripted::{start_interrupted, start_scripted};
use crate::{SILENCE_TIMEOUT, loopback, refusing_socket, settings, short_silence};
use anvilgw_core::{ErrorKind, Executed, Failure, Stage};
use anvilgw_platform::{CallOptions, ServiceAnswer, ServiceCall, ServiceClient, SilenceSignal};
use anvilgw_standin::{ConnectionFaults, ServiceConfig, ServiceFaults, ServiceStandin};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderValue, Method};
use std::net::SocketAddr;
use std::time::Duration;

fn client(addr: SocketAddr) -> ServiceClient {
    ServiceClient::new(addr, settings())
}

async fn call(
    client: &ServiceClient,
    key: &'static str,
    options: CallOptions,
) -> Result<ServiceAnswer, Failure> {
    let mut call = ServiceCall::new(Method::POST, "/switch", Bytes::from_static(b"on"));
    call.headers
        .insert("idempotency-key", HeaderValue::from_static(key));
    call.options = options;
    client.call(call).await
}

struct Case {
    name: &'static str,
    faults: ServiceFaults,
    connections: ConnectionFaults,
    options: CallOptions,
    expected: Option<(ErrorKind, Stage)>,
    executions: u64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "no fault",
            faults: ServiceFaults::default(),
            connections: ConnectionFaults::default(),
            options: CallOptions::default(),
            expected: None,
            executions: 1,
        }
    }
}

fn service_cases() -> Vec<Case> {
    vec![
        Case::default(),
        Case {
            name: "cut before execution",
            faults: ServiceFaults {
                cut_before_probability: 1.0,
                ..ServiceFaults::default()
            },
            expected: Some((ErrorKind::BackendFailed, Stage::AnswerLost)),
            executions: 0,
            ..Case::default()
        },
        Case {
            name: "cut after execution",
            faults: ServiceFaults {
                cut_after_probability: 1.0,
                ..ServiceFaults::default()
            },
            expected: Some((ErrorKind::BackendFailed, Stage::AnswerLost)),
            ..Case::default()
        },
        Case {
            name: "silent after execution",
            faults: ServiceFaults {
                silence_after_probability: 1.0,
                ..ServiceFaults::default()
            },
            options: short_silence(),
            expected: Some((ErrorKind::BackendSilent, Stage::AnswerLost)),
            ..Case::default()
        },
        Case {
            name: "answer after the time limit",
            faults: ServiceFaults {
                late_probability: 1.0,
                late_ms: 60_000,
                ..ServiceFaults::default()
            },
            options: CallOptions {
                time_limit: Some(Duration::from_millis(100)),
                ..CallOptions::default()
            },
            expected: Some((ErrorKind::DeadlineExceeded, Stage::Written)),
            ..Case::default()
        },
    ]
}

fn connection_cases() -> Vec<Case> {
    let open_connections_silent = ConnectionFaults {
        silence_open: true,
        ..ConnectionFaults::default()
    };
    vec![
        Case {
            name: "idle connection silent",
            connections: open_connections_silent.clone(),
            options: short_silence(),
            expected: Some((ErrorKind::BackendSilent, Stage::AnswerLost)),
            executions: 0,
            ..Case::default()
        },
        Case {
            name: "idle connection silent, new one asked for",
            connections: open_connections_silent,
            options: CallOptions {
                fresh_connection: true,
                ..CallOptions::default()
            },
            ..Case::default()
        },
    ]
}

/// Guards against errors that tell wrongly whether a call was executed.
#[tokio::test]
async fn stage_of_a_failed_call_matches_its_execution() {
    for case in service_cases().into_iter().chain(connection_cases()) {
        let standin = ServiceStandin::start(ServiceConfig::default(), loopback())
            .await
            .unwrap();
        let client = client(standin.addr());
        call(&client, "warm-up", CallOptions::default())
            .await
            .unwrap();
        standin.set_faults(case.faults);
        standin.set_connection_faults(&case.connections);
        let result = call(&client, "key", case.options).await;
        let failure = result
            .err()
            .map(|failure| (failure.kind(), failure.stage()));
        assert_eq!(failure, case.expected, "{}", case.name);
        assert_eq!(standin.executions("key"), case.executions, "{}", case.name);
    }
}

/// Guards against a refused connection being reported as possibly executed.
#[tokio::test]
async fn call_on_a_refused_connection_is_reported_as_not_executed() {
    let (_socket, addr) = refusing_socket();
    let failure = call(&client(addr), "key", CallOptions::default()).await;
    let failure = failure.unwrap_err();
    assert_eq!(failure.stage(), Stage::Connecting);
    assert_eq!(failure.executed(), Executed::No);
}

/// Guards against a call being written after it was reported as not executed. It is cancelled after
/// it was handed to the connection and before its first byte was written.
#[tokio::test]
async fn call_cancelled_before_its_first_byte_is_never_executed() {
    let standin = ServiceStandin::start(ServiceConfig::default(), loopback())
        .await
        .unwrap();
    let client = client(standin.addr());
    let options = CallOptions {
        silence_timeout: Some(Duration::ZERO),
        ..CallOptions::default()
    };
    // The runtime has one thread, so the task that writes has not run yet.
    let failure = call(&client, "key", options).await.unwrap_err();
    assert_eq!(failure.stage(), Stage::Connecting);
    call(&client, "next", CallOptions::default()).await.unwrap();
    assert_eq!(standin.executions("key"), 0);
}

/// Guards against a call being written after it was reported as not executed, with the writing task
/// on another thread at the time of the cancellation.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn call_cancelled_while_being_written_is_reported_correctly() {
    let standin = ServiceStandin::start(ServiceConfig::default(), loopback())
        .await
        .unwrap();
    let client = client(standin.addr());
    let calls = (0..100).map(|number: u32| {
        let client = &client;
        async move {
            let key = format!("key-{number}");
            let mut call = ServiceCall::new(Method::POST, "/switch", Bytes::new());
            let value = HeaderValue::try_from(&key).unwrap();
            call.headers.insert("idempotency-key", value);
            call.options.silence_timeout = Some(Duration::ZERO);
            let executed = client.call(call).await;
            (
                key,
                executed.map_or_else(|f| f.executed(), |_| Executed::Yes),
            )
        }
    });
    let calls: Vec<_> = stream::iter(calls).buffer_unordered(16).collect().await;
    call_on_a_later_connection(&client).await;
    for (key, executed) in calls {
        let executions = standin.executions(&key);
        let allowed = if executed == Executed::No { 0 } else { 1 };
        assert!(executions <= allowed, "{key}: {executed}, {executions}");
    }
}

/// Makes a call on a new connection. The server accepts it after all others, so that their bytes
/// have arrived when the call is answered.
async fn call_on_a_later_connection(client: &ServiceClient) {
    let options = CallOptions {
        fresh_connection: true,
        ..CallOptions::default()
    };
    call(client, "last", options).await.unwrap();
}

/// Guards against new calls that wait for, or are sent on, a connection that has gone silent.
#[tokio::test]
async fn new_work_after_silence_uses_a_new_connection() {
    let standin = ServiceStandin::start(ServiceConfig::default(), loopback())
        .await
        .unwrap();
    let client = client(standin.addr());
    let (one, other) = tokio::join!(
        call(&client, "a", CallOptions::default()),
        call(&client, "a", CallOptions::default())
    );
    one.and(other).unwrap();
    standin.set_connection_faults(&ConnectionFaults {
        silence_open: true,
        ..ConnectionFaults::default()
    });
    call(&client, "b", short_silence()).await.unwrap_err();
    call(&client, "b", CallOptions::default()).await.unwrap();
    assert_eq!(standin.executions("b"), 1);
    let counters = client.counters();
    // The second idle connection was not tried.
    assert_eq!((counters.opened, counters.silent), (3, 1));
}

/// Guards against a silence that ends a call although its user wants only to know of it. A sound
/// server that falls silent for a while would lose the answer.
#[tokio::test]
async fn reported_silence_does_not_end_the_call() {
    let standin = ServiceStandin::start(ServiceConfig::default(), loopback())
        .await
        .unwrap();
    standin.set_connection_faults(&ConnectionFaults {
        pause_ms: 3 * SILENCE_TIMEOUT.as_millis() as u64,
        ..ConnectionFaults::default()
    });
    let silence = SilenceSignal::default();
    let options = CallOptions {
        silence_signal: Some(silence.clone()),
        ..short_silence()
    };
    let client = client(standin.addr());
    let (answer, ()) = tokio::join!(call(&client, "a", options), silence.silent());
    answer.unwrap();
    assert!(!silence.is_silent());
    assert_eq!(standin.executions("a"), 1);
}

struct BrokenAnswer {
    name: &'static str,
    bytes: &'static str,
    expected: Option<(ErrorKind, Stage)>,
}

const BROKEN_ANSWERS: [BrokenAnswer; 9] = [
    BrokenAnswer {
        name: "complete",
        bytes: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        expected: None,
    },
    BrokenAnswer {
        name: "complete chunks",
        bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        expected: None,
    },
    BrokenAnswer {
        name: "cut in the head",
        bytes: "HTTP/1.1 200 OK\r\ncontent-le",
        expected: Some((ErrorKind::BackendFailed, Stage::AnswerLost)),
    },
    BrokenAnswer {
        name: "shorter than its length",
        bytes: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        expected: Some((ErrorKind::AnswerBroken, Stage::AnswerStarted)),
    },
    BrokenAnswer {
        name: "last chunk missing",
        bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
        expected: Some((ErrorKind::AnswerBroken, Stage::AnswerStarted)),
    },
    BrokenAnswer {
        name: "no framing",
        bytes: "HTTP/1.1 200 OK\r\n\r\nok",
        expected: Some((ErrorKind::AnswerBroken, Stage::AnswerStarted)),
    },
    BrokenAnswer {
        name: "a coding without an end of its own",
        bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok",
        expected: Some((ErrorKind::AnswerBroken, Stage::AnswerStarted)),
    },
    BrokenAnswer {
        name: "chunks within such a coding",
        bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, gzip\r\n\r\nok",
        expected: Some((ErrorKind::AnswerBroken, Stage::AnswerStarted)),
    },
    BrokenAnswer {
        name: "refusal cut",
        bytes: "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 9\r\n\r\nno",
        expected: Some((ErrorKind::AnswerBroken, Stage::AnswerLost)),
    },
];

/// Guards against bytes with a status that no final answer has being taken for an answer.
#[tokio::test]
async fn answers_with_an_invalid_status_are_refused() {
    for status in [
        "000", "0", "42", "099", "101", "600", "700", "999", "1000", "2OO",
    ] {
        for framing in [
            "content-length: 2\r\n\r\nok",
            "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        ] {
            let addr = start_scripted(format!("HTTP/1.1 {status} x\r\n{framing}"));
            let result = call(&client(addr), "key", CallOptions::default()).await;
            let failure = result
                .err()
                .map(|failure| (failure.kind(), failure.stage()));
            let expected = Some((ErrorKind::BackendFailed, Stage::AnswerLost));
            assert_eq!(failure, expected, "{status}, {framing:?}");
        }
    }
}

/// Guards against a cut answer being taken for a complete one.
#[tokio::test]
async fn broken_answers_are_detected() {
    for case in BROKEN_ANSWERS {
        let addr = start_scripted(case.bytes);
        let result = call(&client(addr), "key", CallOptions::default()).await;
        let failure = result
            .err()
            .map(|failure| (failure.kind(), failure.stage()));
        assert_eq!(failure, case.expected, "{}", case.name);
    }
}

/// Guards against a part of an answer being taken for the whole, and the call for one that was not
/// executed, if the server answers before it has read the body and breaks the answer off.
#[tokio::test]
async fn early_answers_that_are_broken_off_are_detected() {
    const FRAMINGS: [&str; 4] = [
        "\r\nok",
        "transfer-encoding: x-none\r\n\r\nok",
        "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
        "content-length: 9\r\n\r\nok",
    ];
    for status in [200, 201, 404, 500] {
        for framing in FRAMINGS {
            for body_bytes in [128 * 1024, 6 * 1024 * 1024] {
                let addr = start_interrupted(format!("HTTP/1.1 {status} x\r\n{framing}"));
                let body = vec![b'x'; body_bytes].into();
                let call = ServiceCall::new(Method::POST, "/", body);
                let failure = client(addr).call(call).await.expect_err("broken off");
                let case = format!("{status}, {framing:?}, {body_bytes}: {failure}");
                assert_ne!(failure.executed(), Executed::No, "{case}");
            }
        }
    }
}

/// Guards against wrong reports of whether a call was executed under many simultaneous faults, and
/// against a call that is executed twice.
#[tokio::test]
async fn execution_is_reported_correctly_under_mixed_faults() {
    let config = ServiceConfig {
        seed: 42,
        faults: ServiceFaults {
            cut_before_probability: 0.1,
            cut_after_probability: 0.1,
            silence_after_probability: 0.02,
            ..ServiceFaults::default()
        },
        ..ServiceConfig::default()
    };
    let standin = ServiceStandin::start(config, loopback()).await.unwrap();
    let client = client(standin.addr());
    let calls = (0..300).map(|number: u32| {
        let (client, standin) = (&client, &standin);
        async move {
            let key = format!("key-{number}");
            let mut call = ServiceCall::new(Method::POST, "/switch", Bytes::new());
            let value = HeaderValue::try_from(&key).unwrap();
            call.headers.insert("idempotency-key", value);
            call.options = short_silence();
            if number % 50 == 49 {
                standin.set_connection_faults(&ConnectionFaults {
                    cut_open: true,
                    silence_probability: 0.02,
                    ..ConnectionFaults::default()
                });
            }
            let result = client.call(call).await;
            let executed = result
                .as_ref()
                .map_or_else(Failure::executed, |_| Executed::Yes);
            let executions = standin.executions(&key);
            match executed {
                Executed::No => assert_eq!(executions, 0, "{key}: {result:?}"),
                Executed::Yes => assert_eq!(executions, 1, "{key}: {result:?}"),
                Executed::Unknown => assert!(executions <= 1, "{key}: {result:?}"),
            }
            u32::from(result.is_ok())
        }
    });
    let answered: Vec<u32> = stream::iter(calls).buffer_unordered(8).collect().await;
    assert!(answered.iter().sum::<u32>() > 150);
}

/// Guards against lost trace context, and against headers of the caller's connection reaching the
/// service.
#[tokio::test]
async fn trace_context_is_forwarded_and_connection_headers_are_removed() {
    let standin = ServiceStandin::start(ServiceConfig::default(), loopback())
        .await
        .unwrap();
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let mut call = ServiceCall::new(Method::GET, "/status?court=1", Bytes::new());
    call.headers
        .insert("transfer-encoding", HeaderValue::from_static("chunked"));
    call.headers
        .insert("content-length", HeaderValue::from_static("99"));
    call.headers
        .insert("connection", HeaderValue::from_static("idempotency-key"));
    call.headers
        .insert("idempotency-key", HeaderValue::from_static("key"));
    call.options.traceparent = Some(HeaderValue::from_static(trace));
    let answer = client(standin.addr()).call(call).await.unwrap();
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(body["traceparent"], trace);
    assert_eq!(body["path"], "/status");
    assert_eq!(body["key"], "");
    assert_eq!(
        client(standin.addr()).load_report().await.unwrap().executed,
        1
    );
}
