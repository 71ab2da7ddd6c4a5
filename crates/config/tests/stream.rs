//! Fold of the configuration stream: all daemons come to the same configuration, whether they read
//! its records from the log, start from a snapshot or receive updates from peers.

use anvilgw_config::{
    Bootstrap, BootstrapError, ConfigChange, ConfigFold, ConfigRecord, ConfigState, FoldError,
    FoldOutcome, Outcome, PeerUpdate, PeerUpdateError, RecordError, RecordId, Rejection, Snapshot,
    SnapshotError,
};
use anvilgw_core::{LogRecord, LogSlice, Offset};
use quickcheck::{Gen, QuickCheck, Testable};

fn change(kind: u8) -> ConfigChange {
    let name = format!("d{}", kind % 3);
    match kind % 5 {
        0 => ConfigChange::DomainOut(name),
        1 => ConfigChange::DomainIn(name),
        2 => ConfigChange::InstanceOut(name),
        3 => ConfigChange::InstanceIn(name),
        _ => ConfigChange::DomainOut("not a name".to_owned()),
    }
}

fn record(id: u128, expected_version: u64, change: ConfigChange) -> ConfigRecord {
    ConfigRecord {
        record_id: RecordId(uuid::Uuid::from_u128(id)),
        author: "ana".to_owned(),
        written_ms: 1,
        expected_version,
        change,
    }
}

fn log_of(payloads: impl IntoIterator<Item = Vec<u8>>) -> Vec<LogRecord> {
    let records = (0..).map(Offset).zip(payloads);
    records
        .map(|(offset, payload)| LogRecord { offset, payload })
        .collect()
}

/// Returns a log with one record per choice: most records expect the current version, some an older
/// or a future one, some repeat an earlier record, and some are not records at all.
fn random_log(choices: &[(u8, u8)]) -> Vec<LogRecord> {
    let mut fold = ConfigFold::new();
    let mut payloads: Vec<Vec<u8>> = Vec::new();
    for (index, &(how, kind)) in choices.iter().enumerate() {
        let version = fold.current().version;
        let payload = match how % 8 {
            0 if !payloads.is_empty() => payloads[usize::from(kind) % payloads.len()].clone(),
            1 => vec![kind; usize::from(how)],
            2 => record(index as u128, version.saturating_sub(1), change(kind))
                .encode()
                .unwrap(),
            3 => record(index as u128, version + 1, change(kind))
                .encode()
                .unwrap(),
            _ => record(index as u128, version, change(kind))
                .encode()
                .unwrap(),
        };
        let offset = Offset(index as u64);
        fold.fold(&LogRecord {
            offset,
            payload: payload.clone(),
        })
        .unwrap();
        payloads.push(payload);
    }
    log_of(payloads)
}

fn fold_of(records: &[LogRecord]) -> ConfigFold {
    let mut fold = ConfigFold::new();
    records
        .iter()
        .for_each(|record| assert!(fold.fold(record).is_ok()));
    fold
}

fn check<A: Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(200)
        .quickcheck(property);
}

struct RaceCase {
    name: &'static str,
    record: ConfigRecord,
    /// Expected outcome, or `None` if the record is a duplicate.
    expected: Option<Outcome>,
}

fn race_cases() -> Vec<RaceCase> {
    let case = |name, id, version, domain: &str, expected| RaceCase {
        name,
        record: record(id, version, ConfigChange::DomainOut(domain.to_owned())),
        expected,
    };
    let accepted = |version| Some(Outcome::Accepted { version });
    let rejected = |rejection| Some(Outcome::Rejected(rejection));
    let conflict = |expected, current| {
        let author = "ana".to_owned();
        rejected(Rejection::VersionConflict {
            expected,
            current,
            author,
        })
    };
    let faults = "domain: the name is empty (example: porto)".to_owned();
    vec![
        case("first", 1, 0, "porto", accepted(1)),
        case(
            "second from the same version",
            2,
            0,
            "braga",
            conflict(0, 1),
        ),
        case("repeated after a lost answer", 1, 0, "porto", None),
        case("repeated with another content", 2, 1, "braga", None),
        case("future version", 3, 2, "braga", conflict(2, 1)),
        case("no effect", 4, 1, "porto", rejected(Rejection::NoEffect)),
        case("invalid", 5, 1, "", rejected(Rejection::Invalid { faults })),
        case("second try", 6, 1, "braga", accepted(2)),
    ]
}

