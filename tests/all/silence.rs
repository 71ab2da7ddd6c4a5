//! Servers that are sound but fall silent for a while and go on, with answers in progress.

use anvilgw_config::{ConfigChange, Entitlements};
use anvilgw_core::Executed;
use anvilgw_standin::{ConnectionFaults, EngineFaults, ServiceConfig, ServiceFaults, answer_text};
use anvilgw_testbed::{Caller, CallerError, MODEL, Testbed, TestbedConfig, workspace_key};
use http::header::AUTHORIZATION;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use std::collections::HashSet;
use std::time::Duration;
use tokio::task::JoinHandle;

const PAUSES_MS: [u64; 3] = [1_000, 2_000, 3_000];
const ANSWER_TOKENS: u64 = 40;
/// Duration of a service call, long enough to start a pause during the call.
const SERVICE_WORK_MS: u64 = 300;
/// Longest wait for a request to reach its server.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State of the servers that an answer could move to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Others {
    Absent,
    Sound,
    /// They refuse requests with status 503.
    Full,
    /// They close the connection after the head of the answer.
    Reset,
    /// They accept connections and never answer.
    Hang,
}

impl Others {
    const ALL: [Self; 5] = [
        Self::Absent,
        Self::Sound,
        Self::Full,
        Self::Reset,
        Self::Hang,
    ];

    fn server_count(self) -> usize {
        match self {
            Self::Absent => 1,
            _ => 3,
        }
    }

    fn engine_faults(self) -> EngineFaults {
        EngineFaults {
            refuse: self == Self::Full,
            cut_probability: if self == Self::Reset { 1.0 } else { 0.0 },
            ..EngineFaults::default()
        }
    }

    fn connection_faults(self) -> ConnectionFaults {
        ConnectionFaults {
            silence_probability: if self == Self::Hang { 1.0 } else { 0.0 },
            ..ConnectionFaults::default()
        }
    }
}

fn pause(pause_ms: u64) -> ConnectionFaults {
    ConnectionFaults {
        pause_ms,
        ..ConnectionFaults::default()
    }
}

async fn start_testbed(others: Others) -> Testbed {
    let config = TestbedConfig {
        daemons: 1,
        engines: others.server_count(),
        service_servers: others.server_count(),
        stores: 0,
        service: ServiceConfig {
            work_ms: SERVICE_WORK_MS,
            ..TestbedConfig::default().service
        },
        ..TestbedConfig::default()
    };
    let testbed = Testbed::start(config).await.unwrap();
    testbed.wait_for_epoch().await.unwrap();
    testbed
}

type Answer = JoinHandle<Result<(), CallerError>>;

fn start_stream(caller: &Caller, prompt: &str) -> Answer {
    let (caller, prompt) = (caller.clone(), prompt.to_owned());
    tokio::spawn(async move {
        let answer = caller.complete(0, 0, &prompt, ANSWER_TOKENS).await;
        answer.map(drop)
    })
}

fn start_whole_answer(testbed: &Testbed, prompt: &str) -> Answer {
    let (caller, prompt) = (testbed.caller(), prompt.to_owned());
    let address = testbed.listen_address(0);
    tokio::spawn(async move {
        let mut headers = HeaderMap::new();
        let key = format!("Bearer {}", workspace_key(0));
        headers.insert(AUTHORIZATION, key.parse().unwrap());
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": ANSWER_TOKENS });
        let sent = caller.send(
            address,
            Method::POST,
            "/v1/completions",
            headers,
            body.to_string().into(),
        );
        let response = sent.await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| CallerError::Connection(error.to_string()))?;
        let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap();
        let text = body["choices"][0]["text"].as_str();
        if status == StatusCode::OK && text == Some(answer_text(&prompt, ANSWER_TOKENS).as_str()) {
            return Ok(());
        }
        Err(CallerError::WrongAnswer(format!("{status}: {body}")))
    })
}

fn start_call(caller: &Caller, method: Method, key: &str) -> Answer {
    let (caller, key) = (caller.clone(), key.to_owned());
    tokio::spawn(async move {
        let key = (method != Method::GET).then_some(key.as_str());
        let call = caller.call_service(0, 0, method, "/court", key, "");
        call.await.map(drop)
    })
}

