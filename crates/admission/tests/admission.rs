//! Tests of plan limits, fair queueing, refusals and the correction of estimated costs.

use anvilgw_admission::{
    Admission, AdmissionAction, AdmissionRequest, AdmissionSettings, PlanLimits, PlanShare,
    Priority,
};
use anvilgw_core::{ErrorKind, RequestId, Stage, WorkspaceId};
use quickcheck::{Gen, QuickCheck};

/// Size and seed of generated cases, fixed so that every run tests the same ones.
const GEN_SIZE: usize = 100;
const GEN_SEED: u64 = 1;
use std::collections::BTreeMap;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Share whose limits no test reaches.
const UNLIMITED: PlanShare = PlanShare {
    requests_per_s: 1e6,
    tokens_per_s: 1e9,
    burst_requests: 1e6,
    burst_tokens: 1e9,
    concurrency: 1_000,
};

fn limits(weight: u32, priority: Priority, share: PlanShare) -> PlanLimits {
    PlanLimits {
        weight,
        priority,
        share,
    }
}

fn admission_request(
    id: u128,
    workspace: u32,
    cost_tokens: u64,
    start_by: Duration,
) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId(id),
        workspace: WorkspaceId(workspace),
        cost_tokens,
        start_by,
    }
}

fn admission(slots: u32) -> Admission {
    Admission::new(AdmissionSettings {
        slots,
        service_tokens_per_s: 1e9,
        queued_per_workspace_max: 10_000,
        ..AdmissionSettings::default()
    })
}

/// Returns the requests that the actions start.
fn started(actions: &[AdmissionAction]) -> Vec<RequestId> {
    actions
        .iter()
        .filter_map(|action| match action {
            AdmissionAction::Start { request, .. } => Some(*request),
            AdmissionAction::Refuse { .. } => None,
        })
        .collect()
}

/// Starts requests and ends each at once, for `rounds` rounds of one slot. Returns the served
/// tokens per workspace.
fn serve(
    admission: &mut Admission,
    rounds: usize,
    costs: &BTreeMap<u32, u64>,
) -> BTreeMap<u32, u64> {
    let mut served = BTreeMap::new();
    for round in 0..rounds {
        let now = ms(round as u64);
        for action in admission.poll(now) {
            let AdmissionAction::Start {
                request, workspace, ..
            } = action
            else {
                continue;
            };
            *served.entry(workspace.0).or_insert(0) += costs[&workspace.0];
            admission.on_request_ended(request, costs[&workspace.0], now);
        }
    }
    served
}

struct FairCase {
    what: &'static str,
    /// Workspace, weight, class and cost in tokens of each of its requests.
    workspaces: &'static [(u32, u32, Priority, u64)],
    /// Expected part of the served tokens per workspace, in percent.
    expected: &'static [(u32, u64)],
}

/// Guards against parts of the capacity that depend on the number or size of a workspace's
/// requests, and against classes that are never served.
#[test]
fn capacity_is_divided_by_weight_and_class() {
    use Priority::{Batch, Interactive, Normal};
    let cases = [
        FairCase {
            what: "equal weights, unequal request sizes",
            workspaces: &[(1, 1, Normal, 100), (2, 1, Normal, 1_000)],
            expected: &[(1, 50), (2, 50)],
        },
        FairCase {
            what: "unequal weights",
            workspaces: &[(1, 3, Normal, 100), (2, 1, Normal, 100)],
            expected: &[(1, 75), (2, 25)],
        },
        FairCase {
            what: "unequal classes",
            workspaces: &[(1, 1, Interactive, 100), (2, 1, Batch, 100)],
            expected: &[(1, 94), (2, 6)],
        },
        FairCase {
            what: "several workspaces of a low class share the class's part",
            workspaces: &[
                (1, 1, Interactive, 100),
                (2, 1, Batch, 100),
                (3, 9, Batch, 100),
            ],
            expected: &[(1, 94), (2, 1), (3, 5)],
        },
        FairCase {
            what: "a single workspace gets the whole capacity",
            workspaces: &[(1, 1, Batch, 100)],
            expected: &[(1, 100)],
        },
    ];
    for case in cases {
        let mut admission = admission(1);
        let mut costs = BTreeMap::new();
        for &(id, weight, priority, cost) in case.workspaces {
            admission.set_limits(WorkspaceId(id), limits(weight, priority, UNLIMITED), ms(0));
            costs.insert(id, cost);
            for request in 0..4_000 {
                let request = u128::from(id) * 1_000_000 + request;
                admission
                    .enqueue(admission_request(request, id, cost, ms(1_000_000)), ms(0))
                    .unwrap();
            }
        }
        let served = serve(&mut admission, 2_000, &costs);
        let total: u64 = served.values().sum();
        for (id, expected) in case.expected {
            let part = served[id] * 100 / total;
            assert!(
                part.abs_diff(*expected) <= 1,
                "{}: {id} got {part}",
                case.what
            );
        }
    }
}

