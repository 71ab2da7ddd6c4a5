//! Tests of the stand-ins as processes.

use anvilgw_standin::{answer_text, prompt_of};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Output, Stdio};

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_anvilgw-standin"));
    command.args(arguments);
    command
}

/// A stand-in process that is killed at the end of the test.
struct Process {
    child: Child,
    addr: String,
}

impl Process {
    fn start(kind: &str, settings: &[&str]) -> Self {
        let mut arguments = vec![kind, "--listen", "127.0.0.1:0"];
        arguments.extend_from_slice(settings);
        let mut child = command(&arguments).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let addr = line.trim().strip_prefix("listening on ").unwrap();
        Self {
            child,
            addr: addr.to_owned(),
        }
    }

    /// Sends a request and returns the status and the JSON answer.
    fn send(&self, method: &str, path: &str, body: &str) -> (u16, Value) {
        let mut stream = TcpStream::connect(&self.addr).unwrap();
        let length = body.len();
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nhost: standin\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
        .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let status = answer.split(' ').nth(1).unwrap().parse().unwrap();
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        (status, serde_json::from_str(body).unwrap())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already exited, which the test's requests notice.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct KindCase {
    kind: &'static str,
    settings: &'static [&'static str],
    path: &'static str,
}

const KINDS: [KindCase; 6] = [
    KindCase {
        kind: "engine",
        settings: &["--set", "decode_ms=1", "--set", "faults.slowdown=2"],
        path: "/control/load",
    },
    KindCase {
        kind: "log",
        settings: &["--set", "appends_per_s=300"],
        path: "/streams/config/records",
    },
    KindCase {
        kind: "store",
        settings: &["--set", "memory_bytes=1000"],
        path: "/blocks",
    },
    KindCase {
        kind: "weights",
        settings: &["--set", "load_ms=1"],
        path: "/weights/1",
    },
    KindCase {
        kind: "instances",
        settings: &["--set", "lag_ms=10"],
        path: "/instances",
    },
    KindCase {
        kind: "service",
        settings: &["--set", "name=courts"],
        path: "/status",
    },
];

/// Guards against a kind of stand-in that cannot be started as a process.
#[test]
fn every_kind_starts_and_answers() {
    for case in KINDS {
        let process = Process::start(case.kind, case.settings);
        let (status, _) = process.send("GET", case.path, "");
        assert_eq!(status, 200, "{}", case.kind);
    }
}

/// Guards against JSON answers that differ from the answer that streams give to the same prompt.
#[test]
fn json_completion_is_the_answer_to_its_prompt() {
    let engine = Process::start("engine", &["--set", "decode_ms=0.1"]);
    let chat = json!({"messages": [{"role": "user", "content": "is it safe"}], "max_tokens": 5});
    let plain = json!({"prompt": "is it safe", "max_tokens": 5});
    let cases = [
        ("/v1/chat/completions", chat, "/choices/0/message/content"),
        ("/v1/completions", plain, "/choices/0/text"),
    ];
    for (path, body, text) in cases {
        let (status, answer) = engine.send("POST", path, &body.to_string());
        assert_eq!(status, 200, "{answer}");
        let expected = answer_text(&prompt_of(&body).unwrap(), 5);
        assert_eq!(answer.pointer(text), Some(&json!(expected)));
        assert_eq!(answer["usage"]["completion_tokens"], 5);
    }
    assert_eq!(engine.send("POST", "/v1/completions", "{}").0, 400);
}

/// Guards against faults that are accepted without effect, and against misspelt faults that are
/// accepted.
#[test]
fn faults_set_by_request_take_effect() {
    let log = Process::start("log", &[]);
    let append = || log.send("POST", "/streams/config/records", r#"{"payload": "eA=="}"#);
    assert_eq!(append(), (200, json!({"offset": 0})));
    let set = |faults: &str| log.send("POST", "/control/faults", faults).0;
    assert_eq!(set(r#"{"outage": true}"#), 200);
    assert_eq!(append().0, 503);
    assert_eq!(set(r#"{"outtage": true}"#), 400);
    assert_eq!(set(r#"{"connections": {"cut_open": true}}"#), 200);
    assert_eq!(append(), (200, json!({"offset": 1})));
}

struct UsageCase {
    arguments: &'static [&'static str],
    code: i32,
    text: &'static str,
}

const USAGES: [UsageCase; 6] = [
    UsageCase {
        arguments: &["--help"],
        code: 0,
        text: "Usage:",
    },
    UsageCase {
        arguments: &["--listen", "127.0.0.1:0"],
        code: 2,
        text: "expected a kind of stand-in",
    },
    UsageCase {
        arguments: &["engine"],
        code: 2,
        text: "expected --listen",
    },
    UsageCase {
        arguments: &["queue", "--listen", "127.0.0.1:0"],
        code: 2,
        text: "expected engine, log, store, weights, instances or service",
    },
    UsageCase {
        arguments: &["log", "--listen", "127.0.0.1:0", "--set", "speed=1"],
        code: 2,
        text: "unknown field `speed`",
    },
    UsageCase {
        arguments: &["log", "--listen", "nowhere"],
        code: 2,
        text: "nowhere",
    },
];

/// Guards against a wrong command line that starts a stand-in or fails without a reason.
#[test]
fn wrong_command_line_is_rejected_with_a_reason() {
    for case in USAGES {
        let Output {
            status,
            stdout,
            stderr,
        } = command(case.arguments).output().unwrap();
        let text = String::from_utf8([stdout, stderr].concat()).unwrap();
        assert_eq!(status.code(), Some(case.code), "{text}");
        assert!(text.contains(case.text), "{text}");
    }
}
