//! Tests of the in-memory log service.

use anvilgw_core::{LogError, LogService, ManualClock, Offset};
use anvilgw_standin::{LogConfig, LogFaults, MemoryLog};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

fn log(config: LogConfig) -> (MemoryLog, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::new(SystemTime::UNIX_EPOCH));
    (MemoryLog::with_clock(config, clock.clone()), clock)
}

/// Guards against a log that does not apply retention, so that tests never meet expired records.
#[test]
fn retention_drops_expired_records() {
    let (log, clock) = log(LogConfig {
        retention_ms: 1_000,
        ..LogConfig::default()
    });
    log.append("config", b"old").unwrap();
    clock.advance(Duration::from_millis(600));
    log.append("config", b"new").unwrap();
    clock.advance(Duration::from_millis(600));
    let read = |from| log.read("config", Offset(from), 10, Duration::ZERO);
    assert_eq!(read(0), Err(LogError::Trimmed(Offset(1), Offset(2))));
    assert_eq!(read(1).unwrap().records.len(), 1);
}

/// Guards against a rate limit that allows a double burst at the boundary of two seconds.
#[test]
fn append_rate_limit_holds_in_any_second() {
    let (log, clock) = log(LogConfig {
        appends_per_s: 2,
        ..LogConfig::default()
    });
    let mut accepted = Vec::new();
    for step in 0..10 {
        if log.append("config", b"x").is_ok() {
            accepted.push(step * 200);
        }
        clock.advance(Duration::from_millis(200));
    }
    assert_eq!(accepted, [0, 200, 1_000, 1_200]);
    assert_eq!(log.counters().over_rate, 6);
    assert_eq!(log.counters().peak_appends_per_s, 5);
}

/// Guards against runs with the same seed that lose different answers.
#[test]
fn same_seed_loses_the_same_answers() {
    let run = |seed| {
        let (log, _) = log(LogConfig {
            seed,
            faults: LogFaults {
                lose_answer_probability: 0.5,
                ..LogFaults::default()
            },
            ..LogConfig::default()
        });
        let lost: Vec<_> = (0..64)
            .map(|_| log.append("config", b"x").is_err())
            .collect();
        assert_eq!(log.records("config").len(), 64);
        lost
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}
