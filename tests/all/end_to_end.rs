//! Requests from caller to backend server and back, while engines, services, the log or daemons
//! fail.

use anvilgw_core::Executed;
use anvilgw_standin::{EngineConfig, EngineFaults, LogFaults, ServiceFaults, answer_text};
use anvilgw_testbed::{CallerError, MODEL, SERVICE, Testbed, TestbedConfig, workspace_key};
use http::Method;
use serde_json::{Value, json};
use std::collections::HashSet;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const ANSWER_TOKENS: u64 = 16;

fn prompt(number: usize) -> String {
    (0..200).map(|word| format!("w{number}x{word} ")).collect()
}

fn key() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn executions(testbed: &Testbed, key: &str) -> u64 {
    testbed
        .services
        .iter()
        .map(|service| service.executions(key))
        .sum()
}

struct StreamFault {
    /// Fault that the engine causes in a stream after four tokens.
    name: &'static str,
    faults: EngineFaults,
}

fn stream_faults() -> Vec<StreamFault> {
    let after_four = EngineFaults {
        after_tokens: 4,
        ..EngineFaults::default()
    };
    let fault = |name, faults| StreamFault { name, faults };
    vec![
        fault(
            "closed connection",
            EngineFaults {
                cut_probability: 0.5,
                ..after_four.clone()
            },
        ),
        fault(
            "event of another request",
            EngineFaults {
                foreign_probability: 0.5,
                ..after_four.clone()
            },
        ),
        fault(
            "repeated token",
            EngineFaults {
                repeat_probability: 0.5,
                ..after_four.clone()
            },
        ),
        fault(
            "missing token",
            EngineFaults {
                skip_probability: 0.5,
                ..after_four.clone()
            },
        ),
        fault(
            "missing end marker",
            EngineFaults {
                no_end_probability: 0.5,
                ..after_four
            },
        ),
    ]
}

/// Guards against answers that are presented as complete although tokens are missing, repeated or
/// belong to another request. The caller checks each answer against the prompt.
#[tokio::test(flavor = "multi_thread")]
async fn broken_streams_are_resumed_or_end_with_an_error() {
    let testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    // A server with a broken stream counts as cold until its next load report, and requests to it
    // need permits.
    testbed.wait_for_epoch().await.unwrap();
    let caller = testbed.caller();
    let mut complete = 0;
    for case in stream_faults() {
        for engine in &testbed.engines {
            engine.set_faults(case.faults.clone());
        }
        for number in 0..20 {
            let answer = caller
                .complete(number % 3, 1, &prompt(number), ANSWER_TOKENS)
                .await;
            match answer {
                Ok(_) => complete += 1,
                Err(CallerError::WrongAnswer(detail)) => panic!("{}: {detail}", case.name),
                Err(CallerError::StreamFailed(_) | CallerError::Refused(..)) => {}
                Err(error) => panic!("{}: {error}", case.name),
            }
        }
    }
    assert!(complete > 0, "no stream was resumed");
    testbed.stop().await;
}

/// Guards against a second execution when the same key arrives at several daemons at once, and
/// against repeats that get a different answer than the first call.
#[tokio::test(flavor = "multi_thread")]
async fn same_key_at_several_daemons_is_executed_once() {
    let testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
    for _ in 0..10 {
        let key = key();
        let calls: Vec<_> = (0..3)
            .map(|daemon| {
                let (caller, key) = (caller.clone(), key.clone());
                tokio::spawn(async move {
                    let body = "{\"court\":1}";
                    let call =
                        caller.call_service(daemon, 1, Method::POST, "/on", Some(&key), body);
                    call.await
                })
            })
            .collect();
        let mut answers = HashSet::new();
        for call in calls {
            match call.await.unwrap() {
                Ok(answer) => {
                    answers.insert(answer.body);
                }
                Err(CallerError::Refused(409, _, Some(Executed::Unknown))) => {}
                Err(error) => panic!("{error}"),
            }
        }
        assert_eq!(answers.len(), 1, "one answer for one key");
        assert_eq!(executions(&testbed, &key), 1);
    }
    testbed.stop().await;
}

/// Guards against a key that is accepted again with a different body.
#[tokio::test(flavor = "multi_thread")]
async fn key_with_another_body_is_refused() {
    let testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
    let key = key();
    let first = caller
        .call_service(0, 1, Method::POST, "/on", Some(&key), "{\"court\":1}")
        .await;
    assert!(first.is_ok());
    let second = caller
        .call_service(1, 1, Method::POST, "/on", Some(&key), "{\"court\":2}")
        .await;
    assert!(matches!(
        second,
        Err(CallerError::Refused(422, _, Some(Executed::No)))
    ));
    // The same key sent by another workspace is a different key.
    let other = caller
        .call_service(1, 2, Method::POST, "/on", Some(&key), "{\"court\":2}")
        .await;
    assert!(other.is_ok());
    testbed.stop().await;
}

