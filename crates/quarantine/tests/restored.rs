//! One daemon's view of the quarantine when the metadata store was restored from an older copy.

use anvilgw_core::log_position::{LogPosition, StoreEpoch};
use anvilgw_quarantine::record::{
    Clearance, EndReport, Issued, KeyedRecord, Record, RecordKey, Trial,
};
use anvilgw_quarantine::{
    Admission, COOLDOWN, LostRequests, PartKey, Quarantine, ServerStart, Suspect, Times,
    WorkspaceKey,
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
        view.on_listing([], position(case.epoch, 0), Duration::ZERO);
        let clearance = clearance(case.before_offset, case.issued);
        view.on_record(clearance, case.offset, Duration::ZERO);
        for (offset, report) in (case.first_report..).zip(reports(START_MS)) {
            view.on_record(report, offset, Duration::ZERO);
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

/// Number of daemons in the tests' fleet.
const FLEET_SIZE: u64 = 12;
/// Time between two rounds in which all daemons read and write.
const ROUND_TIME: Duration = Duration::from_millis(100);

/// A log of evidence with the daemons that read it.
struct Fleet {
    epoch: u64,
    log: Vec<KeyedRecord>,
    views: Vec<Quarantine>,
    now: Duration,
    appends: usize,
}

impl Fleet {
    /// Creates daemons, the first of which has reported as many ends as a quarantine takes. All have
    /// read the reports.
    fn with_reports() -> Self {
        let views = (0..FLEET_SIZE).map(|index| Quarantine::new(index * 0x1234_5678_9abc));
        let mut fleet = Self {
            epoch: 0,
            log: Vec::new(),
            views: views.collect(),
            now: Duration::ZERO,
            appends: 0,
        };
        for server in 0..ENDS {
            fleet.now += Duration::from_millis(END_PAUSE_MS);
            fleet.report_end(server);
        }
        fleet.run(2);
        assert_eq!(fleet.log.len(), ENDS as usize);
        fleet
    }

    /// Lets the first daemon notice the end of a server.
    fn report_end(&mut self, server: u64) {
        let lost = LostRequests {
            server: ServerStart(server),
            count: 1,
            suspects: vec![Suspect {
                part: BAD,
                workspace: SHOP,
            }],
        };
        self.views[0].on_server_ended(&lost, at(self.now));
    }

    /// Restores the log from a copy with `length` records.
    fn restore(&mut self, length: usize) {
        self.log.truncate(length);
        self.epoch += 1;
    }

    /// Lets all daemons read and write in several rounds.
    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now += ROUND_TIME;
            for index in 0..self.views.len() {
                self.read(index);
                self.write(index);
            }
        }
    }

    fn read(&mut self, index: usize) {
        let view = &mut self.views[index];
        let next = view.table().next();
        if next.epoch != StoreEpoch(self.epoch) {
            let listed = self.log.iter().enumerate().filter(|(index, record)| {
                let mut later = self.log[index + 1..].iter();
                record.record.is_some() && !later.any(|later| later.key == record.key)
            });
            let listed = listed.map(|(offset, record)| (record.clone(), offset as u64));
            let end = position(self.epoch, self.log.len() as u64);
            view.on_listing(listed.collect::<Vec<_>>(), end, self.now);
            return;
        }
        for (offset, record) in self.log.iter().enumerate().skip(next.offset as usize) {
            view.on_record(record.clone(), offset as u64, self.now);
            view.on_read(offset as u64 + 1);
        }
    }

    fn write(&mut self, index: usize) {
        let view = &mut self.views[index];
        view.set_fleet_size(FLEET_SIZE);
        let outgoing = view.outgoing(at(self.now));
        self.appends += outgoing.len();
        view.on_appended(&outgoing, StoreEpoch(self.epoch));
        self.log.extend(outgoing);
    }

    /// Returns whether a daemon that starts now and reads the log refuses requests with the part.
    fn started_daemon_refuses(&mut self) -> bool {
        self.views.push(Quarantine::new(u64::MAX));
        self.read(self.views.len() - 1);
        let times = at(self.now + KNOWN_AFTER);
        self.views
            .pop()
            .is_some_and(|mut view| refuses(&mut view, times))
    }
}

/// Rounds after which lost records are stored again although the daemon that wrote them has ended.
const ROUNDS: usize = 40;

struct RestoreCase {
    name: &'static str,
    /// Number of records that each of the restored copies contains.
    copies: &'static [usize],
    /// Number of records that are written after the restore, before a daemon reads on.
    other_records: u64,
    /// Whether the daemon that had reported the ends is gone.
    reporter_ends: bool,
}

