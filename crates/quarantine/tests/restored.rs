//! One daemon's view of the quarantine when the metadata store was restored from an older copy.

use anvilgw_core::log_position::{LogPosition, StoreEpoch};
use anvilgw_quarantine::record::{Clearance, EndReport, Issued, KeyedRecord, Record, RecordKey};
use anvilgw_quarantine::{
    Admission, PartKey, Quarantine, ServerStart, Suspect, Times, WorkspaceKey,
};
use std::time::Duration;

const BAD: PartKey = PartKey(1);
const SHOP: WorkspaceKey = WorkspaceKey(11);
/// Number of ends from which a part is quarantined.
const ENDS: u64 = 5;
/// Wall-clock time at the start of each test, in Unix milliseconds.
const START_MS: u64 = 1_000_000;
/// Time between two ends.
const END_PAUSE_MS: u64 = 200;

fn at(elapsed: Duration) -> Times {
    Times {
        uptime: elapsed,
        wall_ms: START_MS + elapsed.as_millis() as u64,
    }
}

fn position(epoch: u64, offset: u64) -> LogPosition {
    LogPosition {
        epoch: StoreEpoch(epoch),
        offset,
    }
}

/// Returns the report of the end of a server under the part [`BAD`].
fn report(server: u64, seen_at_ms: u64) -> KeyedRecord {
    KeyedRecord {
        key: RecordKey::End {
            server: ServerStart(server),
            reporter: 7,
            number: server as u32,
        },
        record: Some(Record::End(EndReport {
            server: ServerStart(server),
            seen_at_ms,
            lost: 1,
            completed: 20,
            suspects: vec![Suspect {
                part: BAD,
                workspace: SHOP,
            }],
        })),
    }
}

/// Returns the reports of as many ends as a quarantine takes, the first one at `first_ms`.
fn reports(first_ms: u64) -> Vec<KeyedRecord> {
    let ends = (0..ENDS).map(|end| report(end, first_ms + end * END_PAUSE_MS));
    ends.collect()
}

fn clearance(before_offset: u64, issued: Option<Issued>) -> KeyedRecord {
    KeyedRecord {
        key: RecordKey::Cleared(BAD),
        record: Some(Record::Cleared(Clearance {
            before_offset,
            issued,
        })),
    }
}

/// Returns whether a view refuses requests with the part [`BAD`] at a time.
fn refuses(view: &mut Quarantine, times: Times) -> bool {
    let suspect = Suspect {
        part: BAD,
        workspace: SHOP,
    };
    matches!(view.admit(&[suspect], times), Admission::Refused { .. })
}

/// Time after which the last of the ends that begin at [`START_MS`] counts.
const KNOWN_AFTER: Duration = Duration::from_secs(4);

struct ClearanceCase {
    name: &'static str,
    /// Epoch of the log in which it is read.
    epoch: u64,
    before_offset: u64,
    issued: Option<Issued>,
    /// Offset of the clearance.
    offset: u64,
    /// Offset of the first of the reports.
    first_report: u64,
    refuses: bool,
}

const fn issued(epoch: u64, at_ms: u64) -> Option<Issued> {
    Some(Issued {
        epoch: StoreEpoch(epoch),
        at_ms,
    })
}

const CLEARANCES: [ClearanceCase; 7] = [
    ClearanceCase {
        name: "of the same epoch, after the reports",
        epoch: 1,
        before_offset: 10,
        issued: issued(1, START_MS),
        offset: 10,
        first_report: 2,
        refuses: false,
    },
    ClearanceCase {
        name: "of the same epoch, before the reports",
        epoch: 1,
        before_offset: 2,
        issued: issued(1, START_MS + 60_000),
        offset: 10,
        first_report: 2,
        refuses: true,
    },
    ClearanceCase {
        name: "of an earlier epoch with a high offset, before the reports were seen",
        epoch: 1,
        before_offset: 100,
        issued: issued(0, START_MS - 1),
        offset: 10,
        first_report: 2,
        refuses: true,
    },
    ClearanceCase {
        name: "of an earlier epoch, after the reports were seen",
        epoch: 1,
        before_offset: 1,
        issued: issued(0, START_MS + 2_000),
        offset: 10,
        first_report: 20,
        refuses: false,
    },
    ClearanceCase {
        name: "of an earlier release, before the reports",
        epoch: 1,
        before_offset: 100,
        issued: None,
        offset: 10,
        first_report: 11,
        refuses: true,
    },
    ClearanceCase {
        name: "of an earlier release, after the reports",
        epoch: 1,
        before_offset: 9,
        issued: None,
        offset: 10,
        first_report: 2,
        refuses: false,
    },
    ClearanceCase {
        name: "of an earlier release, the store states no epoch",
        epoch: 0,
        before_offset: 9,
        issued: None,
        offset: 10,
        first_report: 2,
        refuses: false,
    },
];

/// Guards against a clearance whose offset is of an earlier epoch: it also withdrew reports that the
/// restored store has assigned lower offsets, so that a crashing part went on reaching servers.
#[test]
fn a_clearance_does_not_concern_reports_of_later_epochs() {
    for case in CLEARANCES {
        let mut view = Quarantine::new(1);
        view.on_listing([], position(case.epoch, 0));
        view.on_record(clearance(case.before_offset, case.issued), case.offset);
        for (offset, report) in (case.first_report..).zip(reports(START_MS)) {
            view.on_record(report, offset);
        }
        let is_refused = refuses(&mut view, at(KNOWN_AFTER));
        assert_eq!(is_refused, case.refuses, "{}", case.name);
    }
}

/// Guards against clearances that earlier releases cannot read, or that cannot be read from them.
#[test]
fn clearances_of_earlier_releases_are_decoded() {
    let key = RecordKey::Cleared(BAD);
    let dated = clearance(300, issued(4, START_MS)).record.expect("content");
    let bytes = dated.encode().expect("encoding");
    assert_eq!(Record::decode(key, &bytes).expect("record"), dated);
    let config = bincode::config::standard();
    let undated = bincode::encode_to_vec(300_u64, config).expect("encoding");
    assert!(bytes.starts_with(&undated), "read by earlier releases");
    let expected = clearance(300, None).record.expect("content");
    assert_eq!(Record::decode(key, &undated).expect("record"), expected);
}
