//! Tests of `anvilgw gateway` and of `anvilgw explain` on the gateway's log.

use crate::{anvilgw, stderr, stdout, write_file};
use std::io::{Read, Write};
use std::net::TcpListener;

/// A request in the log and the text that `explain` must print about it.
struct ExplainCase {
    name: &'static str,
    request: &'static str,
    expected: &'static str,
}

const LOG: &str = r#"front-a {"time_ms":5,"event":"request","request":"r1","route":"x","status":503,"outcome":"overloaded","reason":"no engine has memory for the prompt now","executed":"no","server":"","attempts":0,"elapsed_ms":9,"configuration":6,"configuration_age_ms":100}
not a log line
{"time_ms":6,"event":"attempt","request":"r2","attempt":1,"server":"s1","reason":"the answer was cut","elapsed_ms":8,"choice":{"load":3.0,"load_age_ms":40,"prompt":{"weights":2,"fetched_tokens":8000,"computed_tokens":500}}}
{"time_ms":7,"event":"request","request":"r2","status":502,"outcome":"answer_broken","reason":"the answer was cut","executed":"unknown","server":"s1","attempts":1,"elapsed_ms":8,"configuration":6,"configuration_age_ms":100}
{"time_ms":8,"event":"dependency_lost","dependency":"metadata store, operators","reason":"no answer in time"}
{"time_ms":9,"event":"request","request":"r3","status":503,"outcome":"stale_view","reason":"the copy of the configuration is too old","executed":"no","server":"","attempts":0,"elapsed_ms":0,"configuration":6,"configuration_age_ms":3600}
{"time_ms":10,"event":"attempt","request":"r4","attempt":1,"server":"s1","reason":"the stream ended within an event","ends_with_connection":true,"stream_position":"within_event","parts":["00000000000000a1","00000000000000b2"],"elapsed_ms":8}
{"time_ms":11,"event":"request","request":"r4","status":200,"outcome":"broken_off","reason":"the stream ended within an event","not_resumed":"all attempts were used","executed":"yes","server":"s1","attempts":1,"elapsed_ms":8}
{"time_ms":12,"event":"attempt","request":"r5","attempt":1,"server":"s1","reason":"no event for 1500 ms","stream_position":"between_events","silent_ms":1500,"elapsed_ms":1700}
{"time_ms":13,"event":"request","request":"r5","status":200,"outcome":"answered","server":"s2","attempts":2,"elapsed_ms":1900}
{"time_ms":14,"event":"request","request":"r6","status":200,"outcome":"answered","server":"s3","server_version":"2.4","attempts":1,"elapsed_ms":3}
"#;

fn check_explanations(log: &str, cases: &[ExplainCase]) {
    for case in cases {
        let output = anvilgw(&["explain", "--log", log, case.request]);
        assert_eq!(output.status.code(), Some(0), "{}", case.name);
        assert!(
            stdout(&output).contains(case.expected),
            "{}: {}",
            case.name,
            stdout(&output)
        );
    }
}

/// Guards against a stream of which the log does not tell why it ended early.
#[test]
fn explain_tells_why_a_stream_ended() {
    let log = write_file("streams.log", LOG);
    let cases = [
        ExplainCase {
            name: "stream broken off by its server",
            request: "r4",
            expected: "cause: backend server s1: the stream ended within an event",
        },
        ExplainCase {
            name: "end of the answer",
            request: "r4",
            expected: "answer without length or chunks\n  stream ended within event",
        },
        ExplainCase {
            name: "stream that no server resumed",
            request: "r4",
            expected: "not resumed: all attempts were used",
        },
        ExplainCase {
            name: "stream given up for its silence",
            request: "r5",
            expected: "given up after 1500 ms without an event",
        },
    ];
    check_explanations(&log, &cases);
}

