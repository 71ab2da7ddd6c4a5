//! Placement of sealed blocks: exports, copies and early evictions.

use anvilgw_core::{DomainId, ServerId, StoreId, WorkspaceId};
use anvilgw_router::{
    Generation, PlacementAction, PlacementPolicy, PlacementSettings, SealedBlock, ShortKey,
    StoreState, Tier,
};
use std::time::Duration;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn store(id: u16, domain: u16) -> StoreState {
    StoreState {
        store: StoreId(id),
        domain: DomainId(domain),
        memory_free_bytes: 1_000,
        disk_free_bytes: 10_000,
        usable: true,
    }
}

struct PlacementCase {
    what: &'static str,
    prompt_blocks: u32,
    holding_stores: &'static [StoreId],
    stores: Vec<StoreState>,
    /// Expected target stores of the export and of the copy.
    expected: (Option<StoreId>, Option<StoreId>),
}

fn placement_cases() -> Vec<PlacementCase> {
    let full = StoreState {
        memory_free_bytes: 0,
        disk_free_bytes: 0,
        ..store(1, 0)
    };
    let unusable = StoreState {
        usable: false,
        ..store(1, 0)
    };
    let both = || vec![store(1, 0), store(2, 1)];
    let first = Some(StoreId(1));
    let second = Some(StoreId(2));
    let case = |what, prompt_blocks, holding_stores, stores, expected| PlacementCase {
        what,
        prompt_blocks,
        holding_stores,
        stores,
        expected,
    };
    vec![
        case("cheap prompt", 1, &[], both(), (first, None)),
        case("costly prompt", 20, &[], both(), (first, second)),
        case("already stored", 20, &[StoreId(1)], both(), (None, second)),
        case(
            "already stored twice",
            20,
            &[StoreId(1), StoreId(2)],
            both(),
            (None, None),
        ),
        case(
            "full store",
            1,
            &[],
            vec![full, store(2, 1)],
            (second, None),
        ),
        case(
            "unusable store",
            1,
            &[],
            vec![unusable, store(2, 1)],
            (second, None),
        ),
        case(
            "one failure domain",
            20,
            &[],
            vec![store(1, 0), store(2, 0)],
            (second, None),
        ),
    ]
}

/// Guards against blocks that are not exported, copies of prompts that are cheap to recompute, and
/// copies in the same failure domain.
#[test]
fn sealed_blocks_are_exported_and_copied() {
    let cases = placement_cases();
    let placement = PlacementPolicy::new(PlacementSettings::default());
    for case in cases {
        let actions = placement.decide(
            &block(case.prompt_blocks),
            100,
            case.holding_stores,
            &case.stores,
        );
        let export = actions.iter().find_map(|action| match action {
            PlacementAction::Export { store, .. } => Some(*store),
            _ => None,
        });
        let copy = actions.iter().find_map(|action| match action {
            PlacementAction::Copy { to, .. } => Some(*to),
            _ => None,
        });
        assert_eq!(export, case.expected.0, "{}", case.what);
        assert_eq!(copy, case.expected.1, "{}", case.what);
    }
}

fn block(prompt_blocks: u32) -> SealedBlock {
    SealedBlock {
        key: ShortKey(1),
        generation: Generation(1),
        workspace: WorkspaceId(1),
        position: 0,
        prompt_blocks,
        reused: false,
        server: ServerId(1),
        domain: DomainId(0),
    }
}

/// Guards against accelerator memory kept for prompts that return only after the eviction, and
/// against exports of prompts that never return.
#[test]
fn placement_follows_observed_returns() {
    let stores = [store(1, 0)];
    let mut placement = PlacementPolicy::new(PlacementSettings::default());
    placement.on_block_evicted(ServerId(1), seconds(60));
    placement.on_prompt_returned(WorkspaceId(1), Some(seconds(600)));
    let actions = placement.decide(&block(1), 100, &[], &stores);
    assert!(matches!(
        actions[0],
        PlacementAction::Export {
            tier: Tier::Memory,
            ..
        }
    ));
    assert!(matches!(actions[1], PlacementAction::EvictFirst { .. }));
    let shared = SealedBlock {
        reused: true,
        ..block(1)
    };
    let actions = placement.decide(&shared, 100, &[], &stores);
    assert_eq!(actions.len(), 1, "a shared block stays: {actions:?}");
    for _ in 0..100 {
        placement.on_prompt_returned(WorkspaceId(1), None);
    }
    let actions = placement.decide(&block(1), 100, &[], &stores);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, PlacementAction::Export { .. }))
    );
}