const RESTORES: [RestoreCase; 7] = [
    RestoreCase {
        name: "an empty copy",
        copies: &[0],
        other_records: 0,
        reporter_ends: false,
    },
    RestoreCase {
        name: "an empty copy, the reporter ended",
        copies: &[0],
        other_records: 0,
        reporter_ends: true,
    },
    RestoreCase {
        name: "some reports are left",
        copies: &[3],
        other_records: 0,
        reporter_ends: true,
    },
    RestoreCase {
        name: "the log ends at the offset read on from",
        copies: &[3],
        other_records: ENDS - 3,
        reporter_ends: true,
    },
    RestoreCase {
        name: "the log ends beyond the offset read on from",
        copies: &[3],
        other_records: 2 * ENDS,
        reporter_ends: true,
    },
    RestoreCase {
        name: "two restores in a row",
        copies: &[3, 1],
        other_records: 0,
        reporter_ends: true,
    },
    RestoreCase {
        name: "nothing was lost",
        copies: &[ENDS as usize],
        other_records: 0,
        reporter_ends: true,
    },
];

/// Guards against evidence that is forgotten because the restored store has lost it: a part that
/// crashes servers reached them again. Daemons that start afterwards have to learn of it too.
#[test]
fn lost_reports_stay_in_force_and_are_stored_again() {
    for case in &RESTORES {
        let mut fleet = Fleet::with_reports();
        if case.reporter_ends {
            fleet.views.remove(0);
        }
        for copy in case.copies {
            fleet.restore(*copy);
            for other in 0..case.other_records {
                let mut unrelated = report(100 + other, START_MS);
                unrelated.record = None;
                fleet.log.push(unrelated);
            }
            fleet.run(1);
            let times = at(fleet.now + KNOWN_AFTER);
            for view in &mut fleet.views {
                assert!(refuses(view, times), "{}", case.name);
            }
        }
        fleet.run(ROUNDS);
        assert!(fleet.started_daemon_refuses(), "{}", case.name);
    }
}

/// Guards against all daemons of a fleet that store the same lost records.
#[test]
fn few_daemons_store_lost_reports_again() {
    let mut fleet = Fleet::with_reports();
    fleet.views.remove(0);
    fleet.restore(0);
    fleet.appends = 0;
    fleet.run(ROUNDS);
    let writers = fleet.appends as f64 / ENDS as f64;
    assert!((1.0..=4.0).contains(&writers), "{writers} appends a record");
    assert!(fleet.views.iter().all(|view| !view.awaits_records()));
}

/// Guards against removed reports that a restore brings back: from the older copy, or from a daemon
/// that had not read of the removal.
#[test]
fn removed_reports_do_not_come_back() {
    let removals = |fleet: &Fleet| -> Vec<KeyedRecord> {
        let keys = fleet.log.iter().map(|record| record.key);
        keys.map(|key| KeyedRecord { key, record: None }).collect()
    };
    // The copy is older than the removals.
    let mut fleet = Fleet::with_reports();
    let removals_read = removals(&fleet);
    fleet.log.extend(removals_read);
    fleet.run(1);
    fleet.restore(ENDS as usize);
    fleet.run(ROUNDS);
    assert!(!fleet.started_daemon_refuses(), "an older copy");
    let times = at(fleet.now + KNOWN_AFTER);
    assert!(!refuses(&mut fleet.views[1], times), "an older copy");
    // A daemon has not read for minutes, in which the reports were removed.
    let mut fleet = Fleet::with_reports();
    let removals_unread = removals(&fleet);
    fleet.log.extend(removals_unread);
    fleet.restore(2 * ENDS as usize);
    fleet.now += Duration::from_secs(180);
    fleet.run(ROUNDS);
    assert!(!fleet.started_daemon_refuses(), "a daemon that read late");
}

struct AppendCase {
    name: &'static str,
    /// Epoch in which the store acknowledges the append, or `None` if no answer comes.
    acknowledged_in: Option<u64>,
    /// Whether the acknowledgement arrives after the daemon has listed the log in the new epoch.
    is_late: bool,
    /// Whether the append is carried out in the new epoch.
    is_carried_out: bool,
}

const APPENDS: [AppendCase; 5] = [
    AppendCase {
        name: "acknowledged and lost before it was read",
        acknowledged_in: Some(0),
        is_late: false,
        is_carried_out: false,
    },
    AppendCase {
        name: "lost, acknowledged after the listing",
        acknowledged_in: Some(0),
        is_late: true,
        is_carried_out: false,
    },
    AppendCase {
        name: "no answer",
        acknowledged_in: None,
        is_late: false,
        is_carried_out: false,
    },
    AppendCase {
        name: "no answer, carried out in the new epoch",
        acknowledged_in: None,
        is_late: true,
        is_carried_out: true,
    },
    AppendCase {
        name: "acknowledged in the new epoch before it was listed",
        acknowledged_in: Some(1),
        is_late: false,
        is_carried_out: true,
    },
];