/// Guards against a long queue of one workspace that delays another workspace's request by more
/// than the request in execution.
#[test]
fn long_queue_of_one_workspace_does_not_delay_another() {
    let mut admission = admission(1);
    for id in [1, 2] {
        admission.set_limits(
            WorkspaceId(id),
            limits(1, Priority::Normal, UNLIMITED),
            ms(0),
        );
    }
    for request in 0..5_000 {
        admission
            .enqueue(admission_request(request, 1, 100, ms(100_000)), ms(0))
            .unwrap();
    }
    for at in 0..50 {
        let running = started(&admission.poll(ms(at)));
        admission.on_request_ended(running[0], 100, ms(at));
    }
    admission.poll(ms(50));
    admission
        .enqueue(admission_request(9_999, 2, 100, ms(100_000)), ms(50))
        .unwrap();
    admission.on_request_ended(RequestId(50), 100, ms(51));
    assert_eq!(started(&admission.poll(ms(51))), [RequestId(9_999)]);
}

struct LimitCase {
    what: &'static str,
    share: PlanShare,
    /// Number of requests that start at time zero, of ten requests with 100 tokens each.
    started_at_once: usize,
    /// Number of requests that have started 1.01 s later, if none has ended. The 10 ms cover
    /// wake-ups, which are rounded up.
    started_after_1_s: usize,
}

const LIMIT_CASES: &[LimitCase] = &[
    LimitCase {
        what: "unlimited",
        share: UNLIMITED,
        started_at_once: 10,
        started_after_1_s: 10,
    },
    LimitCase {
        what: "rate of requests",
        share: PlanShare {
            requests_per_s: 2.0,
            burst_requests: 3.0,
            ..UNLIMITED
        },
        started_at_once: 3,
        started_after_1_s: 5,
    },
    LimitCase {
        what: "rate of tokens",
        share: PlanShare {
            tokens_per_s: 200.0,
            burst_tokens: 300.0,
            ..UNLIMITED
        },
        started_at_once: 3,
        started_after_1_s: 5,
    },
    LimitCase {
        what: "request above the burst",
        share: PlanShare {
            tokens_per_s: 100.0,
            burst_tokens: 50.0,
            ..UNLIMITED
        },
        started_at_once: 1,
        started_after_1_s: 2,
    },
    LimitCase {
        what: "concurrency",
        share: PlanShare {
            concurrency: 4,
            ..UNLIMITED
        },
        started_at_once: 4,
        started_after_1_s: 4,
    },
];

/// Guards against limits of a plan that are not enforced, or that block requests for longer than
/// needed.
#[test]
fn plan_limits_are_enforced() {
    for case in LIMIT_CASES {
        let mut admission = admission(100);
        admission.set_limits(
            WorkspaceId(1),
            limits(1, Priority::Normal, case.share),
            ms(0),
        );
        for request in 0..10 {
            admission
                .enqueue(admission_request(request, 1, 100, ms(60_000)), ms(0))
                .unwrap();
        }
        let mut count = started(&admission.poll(ms(0))).len();
        assert_eq!(count, case.started_at_once, "{}", case.what);
        let mut now = ms(0);
        while let Some(next) = admission.next_wakeup(now).filter(|next| *next <= ms(1_010)) {
            assert!(next > now, "{}: wake-up without progress", case.what);
            now = next;
            count += started(&admission.poll(now)).len();
        }
        assert_eq!(count, case.started_after_1_s, "{}", case.what);
    }
}