/// Guards against a lost update: two operators change the same version, and the second change must
/// be rejected with a reason.
#[test]
fn first_record_with_the_expected_version_wins() {
    let mut fold = ConfigFold::new();
    for (
        offset,
        RaceCase {
            name,
            record,
            expected,
        },
    ) in (0..).zip(race_cases())
    {
        let before = fold.current();
        let log_record = LogRecord {
            offset: Offset(offset),
            payload: record.encode().unwrap(),
        };
        let folded = fold.fold(&log_record).unwrap();
        match expected {
            None => assert_eq!(folded, FoldOutcome::Duplicate(record.record_id), "{name}"),
            Some(expected) => {
                assert_eq!(
                    fold.outcome(record.record_id).unwrap().outcome,
                    expected,
                    "{name}"
                );
                let accepted = matches!(expected, Outcome::Accepted { .. });
                assert_eq!(*fold.current() != *before, accepted, "{name}");
            }
        }
        assert_eq!(
            fold.fold(&log_record),
            Ok(FoldOutcome::AlreadyFolded),
            "{name}"
        );
    }
    let state = fold.current();
    assert!(!state.is_in_service("porto", "x") && state.is_in_service("viana", "x"));
}

/// Guards against a daemon that differs from the others because it started from a snapshot.
#[test]
fn a_snapshot_and_later_records_equal_the_whole_stream() {
    #[allow(clippy::needless_pass_by_value)] // quickcheck generates owned values only
    fn property(choices: Vec<(u8, u8)>, cut: usize) -> bool {
        let records = random_log(&choices);
        let (head, tail) = records.split_at(cut % (records.len() + 1));
        let mut whole = fold_of(head);
        let mut bootstrap = Bootstrap::new();
        // The older snapshot comes last, as can happen with two concurrent writers.
        let older = fold_of(&head[..head.len() / 2]).snapshot();
        for snapshot in [whole.snapshot(), older].into_iter().flatten() {
            let payload = snapshot.encode();
            bootstrap
                .add_snapshot(&LogRecord {
                    offset: Offset(0),
                    payload,
                })
                .unwrap();
        }
        let mut late = bootstrap.start(Offset(head.len() as u64)).unwrap();
        let same_steps = tail
            .iter()
            .all(|record| late.fold(record) == whole.fold(record));
        same_steps
            && late.snapshot() == whole.snapshot()
            && late.current().digest() == whole.current().digest()
    }
    check(property as fn(Vec<(u8, u8)>, usize) -> bool);
}

/// Guards against a version that decreases, or a configuration that differs, when changes come from
/// a peer first and from the log later.
#[test]
fn peers_and_log_lead_to_the_same_configuration() {
    #[allow(clippy::needless_pass_by_value)] // quickcheck generates owned values only
    fn property(choices: Vec<(u8, u8)>, behind: usize, from_peer: bool) -> bool {
        let records = random_log(&choices);
        let ahead = fold_of(&records);
        let mut late = fold_of(&records[..behind % (records.len() + 1)]);
        if from_peer {
            late = ConfigFold::from_peer(ConfigState::clone(&late.current()));
        }
        let update = ahead.update_since(late.current().version);
        let is_newer = late.current().version < ahead.current().version;
        let applied = late.apply_update(update.clone()) == Ok(is_newer);
        let again = late.apply_update(update) == Ok(false);
        let version = late.current().version;
        if from_peer {
            late.resync_with_log(Bootstrap::new(), Offset(0)).unwrap();
        }
        for record in &records {
            late.fold(record).unwrap();
            assert!(late.current().version >= version);
        }
        let same = late.snapshot() == ahead.snapshot() && late.current() == ahead.current();
        applied && again && same
    }
    check(property as fn(Vec<(u8, u8)>, usize, bool) -> bool);
}