/// Guards against a failed request whose cause cannot be found from its identifier and the log.
#[test]
fn explain_finds_the_cause_of_a_failed_request_in_the_log() {
    let log = write_file("gateway.log", LOG);
    let cases = [
        ExplainCase {
            name: "refused for lack of memory",
            request: "r1",
            expected: "cause: no capacity: no engine has memory for the prompt now",
        },
        ExplainCase {
            name: "failed at a backend server",
            request: "r2",
            expected: "cause: backend server s1: the answer was cut",
        },
        ExplainCase {
            name: "load at selection",
            request: "r2",
            expected: "chosen with 3 requests on s1 (reported 40 ms before)",
        },
        ExplainCase {
            name: "source of the prompt tokens",
            request: "r2",
            expected: "8000 fetched, 500 computed; weights 2",
        },
        ExplainCase {
            name: "configuration too old",
            request: "r3",
            expected: "3600 ms old; it had lost the metadata store, operators at 8: no answer in time",
        },
        ExplainCase {
            name: "parts of the prompt",
            request: "r4",
            expected: "shared prompt parts: 00000000000000a1, 00000000000000b2",
        },
    ];
    check_explanations(&log, &cases);
    let unknown = anvilgw(&["explain", "--log", &log, "r9"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(stderr(&unknown).contains("no line about request r9"));
}

/// Guards against a gateway that starts with invalid settings or does not name the faulty key.
#[test]
fn gateway_rejects_invalid_settings() {
    let settings = write_file("node.conf", "node=n1\nzone=a\nlisten.front=here\n");
    let output = anvilgw(&["gateway", "--config", &settings, "--check"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("listen.front: \"here\" is not a valid value"));
    let missing = anvilgw(&["gateway", "--config", "/nonexistent", "--check"]);
    assert_eq!(missing.status.code(), Some(1));
}

const LOG_OF_TWO_DAEMONS: &str = r#"front-b {"time_ms":5000,"event":"request","request":"r3","route":"x","status":503,"outcome":"overloaded","reason":"no engine has memory for the prompt now","executed":"no","server":"","attempts":0,"elapsed_ms":9}
front-a {"time_ms":2100,"event":"request","request":"r1","route":"x","status":200,"outcome":"answered","server":"s1","first_event_ms":40,"choice":{"load":1.0,"prompt":{"fetched_tokens":8000,"computed_tokens":500}}}
front-b {"time_ms":3900,"event":"request","request":"r2","route":"x","status":200,"outcome":"answered","server":"s2","first_event_ms":90}
front-b {"time_ms":3950,"event":"dependency_lost","dependency":"metadata store, operators","reason":"no answer in time"}
front-a {"time_ms":5100,"event":"request","request":"r4","route":"x","status":503,"outcome":"overloaded","reason":"no engine has memory for the prompt now","executed":"no","server":"","attempts":0,"elapsed_ms":9}
front-a {"time_ms":5200,"event":"request","request":"r5","route":"x","status":200,"outcome":"answered","reason":"the server failed with status 500","server":"s1","first_event_ms":700}
"#;

/// Guards against a summary that hides an uneven load: all prompts on one backend server, the
/// others idle and the remaining requests refused. Without the summary it shows only in thousands
/// of lines.
#[test]
fn explain_summarizes_a_log_by_time_and_route() {
    let log = write_file("two-daemons.log", LOG_OF_TWO_DAEMONS);
    let output = anvilgw(&["explain", "--log", &log, "--summary"]);
    assert_eq!(output.status.code(), Some(0));
    let text = stdout(&output);
    let rows: Vec<Vec<&str>> = text
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect())
        .collect();
    let expected = [
        "0 x 2 2 2 90 90 8000, 500 -",
        "2 x 3 1 1 700 700 0, 0 2 x no engine has memory for the prompt now",
    ];
    let expected = expected.map(|row| row.split_whitespace().collect::<Vec<_>>());
    assert_eq!(rows, expected, "{text}");
    let without_log = anvilgw(&["explain", "--summary"]);
    assert_eq!(without_log.status.code(), Some(2));
}

/// Guards against a rollout whose log does not tell which version served a request.
#[test]
fn explain_names_the_version_of_the_server() {
    let log = write_file("versions.log", LOG);
    let cases = [ExplainCase {
        name: "answered by a server with a version",
        request: "r6",
        expected: "last server: s3 (version 2.4)",
    }];
    check_explanations(&log, &cases);
}

const METRICS: &str = r#"anvilgw_requests_answered_total 7
anvilgw_version_requests_total{service="s",version="2.4"} 3
anvilgw_rollout{service="s",target="2.\"4\"",in_force="2.3",state="running",phase="canary",reason="suspicion"} 1
anvilgw_rollout_answers{service="s",side="target",scope="fleet"} 211
anvilgw_rollout_failures{service="s",side="target",scope="fleet"} 17
anvilgw_rollout_share{service="s"} 0.06
"#;

/// Guards against a rollout whose state and reason operators cannot see.
#[test]
fn rollout_shows_state_reason_and_evidence() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address").to_string();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut request = [0; 4096];
        let _length = stream.read(&mut request).expect("request");
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{METRICS}",
            METRICS.len()
        );
        stream.write_all(answer.as_bytes()).expect("answer");
    });
    let output = anvilgw(&["rollout", "--metrics", &address]);
    server.join().expect("server");
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    for expected in [
        "service s: from version 2.3 to 2.\"4\"",
        "state running, phase canary",
        "because the target may be worse",
        "fleet    target   211      17",
        "share of the target: 0.06",
    ] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
}