struct RefusalCase {
    what: &'static str,
    share: PlanShare,
    slots: u32,
    service_tokens_per_s: f64,
    /// Number of requests queued before the one that is refused.
    queued: u128,
    kind: ErrorKind,
}

const REFUSAL_CASES: &[RefusalCase] = &[
    RefusalCase {
        what: "no share of the token rate",
        share: PlanShare {
            tokens_per_s: 0.0,
            burst_tokens: 0.0,
            ..UNLIMITED
        },
        slots: 10,
        service_tokens_per_s: 1e9,
        queued: 0,
        kind: ErrorKind::PlanLimit,
    },
    RefusalCase {
        what: "rate of requests exceeded",
        share: PlanShare {
            requests_per_s: 0.5,
            burst_requests: 1.0,
            ..UNLIMITED
        },
        slots: 10,
        service_tokens_per_s: 1e9,
        queued: 1,
        kind: ErrorKind::PlanLimit,
    },
    RefusalCase {
        what: "long queue",
        share: UNLIMITED,
        slots: 1,
        service_tokens_per_s: 100.0,
        queued: 2,
        kind: ErrorKind::Overloaded,
    },
];

/// Guards against requests that are queued although they cannot start before their deadline, and
/// against refusals without a useful retry time.
#[test]
fn requests_that_cannot_start_in_time_are_refused_at_once() {
    for case in REFUSAL_CASES {
        let mut admission = admission(case.slots);
        admission.set_capacity(case.slots, case.service_tokens_per_s);
        admission.set_limits(
            WorkspaceId(1),
            limits(1, Priority::Normal, case.share),
            ms(0),
        );
        for request in 0..case.queued {
            admission
                .enqueue(admission_request(request, 1, 200, ms(60_000)), ms(0))
                .unwrap();
        }
        admission.poll(ms(0));
        let failure = admission
            .enqueue(admission_request(99, 1, 200, ms(1_000)), ms(0))
            .unwrap_err();
        assert_eq!(failure.kind(), case.kind, "{}", case.what);
        assert_eq!(failure.stage(), Stage::Queued, "{}", case.what);
        assert_eq!(failure.executed().as_str(), "no", "{}", case.what);
        let retry_after = failure.retry_after().unwrap();
        assert!(
            (ms(50)..ms(10_000)).contains(&retry_after),
            "{}: {retry_after:?}",
            case.what
        );
    }
}

/// Guards against queued requests that get no response at their deadline while all slots are taken,
/// and against requests that start after their deadline.
#[test]
fn queued_requests_are_refused_at_their_deadline() {
    let mut admission = admission(1);
    admission.set_limits(
        WorkspaceId(1),
        limits(1, Priority::Normal, UNLIMITED),
        ms(0),
    );
    for request in 0..3 {
        admission
            .enqueue(admission_request(request, 1, 100, ms(100)), ms(0))
            .unwrap();
    }
    assert_eq!(started(&admission.poll(ms(0))).len(), 1);
    assert_eq!(admission.next_wakeup(ms(0)), Some(ms(100)));
    let refused = admission.poll(ms(100));
    assert_eq!(refused.len(), 2);
    assert!(started(&refused).is_empty());
    assert_eq!(admission.status(WorkspaceId(1)).unwrap().queued_tokens, 0);
}