/// Guards against a peer that cannot catch up because the changes it needs are no longer retained.
#[test]
fn a_peer_far_behind_gets_the_whole_configuration() {
    let payload = |version: u64| {
        let name = "porto".to_owned();
        let out = version.is_multiple_of(2);
        let change = if out {
            ConfigChange::DomainOut(name)
        } else {
            ConfigChange::DomainIn(name)
        };
        record(u128::from(version), version, change)
            .encode()
            .unwrap()
    };
    let fold = fold_of(&log_of((0..100).map(payload)));
    assert_eq!(fold.update_since(100), PeerUpdate::Nothing);
    let PeerUpdate::Changes(changes) = fold.update_since(36) else {
        panic!("64 changes are retained")
    };
    assert_eq!((changes.len(), changes[0].version), (64, 37));
    assert!(matches!(fold.update_since(35), PeerUpdate::Full { .. }));
    let mut late = ConfigFold::new();
    assert_eq!(late.apply_update(fold.update_since(0)), Ok(true));
    assert_eq!(late.current(), fold.current());
    assert!(matches!(late.update_since(99), PeerUpdate::Full { .. }));
}

/// Guards against a damaged update that is applied in part.
#[test]
fn an_inconsistent_update_changes_nothing() {
    let records = random_log(&[(7, 0), (7, 2), (7, 5)]);
    let fold = fold_of(&records);
    let mut late = ConfigFold::new();
    let PeerUpdate::Changes(valid) = fold.update_since(0) else {
        panic!()
    };
    let mut missing = valid.clone();
    missing.remove(1);
    assert_eq!(
        late.apply_update(PeerUpdate::Changes(missing)),
        Err(PeerUpdateError::NotConsecutive(1, 3))
    );
    let mut wrong = valid.clone();
    wrong[2].digest = wrong[1].digest;
    assert_eq!(
        late.apply_update(PeerUpdate::Changes(wrong)),
        Err(PeerUpdateError::WrongDigest(3))
    );
    let mut other = valid;
    other[2].record.expected_version = 7;
    let error = late.apply_update(PeerUpdate::Changes(other)).unwrap_err();
    assert!(
        matches!(error, PeerUpdateError::NotAccepted(3, _)),
        "{error}"
    );
    let state = ConfigState::clone(&fold.current());
    let full = PeerUpdate::Full {
        digest: ConfigState::default().digest(),
        state,
    };
    assert_eq!(
        late.apply_update(full),
        Err(PeerUpdateError::WrongDigest(3))
    );
    assert_eq!(late.current().version, 0);
}

/// Guards against missing records that are skipped without an error.
#[test]
fn missing_records_are_errors() {
    let records = random_log(&[(7, 0), (7, 2), (7, 5), (7, 3)]);
    let mut fold = fold_of(&records[..1]);
    assert_eq!(
        fold.fold(&records[2]),
        Err(FoldError::Gap(Offset(1), Offset(2)))
    );
    let slice = |from: usize| LogSlice {
        first_offset: Offset(from as u64),
        next_offset: Offset(4),
        records: records[from..].to_vec(),
    };
    assert_eq!(
        fold.fold_slice(&slice(2), |_| ()),
        Err(FoldError::Gap(Offset(1), Offset(2)))
    );
    let mut count = 0;
    assert_eq!(fold.fold_slice(&slice(1), |_| count += 1), Ok(()));
    assert_eq!((count, fold.next_offset()), (3, Some(Offset(4))));

    let snapshot = fold_of(&records[..2]).snapshot().unwrap().encode();
    let mut bootstrap = Bootstrap::new();
    let invalid = LogRecord {
        offset: Offset(0),
        payload: b"{}".to_vec(),
    };
    assert!(bootstrap.add_snapshot(&invalid).is_err());
    let missing = BootstrapError::HistoryMissing(Offset(1), 1);
    assert_eq!(bootstrap.clone().start(Offset(1)).unwrap_err(), missing);
    bootstrap
        .add_snapshot(&LogRecord {
            offset: Offset(1),
            payload: snapshot,
        })
        .unwrap();
    assert!(
        bootstrap.add_snapshot(&invalid).is_err(),
        "a later invalid snapshot does not replace a valid one"
    );
    assert_eq!(bootstrap.next_offset(), Offset(2));
    let gap = BootstrapError::Gap(Offset(1), Offset(3));
    assert_eq!(bootstrap.clone().start(Offset(3)).unwrap_err(), gap);
    assert_eq!(bootstrap.start(Offset(2)).unwrap().current().version, 2);
}

