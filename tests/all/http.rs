//! Invalid requests at the callers' and operators' addresses. Each gets an error code of the
//! documented list and never causes a panic.

use anvilgw_core::Executed;
use anvilgw_testbed::{CallerError, Testbed, TestbedConfig, workspace_key};
use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use serde_json::Value;

struct Case {
    /// Fault of the request, shown when the case fails.
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    status: u16,
    code: &'static str,
}

fn authorized() -> Vec<(&'static str, String)> {
    vec![("authorization", format!("Bearer {}", workspace_key(1)))]
}

fn authorized_with(name: &'static str, value: &str) -> Vec<(&'static str, String)> {
    let mut headers = authorized();
    headers.push((name, value.to_owned()));
    headers
}

fn completion(name: &'static str, body: &str, status: u16, code: &'static str) -> Case {
    Case {
        name,
        method: Method::POST,
        path: "/v1/completions",
        headers: authorized(),
        body: body.as_bytes().to_vec(),
        status,
        code,
    }
}

fn call(name: &'static str, headers: Vec<(&'static str, String)>, code: &'static str) -> Case {
    Case {
        name,
        method: Method::POST,
        path: "/services/courts/on",
        headers,
        body: b"{}".to_vec(),
        status: 400,
        code,
    }
}

const VALID_BODY: &str = r#"{"model":"lumen","prompt":"a"}"#;

