//! Prompts under which engines end.

use anvilgw_standin::EngineFaults;
use anvilgw_testbed::{CallerError, Testbed, TestbedConfig};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Text under which each engine ends.
const CRASHING_TEXT: &str = "no engine survives this";
/// Length of the part of a prompt that fills its first block, in bytes.
const FIRST_BLOCK_BYTES: usize = 64 * 6;
/// Pause between two prompts with the text.
const PAUSE: Duration = Duration::from_millis(150);
const DAEMONS: usize = 3;
/// Number of ends after which such prompts may no longer reach engines.
const ENDS: u64 = 5;
/// Time after these ends until the whole fleet has to know of them.
const CONTACT: Duration = Duration::from_secs(3);
/// Ends that may still follow.
const LATE_ENDS_ALLOWED: u64 = 3;
const OBSERVED: Duration = Duration::from_secs(4);

fn crashes(testbed: &Testbed) -> u64 {
    let engines = testbed.engines.iter();
    engines.map(|engine| engine.counters().crashes).sum()
}

/// Returns a prompt whose first block is `start` and whose rest belongs to the request.
fn prompt(start: &str, number: usize) -> String {
    format!("{start:<FIRST_BLOCK_BYTES$} question {number}")
}

/// Guards against prompts with a common start that end one engine after the other, through any
/// daemon, and against other prompts that are refused because of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn prompts_under_which_engines_end_stop_reaching_engines() {
    let config = TestbedConfig {
        daemons: DAEMONS,
        engines: 6,
        service_servers: 0,
        stores: 0,
        ..TestbedConfig::default()
    };
    let testbed = Testbed::start(config).await.unwrap();
    testbed.wait_for_epoch().await.unwrap();
    for engine in &testbed.engines {
        engine.set_faults(EngineFaults {
            crash_on_text: CRASHING_TEXT.to_owned(),
            ..EngineFaults::default()
        });
    }
    let caller = testbed.caller();
    let mut known_from: Option<Instant> = None;
    let mut ends_when_known = 0;
    let mut refused = 0;
    for number in 0.. {
        let now = Instant::now();
        if known_from.is_none() && crashes(&testbed) >= ENDS {
            known_from = Some(now + CONTACT);
        }
        match known_from {
            Some(known_from) if now > known_from + OBSERVED => break,
            Some(known_from) if now < known_from => ends_when_known = crashes(&testbed),
            _ => {}
        }
        let bad = prompt(CRASHING_TEXT, number);
        let answer = caller.complete(number % DAEMONS, 0, &bad, 4).await;
        if let Err(CallerError::Refused(503, code, _)) = answer
            && code == "prompt_quarantined"
        {
            refused += 1;
        }
        sleep(PAUSE).await;
    }
    let late_ends = crashes(&testbed) - ends_when_known;
    assert!(late_ends <= LATE_ENDS_ALLOWED, "{late_ends} late ends");
    assert!(refused > 0, "prompts with the text are refused");
    for number in 0..DAEMONS * 4 {
        let sound = prompt("all engines survive this", number);
        let answer = caller.complete(number % DAEMONS, 0, &sound, 4).await;
        assert!(answer.is_ok(), "{number}: {answer:?}");
    }
    testbed.stop().await;
}
