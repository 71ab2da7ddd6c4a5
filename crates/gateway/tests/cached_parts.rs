//! Tests of cached prompt parts: the scopes that keep them apart, and when parts of replaced weights
//! are freed.

use anvilgw_gateway::weights::{
    CacheSharing, FETCH_TIME_MAX, OldPartTimes, PublishedWeights, ScopeWeights, WeightPublication,
    cache_scope, is_retired, may_read_part, scope_weights,
};
use indexmap::IndexMap;
use std::time::Duration;

const MODEL: &str = "lumen";
/// A model on the same servers.
const OTHER_MODEL: &str = "umbra";

const CONFIGURATION_AGE_MAX: Duration = Duration::from_millis(4300);
const TIMES: OldPartTimes = OldPartTimes {
    configuration_age_max: CONFIGURATION_AGE_MAX,
    weight_switch: Duration::from_secs(10),
};
const SECOND: Duration = Duration::from_secs(1);
/// Time at which the operators publish version 2.
const PUBLISHED_AT: Duration = Duration::from_secs(100);
/// Hashes of part identifiers across the whole range.
const ID_HASHES: [u64; 4] = [0, u64::MAX / 3, u64::MAX / 2, u64::MAX];

/// Returns publications of a model: one of each version, a second apart.
fn published(model: &str, versions: &[u64]) -> IndexMap<String, PublishedWeights> {
    let mut times = (0..).map(|seconds| PUBLISHED_AT + SECOND * seconds);
    let mut publications = versions.iter().map(|version| {
        let published_at = times.next().expect("a time");
        publication(*version, published_at)
    });
    let mut weights = PublishedWeights::new(publications.next().expect("a version"));
    publications.for_each(|publication| weights.on_published(publication));
    IndexMap::from([(model.to_owned(), weights)])
}

/// Publication that the daemon read immediately.
fn publication(version: u64, published_at: Duration) -> WeightPublication {
    WeightPublication {
        version,
        published_after: Some(published_at),
        learned_at: published_at,
    }
}

/// Returns the scope of parts that a version of the model computed.
fn scope(version: u64) -> String {
    cache_scope(MODEL, Some(version), CacheSharing::ALL)
}

/// Guards against cached prompts of one model, of one version, or of one isolated workspace, that are
/// used for another, also if a name contains what separates the fields of a scope.
#[test]
fn scopes_differ_by_weights_and_isolated_workspace() {
    let models = [
        MODEL,
        OTHER_MODEL,
        "",
        "lumen/w1",
        "lumen%2Fw1",
        "l\u{fc}men",
    ];
    let isolated = ["", "club", "w1/club", "w1%2Fclub", "s7"].map(CacheSharing::Isolated);
    let shared =
        [None, Some(0), Some(7)].map(|isolated_hash| CacheSharing::Shared { isolated_hash });
    let sharings = [isolated.as_slice(), &shared].concat();
    let mut scopes = Vec::new();
    for model in models {
        for version in [None, Some(1), Some(11)] {
            for sharing in &sharings {
                let scope = cache_scope(model, version, *sharing);
                let expected = version.map(|version| ScopeWeights {
                    model: model.into(),
                    version,
                });
                assert_eq!(scope_weights(&scope), expected, "{scope}");
                assert!(scope.is_ascii(), "{scope}");
                assert!(!scopes.contains(&scope), "{scope}");
                scopes.push(scope);
            }
        }
    }
}

/// Guards against scopes of a release that did not name the model, which are taken for those of a
/// model with such a name.
#[test]
fn scopes_without_a_model_name_no_weights() {
    for scope in [
        "w1", "w1/club", "w", "w1/w1", "m", "mlumen", "mlumen/1", "mlumen/w", "other",
    ] {
        assert_eq!(scope_weights(scope), None, "{scope}");
    }
}

struct ReaderCase {
    name: &'static str,
    /// Time up to which its copy of the operators' table was complete, before it read version 2.
    /// `None` if it started after the publication.
    copy_before: Option<Duration>,
    learns_at: Duration,
}

