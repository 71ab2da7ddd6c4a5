//! Block keys and the verification of blocks that were read.

use anvilgw_core::{ModelId, WorkspaceId};
use anvilgw_router::{
    AdapterId, BlockHeader, Generation, KeyScope, Mismatch, WeightVersion, block_keys, digest,
    verify,
};
use quickcheck::{Gen, QuickCheck};

/// Size and seed of the generated cases, fixed so that every run tests the same cases.
const GEN_SIZE: usize = 100;
const GEN_SEED: u64 = 1;

const SCOPE: KeyScope = KeyScope {
    workspace: WorkspaceId(1),
    model: ModelId(2),
    adapter: None,
    weight_version: WeightVersion(3),
};

/// Guards against the reuse of blocks across workspaces, models, adapters or weight versions.
#[test]
fn every_field_of_the_scope_changes_all_keys() {
    let others = [
        KeyScope {
            workspace: WorkspaceId(9),
            ..SCOPE
        },
        KeyScope {
            model: ModelId(9),
            ..SCOPE
        },
        KeyScope {
            adapter: Some(AdapterId(0)),
            ..SCOPE
        },
        KeyScope {
            adapter: Some(AdapterId(1)),
            ..SCOPE
        },
        KeyScope {
            weight_version: WeightVersion(9),
            ..SCOPE
        },
    ];
    let prompt = [7; 64];
    let keys = block_keys(&SCOPE, &prompt, 16);
    assert_eq!(keys.len(), 4);
    for other in others {
        for (a, b) in keys.iter().zip(block_keys(&other, &prompt, 16)) {
            assert_ne!(*a, b, "{other:?}");
        }
    }
}

/// Guards against a key that depends on prompt bytes after its block, or does not depend on those
/// before it.
#[test]
fn keys_agree_exactly_on_the_common_prefix() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(a: Vec<u8>, b: Vec<u8>) -> bool {
        let common = a.iter().zip(&b).take_while(|(a, b)| a == b).count();
        let keys_a = block_keys(&SCOPE, &a, 4);
        let keys_b = block_keys(&SCOPE, &b, 4);
        let equal = keys_a
            .iter()
            .zip(&keys_b)
            .take_while(|(a, b)| a == b)
            .count();
        let later_equal = keys_a.iter().zip(&keys_b).skip(equal).any(|(a, b)| a == b);
        equal == (common / 4).min(keys_a.len()).min(keys_b.len()) && !later_equal
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, GEN_SEED))
        .quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

struct MismatchCase {
    what: &'static str,
    change: fn(&mut BlockHeader, &mut Vec<u8>),
    expected: fn(&Result<(), Mismatch>) -> bool,
}

/// Guards against the use of blocks that were freed, belong to another prompt, or are partly
/// written or damaged.
#[test]
fn verify_finds_each_mismatch() {
    let cases = [
        MismatchCase {
            what: "intact block",
            change: |_, _| {},
            expected: |found| found.is_ok(),
        },
        MismatchCase {
            what: "block of another prompt",
            change: |header, _| header.key.0[31] ^= 1,
            expected: |found| matches!(found, Err(Mismatch::Key(_))),
        },
        MismatchCase {
            what: "slot freed and written again",
            change: |header, _| header.generation = Generation(6),
            expected: |found| *found == Err(Mismatch::Generation(5, 6)),
        },
        MismatchCase {
            what: "partly written block",
            change: |header, _| header.sealed = false,
            expected: |found| *found == Err(Mismatch::Unsealed),
        },
        MismatchCase {
            what: "damaged content",
            change: |_, content| content[3] ^= 0x10,
            expected: |found| *found == Err(Mismatch::Digest),
        },
        MismatchCase {
            what: "truncated content",
            change: |_, content| content.truncate(4),
            expected: |found| *found == Err(Mismatch::Digest),
        },
    ];
    let key = block_keys(&SCOPE, &[1; 16], 16)[0];
    for case in cases {
        let mut content = vec![5; 32];
        let mut header = BlockHeader {
            key,
            generation: Generation(5),
            sealed: true,
            digest: digest(&content),
        };
        (case.change)(&mut header, &mut content);
        let found = verify(&key, Some(Generation(5)), &header, &content);
        assert!((case.expected)(&found), "{}: {found:?}", case.what);
    }
}