/// Waits until the engines run this many requests, and returns the indices of those that run any.
async fn busy_engines(testbed: &Testbed, requests: u64) -> HashSet<usize> {
    let busy = async {
        loop {
            let running: Vec<u64> = testbed.engines.iter().map(|e| e.load().running).collect();
            if running.iter().sum::<u64>() >= requests {
                let busy = running.iter().enumerate().filter(|(_, count)| **count > 0);
                return busy.map(|(index, _)| index).collect();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let busy = tokio::time::timeout(START_TIMEOUT, busy).await;
    busy.expect("the engines run the requests")
}

/// Returns the number of executions at each server of the service.
fn executions(testbed: &Testbed) -> Vec<u64> {
    let services = testbed.services.iter();
    services
        .map(|s| s.all_executions().values().sum())
        .collect()
}

/// Waits for the next execution after `before`, and returns the index of its server.
async fn executing_service(testbed: &Testbed, before: &[u64]) -> usize {
    let executing = async {
        loop {
            let now = executions(testbed);
            if let Some(index) = (0..now.len()).find(|index| now[*index] > before[*index]) {
                return index;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let executing = tokio::time::timeout(START_TIMEOUT, executing).await;
    executing.expect("a server executes the call")
}

async fn expect_answer(answer: Answer, case: &str) {
    if let Err(error) = answer.await.unwrap() {
        panic!("{case}: {error}");
    }
}

/// Runs a stream and a whole answer, pauses the engines that run them and checks the answers.
async fn check_completions(testbed: &Testbed, others: Others, pause_ms: u64) {
    let case = format!("{others:?}, silent for {pause_ms} ms");
    let stream = start_stream(&testbed.caller(), &format!("stream {pause_ms}"));
    let whole = start_whole_answer(testbed, &format!("whole {pause_ms}"));
    let busy = busy_engines(testbed, 2).await;
    for (index, engine) in testbed.engines.iter().enumerate() {
        if busy.contains(&index) {
            engine.set_connection_faults(&pause(pause_ms));
        } else {
            engine.set_faults(others.engine_faults());
            engine.set_connection_faults(&others.connection_faults());
        }
    }
    expect_answer(stream, &format!("stream, {case}")).await;
    expect_answer(whole, &format!("whole answer, {case}")).await;
    for engine in &testbed.engines {
        engine.set_faults(EngineFaults::default());
        engine.set_connection_faults(&ConnectionFaults::default());
    }
}

async fn check_completions_beside(others: Others) {
    let testbed = start_testbed(others).await;
    for pause_ms in PAUSES_MS {
        check_completions(&testbed, others, pause_ms).await;
        // The load reports show the engines as sound again.
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    testbed.stop().await;
}

/// Guards against completions that are closed because their engine is silent, before another engine
/// has accepted them. The caller's answer would end if the others refuse, break off or do not
/// answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn completions_outlast_a_silence_of_their_engine() {
    let checks: Vec<_> = Others::ALL
        .map(|others| tokio::spawn(check_completions_beside(others)))
        .into();
    let mut failed = 0;
    for check in checks {
        failed += u32::from(check.await.is_err());
    }
    assert_eq!(failed, 0, "cases failed");
}

async fn check_calls_beside(others: Others, method: Method) {
    let testbed = start_testbed(others).await;
    let caller = testbed.caller();
    for pause_ms in PAUSES_MS {
        let key = uuid::Uuid::now_v7().to_string();
        let before = executions(&testbed);
        let call = start_call(&caller, method.clone(), &key);
        let executing = executing_service(&testbed, &before).await;
        for (index, service) in testbed.services.iter().enumerate() {
            if index == executing {
                service.set_connection_faults(&pause(pause_ms));
            } else {
                service.set_faults(ServiceFaults {
                    refuse: others == Others::Full,
                    cut_before_probability: if others == Others::Reset { 1.0 } else { 0.0 },
                    ..ServiceFaults::default()
                });
                service.set_connection_faults(&others.connection_faults());
            }
        }
        let case = format!("{method}, {others:?}, silent for {pause_ms} ms");
        expect_answer(call, &case).await;
        if method == Method::POST {
            let services = testbed.services.iter();
            let executions: u64 = services.map(|service| service.executions(&key)).sum();
            assert_eq!(executions, 1, "{case}");
        }
        for service in &testbed.services {
            service.set_faults(ServiceFaults::default());
            service.set_connection_faults(&ConnectionFaults::default());
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    testbed.stop().await;
}

/// Guards against calls that are closed because their server is silent. A non-idempotent call that
/// the server executes would then be reported as unknown, and an idempotent call would fail if the
/// other servers cannot take it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_outlast_a_silence_of_their_server() {
    let cases = [Method::POST, Method::GET].into_iter();
    let checks: Vec<_> = cases
        .flat_map(|method| Others::ALL.map(|others| (others, method.clone())))
        .map(|(others, method)| tokio::spawn(check_calls_beside(others, method)))
        .collect();
    let mut failed = 0;
    for check in checks {
        failed += u32::from(check.await.is_err());
    }
    assert_eq!(failed, 0, "cases failed");
}

/// Guards against two servers that work on one call for long. The other server would execute the
/// call 700 ms after it was sent there, and its attempt ends before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_server_works_on_a_silent_call_only_briefly() {
    let testbed = start_testbed(Others::Sound).await;
    let before = executions(&testbed);
    let call = start_call(&testbed.caller(), Method::GET, "");
    let executing = executing_service(&testbed, &before).await;
    for (index, service) in testbed.services.iter().enumerate() {
        if index == executing {
            service.set_connection_faults(&pause(3_000));
        } else {
            service.set_faults(ServiceFaults {
                delay_ms: 700,
                ..ServiceFaults::default()
            });
        }
    }
    expect_answer(call, "call").await;
    let executions: u64 = executions(&testbed).iter().sum();
    assert_eq!(executions, 1);
    testbed.stop().await;
}

/// Guards against an explanation that grows as long as an engine is silent. Each attempt at another
/// engine adds a few kilobytes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn explanation_of_a_silent_completion_is_bounded() {
    const ATTEMPTS_MAX: usize = 8;
    let testbed = start_testbed(Others::Full).await;
    let caller = testbed.caller();
    let stream = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.complete(0, 0, "stream", ANSWER_TOKENS).await })
    };
    let busy = busy_engines(&testbed, 1).await;
    for (index, engine) in testbed.engines.iter().enumerate() {
        match busy.contains(&index) {
            true => engine.set_connection_faults(&pause(6_000)),
            false => engine.set_faults(Others::Full.engine_faults()),
        }
    }
    let answer = stream.await.unwrap().unwrap();
    let path = format!("/admin/explain/{}", answer.request_id);
    let explained = caller.call_admin(0, Method::GET, &path, &Value::Null).await;
    let explained = explained.unwrap();
    let attempts = explained["attempts"].as_array().expect("attempts");
    assert_eq!(attempts.len(), ATTEMPTS_MAX);
    assert_eq!(attempts[0]["outcome"], "complete");
    testbed.stop().await;
}

/// Guards against changes of the configuration, and a daemon that is asked to stop, that end
/// requests in flight while their servers are silent. The changes take the servers out of service
/// and withdraw the workspace's entitlements.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_outlast_changes_and_a_stop_beside_a_silence() {
    for pause_ms in PAUSES_MS {
        let mut testbed = start_testbed(Others::Full).await;
        let caller = testbed.caller();
        let before = executions(&testbed);
        let key = uuid::Uuid::now_v7().to_string();
        let answers = [
            ("stream", start_stream(&caller, "stream")),
            ("whole answer", start_whole_answer(&testbed, "whole")),
            ("call", start_call(&caller, Method::POST, &key)),
        ];
        let busy = busy_engines(&testbed, 2).await;
        let executing = executing_service(&testbed, &before).await;
        testbed.services[executing].set_connection_faults(&pause(pause_ms));
        for (index, engine) in testbed.engines.iter().enumerate() {
            match busy.contains(&index) {
                true => engine.set_connection_faults(&pause(pause_ms)),
                false => engine.set_faults(Others::Full.engine_faults()),
            }
        }
        let entitlements = ConfigChange::Entitlements(Entitlements::default());
        let mut changes = vec![serde_json::to_value(&entitlements).unwrap()];
        changes.extend((0..3).map(|domain| json!({ "domain_out": format!("domain-{domain}") })));
        for (version, change) in (2..).zip(&changes) {
            let answer = caller.publish_change(0, version, change).await.unwrap();
            assert_eq!(answer["verdict"], "accepted", "{answer}");
        }
        let shutdown = testbed.shutdown_daemon(0).await.unwrap();
        assert_eq!(shutdown.interrupted, 0);
        for (name, answer) in answers {
            expect_answer(answer, &format!("{name}, silent for {pause_ms} ms")).await;
        }
        testbed.stop().await;
    }
}

/// Guards against a silence of the log service that ends answers in progress, or that makes a daemon
/// execute a non-idempotent call without an answer or a refusal that is true.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_outlast_a_silence_of_the_log() {
    let testbed = start_testbed(Others::Sound).await;
    let caller = testbed.caller();
    for pause_ms in PAUSES_MS {
        let before = executions(&testbed);
        let keys = [(); 2].map(|()| uuid::Uuid::now_v7().to_string());
        let answers = [
            ("stream", start_stream(&caller, "stream")),
            ("whole answer", start_whole_answer(&testbed, "whole")),
            ("call", start_call(&caller, Method::POST, &keys[0])),
        ];
        busy_engines(&testbed, 2).await;
        executing_service(&testbed, &before).await;
        testbed.log_server.set_connection_faults(&pause(pause_ms));
        let late_call = start_call(&caller, Method::POST, &keys[1]).await.unwrap();
        let services = testbed.services.iter();
        let late_executions: u64 = services.map(|s| s.executions(&keys[1])).sum();
        match late_call {
            Ok(()) => assert_eq!(late_executions, 1),
            Err(CallerError::Refused(503, _, Some(Executed::No))) => {
                assert_eq!(late_executions, 0);
            }
            Err(error) => panic!("late call, log silent for {pause_ms} ms: {error}"),
        }
        for (name, answer) in answers {
            expect_answer(answer, &format!("{name}, log silent for {pause_ms} ms")).await;
        }
        testbed.wait_ready().await.unwrap();
    }
    testbed.stop().await;
}
