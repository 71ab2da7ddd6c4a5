//! Learned speeds of servers and services.

use crate::engines::at;
use anvilgw_gateway::server_speed::{ServerSpeed, ServiceSpeed, StartSample};

const TOKENS_PER_MS: f64 = 90.0;

/// Returns the speeds after one prompt of 3,000 tokens in each 100 ms. `factor` gives how much
/// longer than usual the server takes at a time.
fn learned(duration_ms: u32, factor: impl Fn(u32) -> f64) -> (ServiceSpeed, ServerSpeed) {
    let mut service = ServiceSpeed::default();
    let mut server = ServerSpeed::default();
    for time_ms in (0..duration_ms).step_by(100) {
        let now = at(f64::from(time_ms));
        let sample = |factor: f64| StartSample {
            tokens: 3_000,
            elapsed: at(20.0 + 3_000.0 / TOKENS_PER_MS * factor),
        };
        // Three other servers are of usual speed.
        for _ in 0..3 {
            service.on_first_event(&sample(1.0), now);
        }
        server.on_first_event(&sample(factor(time_ms)), &service, now);
        service.on_first_event(&sample(factor(time_ms)), now);
    }
    (service, server)
}

/// Guards against starts that are estimated at the rate assumed before the first answer, and
/// against queueing that is taken for a slow engine.
#[test]
fn rate_of_a_service_is_learned_while_prompts_queue() {
    for tokens_ahead in [0_u64, 20_000, 100_000] {
        let mut service = ServiceSpeed::default();
        for time_ms in (0..5_000).step_by(50) {
            let tokens = tokens_ahead + 2_000;
            let sample = StartSample {
                tokens,
                elapsed: at(20.0 + tokens as f64 / TOKENS_PER_MS),
            };
            service.on_first_event(&sample, at(f64::from(time_ms)));
        }
        let rate = service.tokens_per_ms();
        assert!((85.0..95.0).contains(&rate), "{tokens_ahead}: {rate}");
    }
}

/// Guards against servers that differ in speed for long and get the same work, and against one that
/// was slow for half a second and is avoided for ten.
#[test]
fn slowness_is_learned_and_forgotten() {
    struct Case {
        name: &'static str,
        factor: fn(u32) -> f64,
        after_ms: f64,
        expected: (f64, f64),
    }
    let cases = [
        Case {
            name: "usual speed",
            factor: |_| 1.0,
            after_ms: 0.0,
            expected: (0.9, 1.1),
        },
        Case {
            name: "slower by 0.3 for long",
            factor: |_| 1.3,
            after_ms: 0.0,
            expected: (1.15, 1.4),
        },
        Case {
            name: "slow by four times just now",
            factor: |time_ms| if time_ms < 9_500 { 1.0 } else { 4.0 },
            after_ms: 0.0,
            expected: (1.5, 4.0),
        },
        Case {
            name: "slow by four times for half a second, a second ago",
            factor: |time_ms| if time_ms < 9_500 { 1.0 } else { 4.0 },
            after_ms: 1_000.0,
            expected: (0.9, 1.3),
        },
    ];
    for case in cases {
        let (_, server) = learned(10_000, case.factor);
        let slowness = server.slowness(at(10_000.0 + case.after_ms));
        let (min, max) = case.expected;
        assert!((min..max).contains(&slowness), "{}: {slowness}", case.name);
    }
}

/// Guards against a reported speed that is ignored, or that is used when it is outdated.
#[test]
fn reported_speed_fades_within_half_a_second() {
    let (_, mut server) = learned(10_000, |_| 1.0);
    server.on_reported(250, at(10_000.0));
    for (after_ms, min, max) in [(0.0, 2.2, 2.8), (500.0, 0.95, 1.3)] {
        let slowness = server.slowness(at(10_000.0 + after_ms));
        assert!((min..max).contains(&slowness), "{after_ms}: {slowness}");
    }
}