impl ReaderCase {
    /// Returns whether the daemon starts to read a part of version 1 at `now`.
    fn reads(&self, id_hash: u64, now: Duration) -> bool {
        if now < self.learns_at {
            let relies_on_copy = |copy| now < copy + CONFIGURATION_AGE_MAX;
            return self.copy_before.is_some_and(relies_on_copy);
        }
        let weights = PublishedWeights::new(WeightPublication {
            version: 2,
            published_after: self.copy_before,
            learned_at: self.learns_at,
        });
        may_read_part(&weights, 1, id_hash, TIMES, now)
    }
}

/// Returns the time at which a daemon frees a part of version 1.
fn freed_at(id_hash: u64, learned_at: Duration) -> Duration {
    let publication = WeightPublication {
        version: 2,
        published_after: None,
        learned_at,
    };
    time_freed(id_hash, PublishedWeights::new(publication))
}

/// Returns the time at which a daemon with these publications frees a part of version 1.
fn time_freed(id_hash: u64, weights: PublishedWeights) -> Duration {
    let weights = IndexMap::from([(MODEL.to_owned(), weights)]);
    let scope = cache_scope(MODEL, Some(1), CacheSharing::ALL);
    (0..60_000)
        .map(|ms| PUBLISHED_AT + Duration::from_millis(ms))
        .find(|now| is_retired(&scope, id_hash, &weights, TIMES, *now))
        .expect("old parts are freed eventually")
}

/// Guards against parts that are freed while another daemon still reads them, because it learned of
/// the new weights late, was disconnected, or has just started.
#[test]
fn parts_are_freed_only_after_every_daemon_stopped_reading_them() {
    let cases = [
        ReaderCase {
            name: "learns at once",
            copy_before: Some(PUBLISHED_AT),
            learns_at: PUBLISHED_AT,
        },
        ReaderCase {
            name: "learns when its copy reaches the age limit",
            copy_before: Some(PUBLISHED_AT),
            learns_at: PUBLISHED_AT + CONFIGURATION_AGE_MAX,
        },
        ReaderCase {
            name: "disconnected since before the publication",
            copy_before: Some(PUBLISHED_AT - SECOND),
            learns_at: PUBLISHED_AT + SECOND * 5,
        },
        ReaderCase {
            name: "disconnected for a long time",
            copy_before: Some(PUBLISHED_AT - SECOND),
            learns_at: PUBLISHED_AT + SECOND * 20,
        },
        ReaderCase {
            name: "the store withheld the change for a second",
            copy_before: Some(PUBLISHED_AT + SECOND),
            learns_at: PUBLISHED_AT + SECOND * 2,
        },
        ReaderCase {
            name: "the store withheld the change, then was unavailable",
            copy_before: Some(PUBLISHED_AT + SECOND),
            learns_at: PUBLISHED_AT + SECOND * 20,
        },
        ReaderCase {
            name: "started after the publication",
            copy_before: None,
            learns_at: PUBLISHED_AT + SECOND,
        },
    ];
    for case in cases {
        for id_hash in ID_HASHES {
            let last_read = (0..60_000)
                .map(|ms| PUBLISHED_AT + Duration::from_millis(ms))
                .rfind(|now| case.reads(id_hash, *now))
                .unwrap_or(PUBLISHED_AT);
            let freed_at = freed_at(id_hash, PUBLISHED_AT);
            assert!(last_read + FETCH_TIME_MAX < freed_at, "{}", case.name);
        }
    }
}

/// Guards against parts that are freed while another daemon still reads them, because the metadata
/// store was restored from a copy without the publication: that daemon had not read it before, and
/// takes its copy for complete until operators publish the weights again.
#[test]
fn parts_are_freed_later_after_the_store_was_restored() {
    let restored_at = PUBLISHED_AT + Duration::from_millis(3500);
    let repeated_at = restored_at + SECOND * 5;
    let late_reader = ReaderCase {
        name: "listed the older copy until operators wrote again",
        copy_before: Some(repeated_at),
        learns_at: repeated_at,
    };
    for id_hash in ID_HASHES {
        let mut weights = PublishedWeights::new(WeightPublication {
            version: 2,
            published_after: None,
            learned_at: PUBLISHED_AT,
        });
        weights.on_store_restored(repeated_at);
        let last_read = (0..60_000)
            .map(|ms| PUBLISHED_AT + Duration::from_millis(ms))
            .rfind(|now| late_reader.reads(id_hash, *now))
            .expect("parts are read");
        let freed_at = time_freed(id_hash, weights);
        assert!(last_read + FETCH_TIME_MAX < freed_at, "{id_hash}");
    }
}

