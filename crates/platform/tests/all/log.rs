//! Tests of the log client against the log stand-in.

use crate::scripted::{http_answer, start_scripted};
use crate::{STEP_TIMEOUT_MS, loopback, refusing_socket, settings};
use anvilgw_core::{LogError, LogService, ManualClock, Offset};
use anvilgw_platform::{HttpLogService, LogClientSettings};
use anvilgw_standin::{
    ConnectionFaults, LogConfig, LogFaults, LogStandin, MemoryLog, RunningStandin,
};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::runtime::Runtime;

struct Fixture {
    runtime: Runtime,
    standin: RunningStandin<LogStandin>,
    client: HttpLogService,
}

fn start(config: LogConfig) -> Fixture {
    start_with(config, STEP_TIMEOUT_MS)
}

fn start_with(config: LogConfig, answer_ms: u64) -> Fixture {
    let runtime = Runtime::new().unwrap();
    // The clock does not advance, so that the rate limit does not depend on the machine's speed.
    let clock = Arc::new(ManualClock::new(SystemTime::UNIX_EPOCH));
    let log = MemoryLog::with_clock(config, clock);
    let standin = runtime
        .block_on(LogStandin::start_with(log, loopback()))
        .unwrap();
    let settings = LogClientSettings {
        connection: settings(),
        answer_ms,
    };
    let client = HttpLogService::new(standin.addr(), settings).unwrap();
    Fixture {
        runtime,
        standin,
        client,
    }
}

/// Outcome of an append as the client reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendOutcome {
    Appended,
    Unavailable,
    AnswerLost,
}

fn outcome(result: &Result<Offset, LogError>) -> AppendOutcome {
    match result {
        Ok(_) => AppendOutcome::Appended,
        Err(LogError::Unavailable(_)) => AppendOutcome::Unavailable,
        Err(LogError::AnswerLost(_)) => AppendOutcome::AnswerLost,
        Err(other) => panic!("unexpected {other}"),
    }
}

struct AppendCase {
    name: &'static str,
    faults: LogFaults,
    connections: ConnectionFaults,
    appends_per_s: u32,
    answer_ms: u64,
    outcome: AppendOutcome,
    records: usize,
}

impl Default for AppendCase {
    fn default() -> Self {
        Self {
            name: "no fault",
            faults: LogFaults::default(),
            connections: ConnectionFaults::default(),
            appends_per_s: 0,
            answer_ms: STEP_TIMEOUT_MS,
            outcome: AppendOutcome::Appended,
            records: 2,
        }
    }
}

fn append_cases() -> Vec<AppendCase> {
    vec![
        AppendCase::default(),
        AppendCase {
            name: "outage",
            faults: LogFaults {
                outage: true,
                ..LogFaults::default()
            },
            outcome: AppendOutcome::Unavailable,
            records: 1,
            ..AppendCase::default()
        },
        AppendCase {
            name: "over the rate",
            appends_per_s: 1,
            outcome: AppendOutcome::Unavailable,
            records: 1,
            ..AppendCase::default()
        },
        AppendCase {
            name: "answer lost after taking effect",
            faults: LogFaults {
                lose_next_answers: 1,
                ..LogFaults::default()
            },
            outcome: AppendOutcome::AnswerLost,
            ..AppendCase::default()
        },
        AppendCase {
            name: "request lost",
            faults: LogFaults {
                lose_request_probability: 1.0,
                ..LogFaults::default()
            },
            outcome: AppendOutcome::AnswerLost,
            records: 1,
            ..AppendCase::default()
        },
    ]
}

fn silent_cases() -> Vec<AppendCase> {
    vec![
        AppendCase {
            name: "slower than the limit",
            faults: LogFaults {
                slow_ms: 2 * STEP_TIMEOUT_MS,
                ..LogFaults::default()
            },
            answer_ms: 500,
            outcome: AppendOutcome::AnswerLost,
            records: 1,
            ..AppendCase::default()
        },
        AppendCase {
            name: "open connection silent",
            connections: ConnectionFaults {
                silence_open: true,
                ..ConnectionFaults::default()
            },
            answer_ms: 500,
            outcome: AppendOutcome::AnswerLost,
            records: 1,
            ..AppendCase::default()
        },
    ]
}

/// Guards against an append that may have taken effect being reported as certainly without effect,
/// and against the opposite.
#[test]
fn append_error_tells_whether_the_record_may_be_stored() {
    for case in append_cases().into_iter().chain(silent_cases()) {
        let config = LogConfig {
            appends_per_s: case.appends_per_s,
            ..LogConfig::default()
        };
        let fixture = start_with(config, case.answer_ms);
        let first = fixture.client.append("config", b"first");
        assert_eq!(first, Ok(Offset(0)), "{}", case.name);
        fixture.standin.set_faults(case.faults);
        fixture.standin.set_connection_faults(&case.connections);
        let second = fixture.client.append("config", b"second");
        assert_eq!(outcome(&second), case.outcome, "{}: {second:?}", case.name);
        let records = fixture.standin.records("config").len();
        assert_eq!(records, case.records, "{}", case.name);
    }
}