/// Guards against reports that no daemon stores again because their append was acknowledged before
/// the store lost them, and against late appends that change anything.
#[test]
fn an_append_across_a_restore_is_repeated() {
    for case in &APPENDS {
        let mut fleet = Fleet::with_reports();
        fleet.views.truncate(1);
        fleet.report_end(ENDS);
        let sent = fleet.views[0].outgoing(at(fleet.now));
        assert_eq!(sent.len(), 1, "{}", case.name);
        fleet.restore(ENDS as usize);
        if case.is_late {
            fleet.read(0);
        }
        if let Some(epoch) = case.acknowledged_in {
            fleet.views[0].on_appended(&sent, StoreEpoch(epoch));
        }
        if case.is_carried_out {
            fleet.log.extend(sent.iter().cloned());
        }
        fleet.run(ROUNDS);
        let stored = fleet.log.iter().filter(|record| **record == sent[0]);
        assert!(stored.count() >= 1, "{}", case.name);
        let reports = fleet.views[0].table().report_count();
        assert_eq!(reports, ENDS as usize + 1, "{}", case.name);
        assert!(
            fleet.views[0].outgoing(at(fleet.now)).is_empty(),
            "{}",
            case.name
        );
    }
}

/// Guards against clearances and trials that are undone by an older copy, so that a sound part is
/// refused, or a part is tried more often than it should be.
#[test]
fn lost_clearances_and_trials_stay_in_force_and_are_stored_again() {
    let mut fleet = Fleet::with_reports();
    let before_offset = fleet.log.len() as u64;
    let issued_at_ms = at(fleet.now).wall_ms;
    fleet
        .log
        .push(clearance(before_offset, issued(0, issued_at_ms)));
    fleet.run(1);
    fleet.restore(ENDS as usize);
    fleet.run(1);
    let times = at(fleet.now + KNOWN_AFTER);
    assert!(!refuses(&mut fleet.views[3], times), "cleared");
    fleet.run(ROUNDS);
    assert!(!fleet.started_daemon_refuses(), "cleared");

    let mut fleet = Fleet::with_reports();
    let trial = Trial {
        count: 3,
        at_ms: at(fleet.now).wall_ms,
    };
    fleet.log.push(KeyedRecord {
        key: RecordKey::Trial(BAD),
        record: Some(Record::Trial(trial)),
    });
    fleet.run(1);
    fleet.restore(ENDS as usize);
    fleet.run(ROUNDS);
    fleet.views.push(Quarantine::new(u64::MAX));
    fleet.run(1);
    for view in &fleet.views {
        assert_eq!(view.table().trial(BAD), Some(trial));
    }
}

struct ClaimCase {
    name: &'static str,
    /// Whether the daemon lists the log in the new epoch before it gets the answer.
    is_listed: bool,
    /// Where the claim was stored, compared with the position at which the log had to end.
    stored: LogPosition,
    is_claimed: bool,
}

/// Guards against two trials of one part: the restored store accepts a claim at an offset of the
/// earlier epoch although it contains another daemon's claim, or loses an accepted one.
#[test]
fn a_claim_of_a_trial_counts_in_one_epoch_only() {
    let cases = [
        ClaimCase {
            name: "no restore",
            is_listed: false,
            stored: position(0, ENDS),
            is_claimed: true,
        },
        ClaimCase {
            name: "accepted in the new epoch",
            is_listed: false,
            stored: position(1, ENDS),
            is_claimed: false,
        },
        ClaimCase {
            name: "accepted in the earlier epoch, listed in the new one",
            is_listed: true,
            stored: position(0, ENDS),
            is_claimed: false,
        },
        ClaimCase {
            name: "accepted in the new epoch, which is listed",
            is_listed: true,
            stored: position(1, ENDS),
            is_claimed: false,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::with_reports();
        let now = fleet.now + COOLDOWN;
        let view = &mut fleet.views[1];
        let (claim, at_end) = view.claim_trial(BAD, at(now));
        assert_eq!(at_end, position(0, ENDS), "{}", case.name);
        if case.is_listed {
            view.on_listing([], position(1, 0), now);
        }
        let is_claimed = view.on_claim_stored(&claim, at_end, case.stored, now);
        assert_eq!(is_claimed, case.is_claimed, "{}", case.name);
        assert_eq!(
            view.table().trial(BAD).is_some(),
            is_claimed,
            "{}",
            case.name
        );
    }
}
