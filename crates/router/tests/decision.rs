//! Prices of plans and the selection of a server.

use anvilgw_core::{DomainId, ModelId, ServerId, Stage, StoreId};
use anvilgw_router::{
    AdapterId, BlockSizes, ColdCause, ColdSettings, CostWeights, Decision, EngineRates, Exclusion,
    Explanation, Holder, HolderMatch, LinkRates, LoadReport, NoCandidate, PrefillPriority,
    PrefixMatch, RouteRequest, Router, RouterSettings, SendOutcome, ServedModel, ServerSpec,
    WeightVersion,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const RATES: EngineRates = EngineRates {
    prefill_tokens_per_s: 10_000.0,
    decode_ms_per_token: 20.0,
    mean_decode_tokens: 100.0,
    max_concurrency: 32,
};
const SIZES: BlockSizes = BlockSizes {
    block_tokens: 4_000,
    kv_bytes_per_token: 10_000,
};

fn spec(id: u32) -> ServerSpec {
    ServerSpec {
        id: ServerId(id),
        domain: DomainId(id as u16 % 2),
        models: vec![ServedModel {
            model: ModelId(0),
            weight_version: WeightVersion(1),
            adapters: vec![AdapterId(1)],
            rates: RATES,
            sizes: SIZES,
        }],
        cold: ColdSettings::default(),
    }
}

fn report(at: Duration) -> LoadReport {
    LoadReport {
        started_ms: 1,
        measured_at: at,
        completed: 1_000,
        cached_blocks: 10,
        ..LoadReport::default()
    }
}

fn router(servers: u32) -> Router {
    let mut router = Router::new(RouterSettings::default());
    for id in 0..servers {
        router.set_server(spec(id));
        router.on_load_report(ServerId(id), report(NOW), NOW);
    }
    router
}

fn link(bytes_per_s: f64) -> LinkRates {
    LinkRates {
        bytes_per_s,
        transfer_bytes_per_s: bytes_per_s,
        latency_ms: 1.0,
        disk_bytes_per_s: bytes_per_s / 10.0,
        usable: true,
    }
}

fn request(prompt_tokens: u64) -> RouteRequest {
    RouteRequest {
        model: ModelId(0),
        adapter: None,
        weight_version: WeightVersion(1),
        prompt_tokens,
        tried: Vec::new(),
    }
}

fn prefix_held_by(
    holder: Holder,
    blocks: u32,
    disk_blocks: u32,
    doubtful_blocks: u32,
) -> PrefixMatch {
    PrefixMatch {
        holders: vec![HolderMatch {
            holder,
            blocks,
            disk_blocks,
            doubtful_blocks,
        }],
        incomplete: false,
        importing_from: None,
    }
}

fn decide(router: &Router, request: &RouteRequest, prefix: &PrefixMatch, seed: u64) -> Decision {
    router.select(request, prefix, NOW, &mut StdRng::seed_from_u64(seed))
}

/// Guards against a selection that ignores which server holds the blocks.
#[test]
fn the_holder_of_the_prefix_is_selected() {
    let router = router(6);
    let prefix = prefix_held_by(Holder::Server(ServerId(3)), 5, 0, 0);
    let choice = decide(&router, &request(21_000), &prefix, 1)
        .outcome
        .unwrap();
    assert_eq!(choice.server, ServerId(3));
    assert_eq!(choice.plan.in_place_blocks, 5);
    assert_eq!(choice.plan.prefill_tokens, 1_000);
    assert_eq!(choice.plan.import, None);
}

struct ImportCase {
    what: &'static str,
    rates: LinkRates,
    disk_blocks: u32,
    imported_blocks: u32,
}

fn import_cases() -> Vec<ImportCase> {
    let fast = link(10e9);
    vec![
        ImportCase {
            what: "fast memory",
            rates: fast,
            disk_blocks: 0,
            imported_blocks: 5,
        },
        ImportCase {
            what: "fast disk",
            rates: fast,
            disk_blocks: 5,
            imported_blocks: 5,
        },
        ImportCase {
            what: "slow link",
            rates: link(0.05e9),
            disk_blocks: 0,
            imported_blocks: 0,
        },
        ImportCase {
            what: "slow disk",
            rates: LinkRates {
                disk_bytes_per_s: 0.05e9,
                ..fast
            },
            disk_blocks: 5,
            imported_blocks: 0,
        },
        ImportCase {
            what: "unusable link",
            rates: LinkRates {
                usable: false,
                ..fast
            },
            disk_blocks: 0,
            imported_blocks: 0,
        },
        ImportCase {
            what: "no share of the link budget",
            rates: LinkRates {
                bytes_per_s: 0.0,
                ..fast
            },
            disk_blocks: 0,
            imported_blocks: 0,
        },
    ]
}

/// Guards against imports that take longer than a recompute, and against a recompute of blocks that
/// could be imported faster.
#[test]
fn imports_are_chosen_only_if_cheaper_than_a_recompute() {
    let cases = import_cases();
    let store = Holder::Store(StoreId(0));
    for case in cases {
        let mut router = router(3);
        router.set_link(store, case.rates);
        let prefix = prefix_held_by(store, 5, case.disk_blocks, 0);
        let choice = decide(&router, &request(21_000), &prefix, 1)
            .outcome
            .unwrap();
        let imported = choice.plan.import.map_or(0, |import| import.blocks);
        assert_eq!(imported, case.imported_blocks, "{}", case.what);
        let expected = 21_000 - u64::from(imported) * 4_000;
        assert_eq!(choice.plan.prefill_tokens, expected, "{}", case.what);
    }
}

/// Guards against requests that wait for a link whose budget is used up.
#[test]
fn reserved_link_bytes_raise_the_price() {
    let store = Holder::Store(StoreId(0));
    let mut router = router(1);
    router.set_link(store, link(1e9));
    let prefix = prefix_held_by(store, 5, 0, 0);
    let mut imports = 0;
    for _ in 0..20 {
        let choice = decide(&router, &request(21_000), &prefix, 1)
            .outcome
            .unwrap();
        if let Some(import) = choice.plan.import {
            imports += 1;
            router
                .reserve_import(&import, SIZES.bytes(import.blocks), NOW)
                .unwrap();
        }
    }
    // Each import takes 0.2 s at the rate of the share. The last one may wait up to 2 s, and the
    // burst lets it start 0.5 s early.
    assert!((2..=13).contains(&imports), "{imports} imports");
    let choice = decide(&router, &request(21_000), &prefix, 1)
        .outcome
        .unwrap();
    assert_eq!(choice.plan.import, None);
}

/// Guards against a second import of blocks that another server is importing.
#[test]
fn blocks_being_imported_are_not_imported_again() {
    let store = Holder::Store(StoreId(0));
    let mut router = router(2);
    router.set_link(store, link(10e9));
    let mut prefix = prefix_held_by(store, 5, 0, 0);
    prefix.importing_from = Some(2);
    let choice = decide(&router, &request(21_000), &prefix, 1);
    let import = choice.outcome.unwrap().plan.import.unwrap();
    assert_eq!((import.first_block, import.blocks), (0, 2));
    prefix.importing_from = Some(0);
    let choice = decide(&router, &request(21_000), &prefix, 1);
    assert_eq!(choice.outcome.unwrap().plan.import, None);
}

struct ExcludedCase {
    what: &'static str,
    change: fn(&mut Router, &mut RouteRequest),
    expected: NoCandidate,
}

fn exclusion_cases() -> Vec<ExcludedCase> {
    let both = |reason| NoCandidate::AllExcluded(reason, 2);
    vec![
        ExcludedCase {
            what: "unknown model",
            change: |_, request| request.model = ModelId(7),
            expected: NoCandidate::UnknownModel,
        },
        ExcludedCase {
            what: "other weight version",
            change: |_, request| request.weight_version = WeightVersion(2),
            expected: both(Exclusion::WeightVersion),
        },
        ExcludedCase {
            what: "missing adapter",
            change: |_, request| request.adapter = Some(AdapterId(5)),
            expected: both(Exclusion::Adapter),
        },
        ExcludedCase {
            what: "out of service",
            change: |router, _| (0..2).for_each(|id| router.set_in_service(ServerId(id), false)),
            expected: both(Exclusion::OutOfService),
        },
        ExcludedCase {
            what: "domains out",
            change: |router, _| {
                (0..2).for_each(|id| router.set_domain_in_service(DomainId(id), false));
            },
            expected: both(Exclusion::DomainOut),
        },
        ExcludedCase {
            what: "tried",
            change: |_, request| request.tried = vec![ServerId(0), ServerId(1)],
            expected: both(Exclusion::Tried),
        },
        ExcludedCase {
            what: "open breakers",
            change: |router, _| {
                for id in [0, 0, 0, 1, 1, 1] {
                    router.on_request_ended(ServerId(id), SendOutcome::Failed, NOW);
                }
            },
            expected: both(Exclusion::BreakerOpen),
        },
        ExcludedCase {
            what: "cold without permits",
            change: |router, _| {
                for id in 0..2 {
                    router.on_request_ended(ServerId(id), SendOutcome::Overloaded, NOW);
                }
            },
            expected: both(Exclusion::ColdLimit),
        },
    ]
}

/// Guards against requests sent to excluded servers, and against failures without the reason.
#[test]
fn each_exclusion_has_its_reason() {
    let cases = exclusion_cases();
    for case in cases {
        let mut router = router(2);
        let mut request = request(1_000);
        (case.change)(&mut router, &mut request);
        let decision = decide(&router, &request, &PrefixMatch::default(), 1);
        assert_eq!(decision.outcome, Err(case.expected), "{}", case.what);
        let failure = case.expected.failure(Stage::Queued);
        assert_eq!(failure.executed().as_str(), "no", "{}", case.what);
    }
}

/// Guards against a cold server that is excluded although a permit is free, or is used without one.
#[test]
fn a_cold_server_is_used_with_a_permit() {
    let mut router = router(1);
    router.on_request_ended(ServerId(0), SendOutcome::Overloaded, NOW);
    router.set_cold_permits(ServerId(0), 1);
    let choice = decide(&router, &request(1_000), &PrefixMatch::default(), 1)
        .outcome
        .unwrap();
    assert!(choice.needs_cold_permit);
}

/// Guards against daemons that all select the same one of several equal servers.
#[test]
fn near_equal_servers_share_the_load() {
    let router = router(8);
    let mut counts = [0_u32; 8];
    for seed in 0..800 {
        let decision = decide(&router, &request(1_000), &PrefixMatch::default(), seed);
        counts[decision.outcome.unwrap().server.0 as usize] += 1;
        let total: f64 = decision
            .explanation
            .candidates
            .iter()
            .map(|candidate| candidate.probability)
            .sum();
        assert!((total - 1.0).abs() < 1e-9);
    }
    assert!(
        counts.iter().all(|count| (50..=150).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a daemon that overloads a server between two load reports of that server.
#[test]
fn sent_requests_count_until_a_report_includes_them() {
    let mut router = router(2);
    for _ in 0..4 {
        router.on_request_sent(ServerId(0), 20_000, NOW);
    }
    let first = decide(&router, &request(1_000), &PrefixMatch::default(), 1);
    assert_eq!(first.outcome.unwrap().server, ServerId(1));
    let older = report(NOW - Duration::from_millis(500));
    router.on_load_report(ServerId(0), older, NOW);
    let queue = |router: &Router| {
        let decision = decide(router, &request(1_000), &PrefixMatch::default(), 1);
        let mut candidates = decision.explanation.candidates.iter();
        let first = candidates.find(|candidate| candidate.server == ServerId(0));
        first.unwrap().priced.price.queue_ms
    };
    assert!(queue(&router) >= 8_000.0, "a report from before the sends");
    let newer = report(NOW + Duration::from_millis(500));
    router.on_load_report(ServerId(0), newer, NOW);
    assert!(queue(&router) < 1.0, "a report from after the sends");
}

/// Guards against long prefills that delay short ones, and against short ones with low priority.
#[test]
fn long_prefills_have_low_priority() {
    let router = router(1);
    for (prompt_tokens, expected) in [
        (1_900, PrefillPriority::Normal),
        (2_100, PrefillPriority::Low),
    ] {
        let decision = decide(&router, &request(prompt_tokens), &PrefixMatch::default(), 1);
        assert_eq!(
            decision.outcome.unwrap().priority,
            expected,
            "{prompt_tokens}"
        );
    }
}

/// Guards against explanations that grow with the number of servers or omit the selected one.
#[test]
fn explanations_are_bounded_and_name_the_selected_server() {
    let router = router(100);
    for seed in 0..50 {
        let decision = decide(&router, &request(1_000), &PrefixMatch::default(), seed);
        let explanation = decision.explanation;
        assert_eq!(explanation.considered, 100);
        assert!(explanation.candidates.len() <= 17);
        let mut listed = explanation
            .candidates
            .iter()
            .map(|candidate| candidate.server);
        assert_eq!(explanation.selected, Some(decision.outcome.unwrap().server));
        assert!(listed.any(|server| Some(server) == explanation.selected));
    }
}

/// Guards against settings that have no effect until a restart, and against the loss of a server's
/// state when only its settings change.
#[test]
fn a_change_of_settings_keeps_the_state() {
    let mut router = router(1);
    router.on_request_ended(ServerId(0), SendOutcome::Overloaded, NOW);
    let mut changed = spec(0);
    changed.cold.cold_concurrency = 5;
    router.set_server(changed.clone());
    assert_eq!(router.capacity(ServerId(0)), Some(5));
    changed.models[0].weight_version = WeightVersion(2);
    router.set_server(changed);
    assert_eq!(router.cold_cause(ServerId(0)), Some(ColdCause::Unknown));
}

/// Returns a server with model 0 (version 1) and model 1 (version 2, faster, adapter 9).
fn two_models(id: u32) -> ServerSpec {
    let mut two = spec(id);
    let mut second = two.models[0].clone();
    second.model = ModelId(1);
    second.weight_version = WeightVersion(2);
    second.adapters = vec![AdapterId(9)];
    second.rates.prefill_tokens_per_s *= 10.0;
    two.models.push(second);
    two
}

/// Guards against a server whose second model is never used, takes the version, adapters or speed
/// of the first, or has a load or breaker of its own.
#[test]
fn a_server_serves_all_its_models() {
    let mut router = Router::new(RouterSettings::default());
    router.set_server(two_models(0));
    router.set_server(spec(1));
    for id in 0..2 {
        router.on_load_report(ServerId(id), report(NOW), NOW);
    }
    let of_model = |model, version, adapter| RouteRequest {
        model: ModelId(model),
        weight_version: WeightVersion(version),
        adapter: Some(AdapterId(adapter)),
        ..request(40_000)
    };
    let empty = PrefixMatch::default();
    let first = decide(&router, &of_model(0, 1, 1), &empty, 1).explanation;
    assert_eq!(first.considered, 2);
    let second = decide(&router, &of_model(1, 2, 9), &empty, 1).explanation;
    assert_eq!(second.selected, Some(ServerId(0)));
    let prefill_ms = |explanation: &Explanation| explanation.candidates[0].priced.price.prefill_ms;
    assert!(prefill_ms(&second) * 9.0 < prefill_ms(&first));
    for (version, adapter) in [(1, 9), (2, 1)] {
        let refused = decide(&router, &of_model(1, version, adapter), &empty, 1);
        assert!(
            refused.outcome.is_err(),
            "version {version}, adapter {adapter}"
        );
    }
    let held = decide(
        &router,
        &of_model(1, 2, 9),
        &prefix_held_by(Holder::Server(ServerId(0)), 5, 0, 0),
        1,
    );
    assert_eq!(held.outcome.unwrap().plan.in_place_blocks, 5);
    for _ in 0..3 {
        router.on_request_ended(ServerId(0), SendOutcome::Failed, NOW);
    }
    for (model, version, adapter) in [(0, 1, 1), (1, 2, 9)] {
        let decision = decide(&router, &of_model(model, version, adapter), &empty, 1);
        let excluded = decision.explanation.excluded[0];
        assert_eq!(excluded.server, ServerId(0));
        assert_eq!(excluded.reason, Exclusion::BreakerOpen);
    }
}

/// Guards against fields of an explanation that JSON does not preserve, which `explain` would not
/// show.
#[test]
fn explanations_round_trip_through_json() {
    let mut router = router(3);
    router.set_in_service(ServerId(2), false);
    router.set_link(Holder::Store(StoreId(0)), link(10e9));
    let prefix = prefix_held_by(Holder::Store(StoreId(0)), 5, 2, 1);
    let explanation = decide(&router, &request(21_000), &prefix, 1).explanation;
    assert_eq!(explanation.excluded[0].reason, Exclusion::OutOfService);
    let text = serde_json::to_string(&explanation).unwrap();
    let read: Explanation = serde_json::from_str(&text).unwrap();
    assert_eq!(read.selected, explanation.selected);
    assert_eq!(read.candidates.len(), 2);
    assert_eq!(read.weights, CostWeights::default());
}
