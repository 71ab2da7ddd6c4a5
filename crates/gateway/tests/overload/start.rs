//! Estimated starts and the choice among servers by them.

use crate::engines::{Engine, at, candidate, requirement};
use anvilgw_gateway::server_speed::ServiceSpeed;
use anvilgw_gateway::start_estimate::ServerWork;
use anvilgw_gateway::start_estimate::{Candidate, PromptTokens, Requirement, StartEstimate};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

fn work(uncomputed_tokens: u64, requests: f64, slowness: f64) -> ServerWork {
    ServerWork {
        uncomputed_tokens,
        requests,
        slots: 32,
        waiting: 0,
        slowness,
    }
}

/// Guards against prompts that leave the server which has them cached although it begins soon, or
/// stay there although they would begin much later.
#[test]
fn first_server_in_rank_that_begins_soon_is_chosen() {
    struct Case {
        name: &'static str,
        works: [ServerWork; 3],
        expected: usize,
    }
    let idle = work(0, 0.0, 1.0);
    let cases = [
        Case {
            name: "idle servers",
            works: [idle, idle, idle],
            expected: 0,
        },
        Case {
            name: "a start within reach at the first server",
            works: [work(6_000, 5.0, 1.0), idle, idle],
            expected: 0,
        },
        Case {
            name: "a long queue at the first server",
            works: [work(60_000, 10.0, 1.0), work(3_000, 2.0, 1.0), idle],
            expected: 1,
        },
        Case {
            name: "long queues everywhere, the first one not much longer",
            works: [
                work(66_000, 10.0, 1.0),
                work(60_000, 10.0, 1.0),
                work(60_000, 10.0, 1.0),
            ],
            expected: 0,
        },
        Case {
            name: "the first server is slow",
            works: [work(18_000, 5.0, 4.0), work(18_000, 5.0, 1.0), idle],
            expected: 2,
        },
        Case {
            name: "no free slot at the first server",
            works: [work(0, 40.0, 1.0), idle, idle],
            expected: 1,
        },
    ];
    let service = ServiceSpeed::default();
    for case in cases {
        let works = case.works.iter();
        let candidates: Vec<Candidate> = works.map(|work| candidate(work, &service)).collect();
        let chosen = requirement(service, 2_000).choose(&candidates);
        assert_eq!(chosen, Some(case.expected), "{}", case.name);
    }
}

/// Guards against engines whose memory fills up although they begin with prompts early.
#[test]
fn memory_limits_hold_whatever_the_start() {
    let service = ServiceSpeed::default();
    for (memory_tokens, expected) in [
        ([80_000.0, 30_000.0, 30_000.0], Some(1)),
        ([80_000.0, 95_000.0, 95_000.0], Some(0)),
        ([95_000.0; 3], None),
    ] {
        let candidates = memory_tokens.map(|memory_tokens| Candidate {
            memory_tokens,
            ..candidate(&work(0, 0.0, 1.0), &service)
        });
        let requirement = Requirement {
            capacity_tokens: 100_000,
            memory_limit_tokens: 90_000.0,
            ..requirement(service, 2_000)
        };
        assert_eq!(requirement.choose(&candidates), expected);
    }
}

/// Guards against prompts that are moved for a small gain in the start and then have to be computed
/// as a whole.
#[test]
fn long_shared_prompts_move_later_than_short_ones() {
    let service = ServiceSpeed::default();
    let queue = |tokens| candidate(&work(tokens, 4.0, 1.0), &service);
    let candidates = [queue(20_000), queue(4_000)];
    for (shared, expected) in [(0, 1), (60_000, 0)] {
        let requirement = Requirement {
            prompt: PromptTokens {
                shared,
                unshared: 1_000,
            },
            ..requirement(service, 0)
        };
        assert_eq!(requirement.choose(&candidates), Some(expected), "{shared}");
    }
}

/// Returns the share of prompts whose first event comes within the target, and the tokens that each
/// server has computed. `factor` is how much longer a server takes at a time.
fn run(seed: u64, factor: impl Fn(usize, f64) -> f64) -> (f64, [u64; 3]) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut service = ServiceSpeed::default();
    let mut engines: [Engine; 3] = Default::default();
    let (mut now_ms, mut in_time, mut sent) = (0.0, 0.0, 0.0);
    while now_ms < 20_000.0 {
        now_ms += rng.random_range(1.0..29.0);
        engines
            .iter_mut()
            .for_each(|engine| engine.advance(&mut service, now_ms));
        let tokens = rng.random_range(500..4_500_u32);
        let first = rng.random_range(0..3_usize);
        let order: Vec<usize> = (0..3).map(|index| (first + index) % 3).collect();
        let candidates: Vec<Candidate> = order
            .iter()
            .map(|index| candidate(&engines[*index].work(now_ms), &service))
            .collect();
        let chosen = requirement(service, tokens).choose(&candidates);
        let index = order[chosen.expect("no limit on memory")];
        let elapsed = engines[index].send(u64::from(tokens), factor(index, now_ms), now_ms);
        sent += 1.0;
        in_time += f64::from(u8::from(at(elapsed) <= at(400.0)));
    }
    (in_time / sent, engines.map(|engine| engine.computed))
}

/// Load: prompts for 0.75 of the capacity of servers that take 1.0, 1.0 and 1.3 times the usual
/// time. Guards against a slow server that gets as much as the others and is late.
#[test]
fn uneven_servers_get_what_they_can_compute() {
    let factors = [1.0, 1.0, 1.3];
    for seed in 0..20 {
        let (in_time, computed) = run(seed, |index, _| factors[index]);
        assert!(in_time > 0.97, "seed {seed}: {in_time}");
        assert!(computed[2] < computed[0], "seed {seed}: {computed:?}");
    }
}

/// Load: the same prompts, and one server that takes five times as long for half a second. Guards
/// against prompts that wait at a stalled server, and against a server that is avoided for long
/// afterwards.
#[test]
fn short_stall_of_one_server_delays_few_prompts() {
    for seed in 0..20 {
        let stalled = |index, now_ms| index == 0 && (8_000.0..8_500.0).contains(&now_ms);
        let (in_time, computed) = run(
            seed,
            |index, now_ms| {
                if stalled(index, now_ms) { 5.0 } else { 1.0 }
            },
        );
        assert!(in_time > 0.95, "seed {seed}: {in_time}");
        let (_, without_stall) = run(seed, |_, _| 1.0);
        let kept = computed[0] as f64 / without_stall[0] as f64;
        assert!(kept > 0.9, "seed {seed}: {kept}");
    }
}

/// Guards against an estimate that ignores either the prompts or the requests ahead.
#[test]
fn estimate_grows_with_prompts_requests_and_slowness() {
    let service = ServiceSpeed::default();
    let start_ms = |work: ServerWork| StartEstimate::of(&work, &service).start_ms();
    let base = start_ms(work(10_000, 31.0, 1.0));
    assert!(start_ms(work(20_000, 31.0, 1.0)) > base);
    assert!(start_ms(work(10_000, 31.0, 1.5)) > base);
    assert!(start_ms(work(10_000, 60.0, 1.0)) > base);
}