/// Guards against a daemon that continues with a configuration that differs from the log.
#[test]
fn divergence_is_an_error() {
    let records = random_log(&[(7, 0), (7, 2)]);
    let other = fold_of(&random_log(&[(7, 2), (7, 0)]));
    let mut fold = fold_of(&records[..1]);
    let state = ConfigState::clone(&other.current());
    fold.apply_update(PeerUpdate::Full {
        digest: state.digest(),
        state: state.clone(),
    })
    .unwrap();
    // Both orders lead to the same content, so this update agrees with the log. The next one is
    // altered to differ from it.
    assert!(fold.fold(&records[1]).is_ok());
    let mut wrong = state;
    wrong.domains_out.clear();
    let mut fold = fold_of(&records[..1]);
    fold.apply_update(PeerUpdate::Full {
        digest: wrong.digest(),
        state: wrong,
    })
    .unwrap();
    assert_eq!(
        fold.fold(&records[1]),
        Err(FoldError::Diverged(Offset(1), 2))
    );
    assert_eq!(fold.next_offset(), Some(Offset(1)));
    let mut bootstrap = Bootstrap::new();
    let payload = fold_of(&records).snapshot().unwrap().encode();
    bootstrap
        .add_snapshot(&LogRecord {
            offset: Offset(0),
            payload,
        })
        .unwrap();
    assert_eq!(
        fold.resync_with_log(bootstrap, Offset(0)),
        Err(BootstrapError::Diverged(2))
    );
}

/// Guards against an older daemon that skips a record of a newer format, or accepts an oversized
/// one, and then differs from the others.
#[test]
fn newer_formats_and_oversized_records_are_errors() {
    let text = String::from_utf8(record(1, 0, change(0)).encode().unwrap()).unwrap();
    let newer = text.replacen("\"format\":1", "\"format\":2", 1);
    assert_eq!(
        ConfigRecord::decode(newer.as_bytes()),
        Err(RecordError::NewerFormat(2))
    );
    let mut fold = ConfigFold::new();
    let newer = LogRecord {
        offset: Offset(0),
        payload: newer.into_bytes(),
    };
    assert_eq!(fold.fold(&newer), Err(FoldError::NewerFormat(Offset(0), 2)));
    assert_eq!(fold.next_offset(), Some(Offset(0)));
    let name = "x".repeat(1 << 20);
    let too_large = record(1, 0, ConfigChange::DomainOut(name)).encode();
    assert!(matches!(too_large, Err(RecordError::TooLarge(_))));
    let huge = vec![b' '; (1 << 20) + 1];
    assert!(matches!(
        ConfigRecord::decode(&huge),
        Err(RecordError::TooLarge(_))
    ));
}

/// Guards against a panic or a partial result on a damaged payload.
#[test]
fn damaged_payloads_are_rejected() {
    #[allow(clippy::needless_pass_by_value)] // quickcheck generates owned values only
    fn property(bytes: Vec<u8>, position: usize, value: u8) -> bool {
        let rejected_both =
            ConfigRecord::decode(&bytes).is_err() && Snapshot::decode(&bytes).is_err();
        let valid = fold_of(&random_log(&[(7, 0), (7, 2), (7, 4)]))
            .snapshot()
            .unwrap();
        let mut payload = valid.encode();
        let at = position % payload.len();
        payload[at] = value;
        let damaged = Snapshot::decode(&payload).is_ok_and(|snapshot| snapshot != valid);
        let mut payload = record(1, 0, change(0)).encode().unwrap();
        let at = position % payload.len();
        payload.truncate(at);
        let mut fold = ConfigFold::new();
        let cut = LogRecord {
            offset: Offset(0),
            payload,
        };
        let unreadable = matches!(fold.fold(&cut), Ok(FoldOutcome::Unreadable(_)));
        rejected_both && !damaged && unreadable && fold.current().version == 0
    }
    check(property as fn(Vec<u8>, usize, u8) -> bool);
    let valid = fold_of(&random_log(&[(7, 0)])).snapshot().unwrap();
    let text = String::from_utf8(valid.encode()).unwrap();
    let damaged = text.replacen("\"version\":1", "\"version\":2", 1);
    assert_eq!(
        Snapshot::decode(damaged.as_bytes()),
        Err(SnapshotError::WrongDigest)
    );
}