/// Guards against non-idempotent calls that are executed without a claim during a log outage, and
/// against refusals that report `executed: no` for an executed call.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_calls_are_refused_during_log_outage() {
    let testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    // Without the log, a daemon counts its view as fresh only as a member of an epoch.
    testbed.wait_for_epoch().await.unwrap();
    let caller = testbed.caller();
    testbed.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let key = key();
    let refused = caller
        .call_service(0, 1, Method::POST, "/on", Some(&key), "{}")
        .await;
    assert!(
        matches!(
            &refused,
            Err(CallerError::Refused(503, _, Some(Executed::No)))
        ),
        "{refused:?}"
    );
    assert_eq!(executions(&testbed, &key), 0);
    // Idempotent requests are still served.
    let read = caller
        .call_service(0, 1, Method::GET, "/status", None, "")
        .await;
    assert!(read.is_ok(), "{read:?}");
    let answer = caller.complete(0, 1, &prompt(1), ANSWER_TOKENS).await;
    assert!(answer.is_ok(), "{answer:?}");
    testbed.stop().await;
}

/// Guards against a non-idempotent call that is sent again after the backend server executed it and
/// closed the connection without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_call_is_not_sent_again_after_a_lost_answer() {
    let testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
    for service in &testbed.services {
        service.set_faults(ServiceFaults {
            cut_after_probability: 1.0,
            ..ServiceFaults::default()
        });
    }
    let key = key();
    for daemon in 0..3 {
        let answer = caller
            .call_service(daemon, 1, Method::POST, "/on", Some(&key), "{}")
            .await;
        assert!(
            matches!(
                &answer,
                Err(CallerError::Refused(_, _, Some(Executed::Unknown)))
            ),
            "{answer:?}"
        );
    }
    assert_eq!(executions(&testbed, &key), 1);
    testbed.stop().await;
}

/// Guards against a graceful shutdown that interrupts open requests.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_finishes_open_streams() {
    let mut testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
    let streams: Vec<_> = (0..8)
        .map(|number| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.complete(0, 1, &prompt(number), 60).await })
        })
        .collect();
    // The shutdown begins once all streams are open.
    while testbed
        .engines
        .iter()
        .map(|e| e.counters().accepted)
        .sum::<u64>()
        < 8
    {
        tokio::task::yield_now().await;
    }
    let shutdown = testbed.shutdown_daemon(0).await.unwrap();
    assert_eq!(shutdown.interrupted, 0);
    for stream in streams {
        stream.await.unwrap().unwrap();
    }
    testbed.stop().await;
}

/// Guards against a graceful shutdown that closes the connection of a caller who is still sending a
/// request. The caller would get neither an answer nor a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_waits_for_requests_that_are_being_sent() {
    const BODY: &str = "{\"court\":1}";
    let mut testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let address = testbed.listen_address(0);
    let mut caller = TcpStream::connect(address).await.unwrap();
    let (first_part, rest) = BODY.split_at(4);
    let head = format!(
        "GET /services/{SERVICE}/status HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{first_part}",
        workspace_key(1),
        BODY.len(),
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    let daemon = testbed.take_daemon(0).unwrap();
    // The daemon has received the head.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (_abort, aborted) = tokio::sync::watch::channel(false);
    let shutdown = tokio::spawn(daemon.shutdown(aborted));
    // Longer than the lag of the load balancer and the time to flush answers.
    tokio::time::sleep(Duration::from_secs(2)).await;
    caller.write_all(rest.as_bytes()).await.unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert_eq!(shutdown.await.unwrap().interrupted, 0);
    testbed.stop().await;
}

/// Guards against a graceful shutdown that cuts a whole answer because the caller reads it slowly.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_sends_whole_answers_to_slow_callers() {
    /// Answer of 6 MB, much more than the buffers of the connection hold.
    const TOKENS: u64 = 1_000_000;
    const RECEIVE_BUFFER_BYTES: u32 = 4_096;
    let mut testbed = Testbed::start(TestbedConfig {
        engine: EngineConfig {
            decode_ms: 0.001,
            ..TestbedConfig::default().engine
        },
        ..TestbedConfig::default()
    })
    .await
    .unwrap();
    let address = testbed.listen_address(0);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut caller = socket.connect(address).await.unwrap();
    let body = json!({ "model": MODEL, "prompt": "long", "max_tokens": TOKENS }).to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n{body}",
        workspace_key(0),
        body.len(),
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 1];
    caller.read_exact(&mut answer).await.unwrap();
    let daemon = testbed.take_daemon(0).unwrap();
    let (_abort, aborted) = tokio::sync::watch::channel(false);
    let shutdown = tokio::spawn(daemon.shutdown(aborted));
    tokio::time::sleep(Duration::from_secs(3)).await;
    caller.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8(answer).unwrap();
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    let body: Value = serde_json::from_str(body).unwrap();
    let text = body["choices"][0]["text"].as_str();
    assert!(text == Some(answer_text("long", TOKENS).as_str()));
    assert_eq!(shutdown.await.unwrap().interrupted, 0);
    testbed.stop().await;
}

/// Guards against a killed daemon that continues to serve its open connections, as no crashed
/// process does. Tests that kill a daemon would then pass without a crash.
#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_closes_its_connections() {
    let mut testbed = Testbed::start(TestbedConfig::default()).await.unwrap();
    let caller = testbed.caller();
    let stream = tokio::spawn(async move { caller.complete(0, 1, &prompt(1), 400).await });
    while testbed
        .engines
        .iter()
        .map(|engine| engine.counters().accepted)
        .sum::<u64>()
        == 0
    {
        tokio::task::yield_now().await;
    }
    testbed.kill_daemon(0).await;
    let answer = stream.await.unwrap();
    assert!(
        matches!(answer, Err(CallerError::Connection(_))),
        "{answer:?}"
    );
    testbed.stop().await;
}