/// Guards against a workspace that exceeds its rate because its costs are estimated too low, and
/// against one that is charged for tokens that it did not use.
#[test]
fn actual_costs_replace_estimates() {
    let share = PlanShare {
        tokens_per_s: 100.0,
        burst_tokens: 1_000.0,
        ..UNLIMITED
    };
    let mut admission = admission(10);
    admission.set_limits(WorkspaceId(1), limits(1, Priority::Normal, share), ms(0));
    admission
        .enqueue(admission_request(1, 1, 1, ms(1_000)), ms(0))
        .unwrap();
    assert_eq!(started(&admission.poll(ms(0))).len(), 1);
    admission.on_request_ended(RequestId(1), 2_000, ms(0));
    let refused = admission.enqueue(admission_request(2, 1, 1, ms(1_000)), ms(0));
    assert_eq!(refused.unwrap_err().kind(), ErrorKind::PlanLimit);
    admission
        .enqueue(admission_request(3, 1, 900, ms(60_000)), ms(20_000))
        .unwrap();
    assert_eq!(started(&admission.poll(ms(20_000))).len(), 1);
    admission.on_request_ended(RequestId(3), 0, ms(20_000));
    admission
        .enqueue(admission_request(4, 1, 900, ms(21_000)), ms(20_000))
        .unwrap();
    assert_eq!(
        started(&admission.poll(ms(20_000))).len(),
        1,
        "unused tokens must be refunded"
    );
}

/// Guards against requests that start although their caller has disconnected or their workspace was
/// removed.
#[test]
fn cancelled_and_removed_requests_do_not_start() {
    let mut admission = admission(10);
    for id in [1, 2] {
        admission.set_limits(
            WorkspaceId(id),
            limits(1, Priority::Normal, UNLIMITED),
            ms(0),
        );
    }
    for (request, workspace) in [(1, 1), (2, 1), (3, 2)] {
        let request = admission_request(request, workspace, 100, ms(1_000));
        admission.enqueue(request, ms(0)).unwrap();
    }
    assert!(admission.cancel(WorkspaceId(1), RequestId(1)));
    assert!(!admission.cancel(WorkspaceId(1), RequestId(1)));
    let refused = admission.remove_workspace(WorkspaceId(2));
    assert!(matches!(
        &refused[..],
        [AdmissionAction::Refuse {
            request: RequestId(3),
            ..
        }]
    ));
    assert_eq!(started(&admission.poll(ms(0))), [RequestId(2)]);
    let unknown = admission
        .enqueue(admission_request(4, 2, 100, ms(1_000)), ms(0))
        .unwrap_err();
    assert_eq!(unknown.kind(), ErrorKind::NotEntitled);
}

/// Guards against tokens that are created when shares move between daemons.
#[test]
fn moving_a_share_creates_no_tokens() {
    let full = PlanShare {
        requests_per_s: 1.0,
        burst_requests: 10.0,
        ..UNLIMITED
    };
    let half = PlanShare {
        burst_requests: 5.0,
        ..full
    };
    let mut admission = admission(100);
    admission.set_limits(WorkspaceId(1), limits(1, Priority::Normal, full), ms(0));
    for _ in 0..20 {
        admission.set_limits(WorkspaceId(1), limits(1, Priority::Normal, half), ms(0));
        admission.set_limits(WorkspaceId(1), limits(1, Priority::Normal, full), ms(0));
    }
    for request in 0..20 {
        admission
            .enqueue(admission_request(request, 1, 1, ms(60_000)), ms(0))
            .unwrap();
    }
    assert_eq!(started(&admission.poll(ms(0))).len(), 10);
}

/// Guards against slots that stay free while a request could start, and against requests that are
/// lost or start twice.
#[test]
fn every_request_is_started_once_and_free_slots_are_used() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut admission = admission(3);
        for id in 0..4 {
            admission.set_limits(
                WorkspaceId(id),
                limits(id + 1, Priority::Normal, UNLIMITED),
                ms(0),
            );
        }
        let mut running = Vec::new();
        let mut ended = 0;
        let mut enqueued = 0;
        for (at, (workspace, cost, end)) in steps.iter().enumerate() {
            let now = ms(at as u64);
            if *end && !running.is_empty() {
                admission.on_request_ended(running.remove(0), u64::from(*cost), now);
                ended += 1;
            } else {
                let workspace = u32::from(workspace % 4);
                let request =
                    admission_request(at as u128, workspace, u64::from(*cost), ms(60_000));
                enqueued += usize::from(admission.enqueue(request, now).is_ok());
            }
            running.extend(started(&admission.poll(now)));
            if admission.queued() > 0 && running.len() < 3 {
                return false;
            }
        }
        running.len() == admission.running()
            && ended + running.len() + admission.queued() == enqueued
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, GEN_SEED))
        .quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}