/// Guards against a daemon that takes the lease over and frees parts too early. It learned of the
/// new weights from the first table that it read, so it does not know since when they have been
/// published.
#[test]
fn daemon_that_started_later_frees_parts_no_earlier() {
    for id_hash in ID_HASHES {
        let known_from_start = freed_at(id_hash, PUBLISHED_AT);
        let started_later = freed_at(id_hash, PUBLISHED_AT + SECOND);
        assert!(started_later >= known_from_start);
    }
}

/// Guards against parts of new weights that find no space until most servers have switched, when
/// the stores are full of parts of old weights.
#[test]
fn old_parts_are_freed_gradually_during_the_switch() {
    let freed: Vec<Duration> = ID_HASHES
        .iter()
        .map(|id_hash| freed_at(*id_hash, PUBLISHED_AT))
        .collect();
    assert!(freed.is_sorted());
    assert!(freed[0] < freed[3], "not all at the same time");
    assert!(freed[0] < PUBLISHED_AT + SECOND * 7);
    assert!(freed[3] < PUBLISHED_AT + SECOND * 11);
}

/// Guards against parts of a replaced version that are kept until a later switch is over, when two
/// versions are published shortly after each other.
#[test]
fn parts_are_freed_by_the_first_publication_that_replaced_them() {
    let mut weights = published(MODEL, &[2]);
    let only_first = weights.clone();
    let second = publication(3, PUBLISHED_AT + SECOND * 5);
    weights.get_mut(MODEL).expect("model").on_published(second);
    let now = PUBLISHED_AT + Duration::from_millis(10_600);
    for id_hash in ID_HASHES {
        assert!(is_retired(&scope(1), id_hash, &only_first, TIMES, now));
        assert!(is_retired(&scope(1), id_hash, &weights, TIMES, now));
        assert!(!is_retired(&scope(2), id_hash, &weights, TIMES, now));
        assert!(!is_retired(&scope(3), id_hash, &weights, TIMES, now));
        assert!(!is_retired("other", id_hash, &weights, TIMES, now));
        let much_later = now + SECOND * 60;
        assert!(!is_retired(&scope(3), id_hash, &weights, TIMES, much_later));
    }
}

struct ModelsCase {
    name: &'static str,
    /// Published versions of the model and of the other one, oldest first.
    published: &'static [u64],
    published_of_other: &'static [u64],
    /// Versions from 1 to 3 whose parts are freed in the end, for both models.
    freed: &'static [u64],
    freed_of_other: &'static [u64],
}

/// Guards against parts that are freed while they are read, because newer weights of another model
/// were published, and against parts of replaced weights that are never freed, because another model
/// has not replaced a version of the same number.
#[test]
fn parts_are_freed_by_publications_of_their_own_model() {
    let case = |name, published, published_of_other, freed, freed_of_other| ModelsCase {
        name,
        published,
        published_of_other,
        freed,
        freed_of_other,
    };
    let cases = [
        case("nothing published", &[], &[], &[], &[]),
        case("the other was never published", &[2], &[], &[1], &[]),
        case("both at once", &[2], &[2], &[1], &[1]),
        case("one is further", &[2, 3], &[2], &[1, 2], &[1]),
        case("the other is further", &[2], &[3], &[1], &[1, 2]),
    ];
    let now = PUBLISHED_AT + SECOND * 60;
    for case in cases {
        let mut weights = IndexMap::new();
        for (model, versions) in [
            (MODEL, case.published),
            (OTHER_MODEL, case.published_of_other),
        ] {
            if !versions.is_empty() {
                weights.extend(published(model, versions));
            }
        }
        for (model, expected) in [(MODEL, case.freed), (OTHER_MODEL, case.freed_of_other)] {
            for sharing in [CacheSharing::ALL, CacheSharing::Isolated("club")] {
                let is_freed = |version: &u64| {
                    let scope = cache_scope(model, Some(*version), sharing);
                    is_retired(&scope, ID_HASHES[1], &weights, TIMES, now)
                };
                let freed: Vec<u64> = (1..=3).filter(is_freed).collect();
                assert_eq!(freed, expected, "{}, {model}", case.name);
            }
        }
    }
}
