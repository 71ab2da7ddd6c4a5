//! Tests of admission to the memory of engines.

use anvilgw_gateway::admission::{MemoryAdmission, MemoryRequest};

const CAPACITY_TOKENS: u64 = 100_000;

struct PrecedenceCase {
    name: &'static str,
    /// The request that is still admitted when the other one is already refused, as engines fill
    /// up.
    preferred: MemoryRequest<'static>,
    refused_first: MemoryRequest<'static>,
}

fn request(route: &'static str, urgency: u8, is_waiting: bool) -> MemoryRequest<'static> {
    MemoryRequest {
        route,
        urgency,
        is_waiting,
    }
}

/// Returns the admission state after a mixed load of long reports and short queries.
fn admission() -> MemoryAdmission {
    let mut admission = MemoryAdmission::default();
    for _ in 0..500 {
        admission.on_request("report", 12_000);
        admission.on_request("query", 1_000);
    }
    admission
}

/// Guards against urgent or light requests that are refused in favor of others while engines are
/// full. Happens with long prompts queued before short ones, and in load spikes with a quarter of
/// the engines unavailable.
#[test]
fn full_engines_refuse_heavy_and_less_urgent_requests_first() {
    let cases = [
        PrecedenceCase {
            name: "urgent before less urgent",
            preferred: request("report", 0, false),
            refused_first: request("report", 2, false),
        },
        PrecedenceCase {
            name: "light route before heavy one",
            preferred: request("query", 1, false),
            refused_first: request("report", 1, false),
        },
        PrecedenceCase {
            name: "new before waiting",
            preferred: request("query", 1, false),
            refused_first: request("query", 1, true),
        },
        PrecedenceCase {
            name: "light and less urgent before heavy and urgent",
            preferred: request("query", 2, false),
            refused_first: request("report", 0, false),
        },
    ];
    let admission = admission();
    for case in cases {
        let first = admission.limit_tokens(&case.preferred, CAPACITY_TOKENS);
        let last = admission.limit_tokens(&case.refused_first, CAPACITY_TOKENS);
        assert!(first > last, "{}: {first} {last}", case.name);
    }
}

/// Guards against limits so low that no request fits, or so high that they fill the memory, for any
/// request size.
#[test]
fn limits_stay_within_the_memory() {
    let admission = admission();
    for capacity_tokens in [1_000, 50_000, 130_000, 10_000_000] {
        for urgency in [0, 1, 9, u8::MAX] {
            for route in ["report", "query", "unknown"] {
                let request = request(route, urgency, true);
                let limit = admission.limit_tokens(&request, capacity_tokens);
                let part = limit / capacity_tokens as f64;
                assert!(
                    (0.6..0.95).contains(&part),
                    "{route} {urgency} {capacity_tokens}: {part}"
                );
            }
        }
    }
}

/// Guards against a deployment that refuses every prompt because it does not state the memory of
/// its engines.
#[test]
fn engines_of_unknown_memory_admit_any_prompt() {
    let limit = admission().limit_tokens(&request("report", 2, false), 0);
    assert!(limit > 1e12, "{limit}");
}