fn bad_bodies() -> Vec<Case> {
    let bad = |name, body| completion(name, body, 400, "bad_request");
    let unknown = |name, body| completion(name, body, 404, "not_found");
    vec![
        bad("no JSON", "{"),
        bad("no object", "[1]"),
        bad("control characters", "\u{0}\u{1}"),
        bad("no model", r#"{"prompt":"a"}"#),
        bad("no prompt", r#"{"model":"lumen"}"#),
        bad("prompt of another type", r#"{"model":"lumen","prompt":3}"#),
        bad(
            "zero tokens",
            r#"{"model":"lumen","prompt":"a","max_tokens":0}"#,
        ),
        bad(
            "stream of another type",
            r#"{"model":"lumen","prompt":"a","stream":"yes"}"#,
        ),
        unknown("unknown model", r#"{"model":"other","prompt":"a"}"#),
        unknown(
            "unknown adapter",
            r#"{"model":"lumen","prompt":"a","adapter":"x"}"#,
        ),
        Case {
            body: vec![b' '; 9_000_000],
            ..completion("body too large", "", 413, "body_too_large")
        },
    ]
}

fn bad_keys() -> Vec<Case> {
    let mut bad_time = authorized_with("idempotency-key", "abc");
    bad_time.push(("idempotency-key-time", "yesterday".to_owned()));
    let undated = authorized_with("idempotency-key", "abc");
    vec![
        call("key without time", undated, "idempotency_key_undated"),
        call(
            "empty key",
            authorized_with("idempotency-key", ""),
            "bad_request",
        ),
        call("key time without number", bad_time, "bad_request"),
    ]
}

fn bad_headers() -> Vec<Case> {
    let unauthenticated = |name, headers| Case {
        headers,
        ..completion(name, VALID_BODY, 401, "unauthenticated")
    };
    let wrong = |value: &str| vec![("authorization", value.to_owned())];
    vec![
        unauthenticated("no key", Vec::new()),
        unauthenticated("wrong key", wrong("Bearer wrong")),
        unauthenticated("other scheme", wrong("Basic abc")),
        Case {
            headers: authorized_with("x-anvilgw-deadline-ms", "soon"),
            ..completion("deadline without number", VALID_BODY, 400, "bad_request")
        },
        Case {
            headers: authorized_with("x-long", &"a".repeat(20_000)),
            ..completion("headers too large", VALID_BODY, 431, "headers_too_large")
        },
    ]
}

fn bad_paths() -> Vec<Case> {
    vec![
        Case {
            path: "/v1/nothing",
            ..completion("unknown path", VALID_BODY, 404, "not_found")
        },
        Case {
            method: Method::DELETE,
            ..completion("wrong method", "", 405, "method_not_allowed")
        },
        Case {
            path: "/services/none/on",
            ..completion("unknown service", "{}", 404, "not_found")
        },
    ]
}

/// Guards against invalid requests that are answered without an error code or without `executed`,
/// or that cause a panic.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_with_a_code_and_not_executed() {
    let config = TestbedConfig {
        daemons: 1,
        engines: 1,
        service_servers: 1,
        stores: 0,
        ..TestbedConfig::default()
    };
    let testbed = Testbed::start(config).await.unwrap();
    let cases = [bad_bodies(), bad_keys(), bad_headers(), bad_paths()];
    for case in cases.into_iter().flatten() {
        // A refusal before the end of the body closes the connection, so each case opens its own.
        let caller = testbed.caller();
        let mut headers = HeaderMap::new();
        for (name, value) in &case.headers {
            headers.insert(*name, value.parse().unwrap());
        }
        let body = Bytes::from(case.body);
        let response = caller
            .send(
                testbed.listen_address(0),
                case.method,
                case.path,
                headers,
                body,
            )
            .await
            .unwrap_or_else(|error| panic!("{}: {error}", case.name));
        assert_eq!(response.status().as_u16(), case.status, "{}", case.name);
        let executed = response.headers()["x-anvilgw-executed"].clone();
        assert_eq!(executed, "no", "{}", case.name);
        assert!(response.headers().contains_key("x-request-id"));
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(body["error"]["code"], case.code, "{}", case.name);
        assert_eq!(body["error"]["executed"], "no", "{}", case.name);
    }
    testbed.stop().await;
}

/// Guards against operator endpoints that accept a workspace's key, or a request without a key.
#[tokio::test(flavor = "multi_thread")]
async fn operator_endpoints_require_an_operator_key() {
    let config = TestbedConfig {
        daemons: 1,
        engines: 1,
        service_servers: 1,
        stores: 0,
        ..TestbedConfig::default()
    };
    let testbed = Testbed::start(config).await.unwrap();
    let caller = testbed.caller();
    for key in [None, Some(workspace_key(0))] {
        let mut headers = HeaderMap::new();
        if let Some(key) = key {
            headers.insert("authorization", format!("Bearer {key}").parse().unwrap());
        }
        let path = "/admin/status";
        let response = caller
            .send(
                testbed.admin_address(0),
                Method::GET,
                path,
                headers,
                Bytes::new(),
            )
            .await
            .unwrap();
        assert_eq!(response.status(), 401);
    }
    let status = caller
        .call_admin(0, Method::GET, "/admin/status", &Value::Null)
        .await
        .unwrap();
    assert_eq!(status["ready"], true);
    testbed.stop().await;
}

/// Guards against a workspace that uses up all streams of a daemon.
#[tokio::test(flavor = "multi_thread")]
async fn streams_per_workspace_are_limited() {
    let config = TestbedConfig {
        daemons: 1,
        engines: 1,
        stores: 0,
        streams_per_workspace: 1,
        ..TestbedConfig::default()
    };
    let testbed = Testbed::start(config).await.unwrap();
    let caller = testbed.caller();
    let first = tokio::spawn({
        let caller = caller.clone();
        async move { caller.complete(0, 1, "first ", 40).await }
    });
    // The first stream is open once the engine has it.
    while testbed.engines[0].counters().accepted == 0 {
        tokio::task::yield_now().await;
    }
    let second = caller.complete(0, 1, "second ", 2).await;
    assert!(
        matches!(
            second,
            Err(CallerError::Refused(429, _, Some(Executed::No)))
        ),
        "{second:?}"
    );
    assert!(caller.complete(0, 2, "other workspace ", 2).await.is_ok());
    assert!(first.await.unwrap().is_ok());
    assert!(caller.complete(0, 1, "third ", 2).await.is_ok());
    testbed.stop().await;
}