/// Guards against a log that cannot be reached being reported as a lost answer, which would leave a
/// claim open that was never made.
#[test]
fn unreachable_log_is_unavailable() {
    let runtime = Runtime::new().unwrap();
    let _context = runtime.enter();
    let (_socket, addr) = refusing_socket();
    let client = HttpLogService::new(addr, LogClientSettings::default()).unwrap();
    assert_eq!(
        outcome(&client.append("config", b"x")),
        AppendOutcome::Unavailable
    );
}

/// Guards against a client that keeps using a connection that the log service has closed.
#[test]
fn client_reconnects_after_a_restart_of_the_log() {
    let fixture = start(LogConfig::default());
    assert_eq!(fixture.client.append("config", b"a"), Ok(Offset(0)));
    fixture.standin.disconnect();
    let refused = loop {
        // The listener closes asynchronously, so the first appends may still be accepted.
        if let Err(error) = fixture.client.append("config", b"b") {
            break error;
        }
    };
    assert!(matches!(
        refused,
        LogError::Unavailable(_) | LogError::AnswerLost(_)
    ));
    fixture.standin.restore();
    while fixture.client.append("config", b"c").is_err() {}
    assert!(fixture.standin.records("config").len() >= 2);
}

/// Guards against reads that skip records which the log has trimmed.
#[test]
fn trimmed_records_are_an_error() {
    let fixture = start(LogConfig {
        retention_records: 2,
        ..LogConfig::default()
    });
    for payload in [b"a", b"b", b"c"] {
        fixture.client.append("config", payload).unwrap();
    }
    let read = |from| {
        fixture
            .client
            .read("config", Offset(from), 10, Duration::ZERO)
    };
    assert_eq!(read(0), Err(LogError::Trimmed(Offset(1), Offset(3))));
    let slice = read(1).unwrap();
    assert_eq!(slice.first_offset, Offset(1));
    assert_eq!(slice.next_offset, Offset(3));
    let payloads: Vec<_> = slice.records.into_iter().map(|r| r.payload).collect();
    assert_eq!(payloads, [b"b", b"c"]);
    assert_eq!(read(3).unwrap().records, []);
}

/// Guards against a waiting read that misses the append it waits for.
#[test]
fn waiting_read_sees_the_append() {
    let fixture = start(LogConfig::default());
    let log: &MemoryLog = &fixture.standin;
    let log = log.clone();
    fixture.runtime.spawn_blocking(move || {
        // Appends only after the read has reached the log.
        while log.counters().reads == 0 {
            std::thread::yield_now();
        }
        log.append("claims-00", b"x")
    });
    let wait = Duration::from_secs(60);
    let slice = fixture.client.read("claims-00", Offset(0), 10, wait);
    assert_eq!(slice.unwrap().records[0].payload, b"x");
}

struct AnswerCase {
    name: &'static str,
    status: u16,
    body: &'static str,
    append: AppendOutcome,
}

const APPEND_ANSWERS: [AnswerCase; 4] = [
    AnswerCase {
        name: "accepted",
        status: 200,
        body: r#"{"offset": 3}"#,
        append: AppendOutcome::Appended,
    },
    AnswerCase {
        name: "accepted at an unknown offset",
        status: 200,
        body: "{}",
        append: AppendOutcome::AnswerLost,
    },
    AnswerCase {
        name: "failed at an unknown point",
        status: 500,
        body: "{}",
        append: AppendOutcome::AnswerLost,
    },
    AnswerCase {
        name: "refused without a body",
        status: 429,
        body: "",
        append: AppendOutcome::Unavailable,
    },
];

fn scripted_client(status: u16, body: &str) -> HttpLogService {
    let settings = LogClientSettings {
        connection: settings(),
        answer_ms: STEP_TIMEOUT_MS,
    };
    HttpLogService::new(start_scripted(http_answer(status, body)), settings).unwrap()
}

/// Guards against an answer that leaves the outcome of an append open being taken for a refusal.
#[test]
fn append_answer_that_leaves_the_outcome_open_is_no_refusal() {
    for case in APPEND_ANSWERS {
        let result = scripted_client(case.status, case.body).append("config", b"x");
        assert_eq!(outcome(&result), case.append, "{}", case.name);
    }
}

/// Guards against records with gaps or wrong offsets being handed to the reader.
#[test]
fn malformed_slices_are_rejected() {
    let bodies = [
        r#"{"first_offset": 0, "next_offset": 9, "records": [{"offset": 6, "payload": ""}]}"#,
        r#"{"first_offset": 0, "next_offset": 9, "records":
            [{"offset": 5, "payload": ""}, {"offset": 7, "payload": ""}]}"#,
        r#"{"first_offset": 0, "next_offset": 5, "records": [{"offset": 5, "payload": ""}]}"#,
        r#"{"first_offset": 0, "next_offset": 9, "records": [{"offset": 5, "payload": "?"}]}"#,
        r#"{"first_offset": 0, "next_offset": 9}"#,
    ];
    for body in bodies {
        let slice = scripted_client(200, body).read("config", Offset(5), 9, Duration::ZERO);
        assert!(matches!(slice, Err(LogError::Protocol(_))), "{body}");
    }
    let trimmed = r#"{"first_offset": 7, "next_offset": 9, "records": []}"#;
    let slice = scripted_client(200, trimmed).read("config", Offset(5), 9, Duration::ZERO);
    assert_eq!(slice, Err(LogError::Trimmed(Offset(7), Offset(9))));
}
