//! One daemon's view of the quarantine.

use anvilgw_quarantine::record::{EndReport, KeyedRecord, Record, RecordKey, SUSPECTS_MAX};
use anvilgw_quarantine::table::{REPORTS_MAX, SUSPECTS_TOTAL_MAX};
use anvilgw_quarantine::{
    Admission, COOLDOWN, LostRequests, OBJECTION_TIME, PartKey, Quarantine, ServerStart, Suspect,
    Times, WorkspaceKey,
};
use std::time::Duration;

const BAD: PartKey = PartKey(1);
const SOUND: PartKey = PartKey(2);
const CLUB: WorkspaceKey = WorkspaceKey(10);
const SHOP: WorkspaceKey = WorkspaceKey(11);
/// Wall-clock time at the start of each test, in Unix milliseconds.
const START_MS: u64 = 1_000_000;

fn at(elapsed: Duration) -> Times {
    Times {
        uptime: elapsed,
        wall_ms: START_MS + elapsed.as_millis() as u64,
    }
}

fn suspect(part: PartKey, workspace: WorkspaceKey) -> Suspect {
    Suspect { part, workspace }
}

fn report(number: u32, server: u64, seen_at_ms: u64, suspects: Vec<Suspect>) -> KeyedRecord {
    KeyedRecord {
        key: RecordKey::End {
            server: ServerStart(server),
            reporter: 7,
            number,
        },
        record: Some(Record::End(EndReport {
            server: ServerStart(server),
            seen_at_ms,
            lost: 1,
            completed: 20,
            suspects,
        })),
    }
}

fn lost_requests(server: u64, suspects: Vec<Suspect>) -> LostRequests {
    LostRequests {
        server: ServerStart(server),
        count: 1,
        suspects,
    }
}

/// Returns a view that has read that five servers ended under a part, the last one at
/// [`START_MS`].
fn view_after_ends(part: PartKey) -> Quarantine {
    let mut view = Quarantine::new(1);
    for number in 0..5 {
        let seen_at_ms = START_MS - 800 + u64::from(number) * 200;
        let record = report(
            number,
            u64::from(number),
            seen_at_ms,
            vec![suspect(part, CLUB)],
        );
        view.on_record(record, u64::from(number), Duration::ZERO);
        view.on_read(u64::from(number) + 1);
    }
    view
}

/// Guards against sound parts that are refused before daemons that know them had time to say so, and
/// against crashing parts that are never refused.
#[test]
fn a_part_is_refused_after_the_time_for_objections() {
    let mut view = view_after_ends(BAD);
    let request = [suspect(SOUND, CLUB), suspect(BAD, CLUB)];
    assert_eq!(view.admit(&request, at(Duration::ZERO)), Admission::Allowed);
    let refused = view.admit(&request, at(OBJECTION_TIME));
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
    let other = [suspect(SOUND, CLUB)];
    assert_eq!(view.admit(&other, at(OBJECTION_TIME)), Admission::Allowed);
    let of_other_workspace = [suspect(BAD, SHOP)];
    let admission = view.admit(&of_other_workspace, at(OBJECTION_TIME));
    assert_eq!(admission, Admission::TrialDue(BAD), "another workspace");
}

/// Guards against a part that ends servers under one workspace and then as many under the next, and
/// against one workspace's evidence that holds up the requests of the others for long: one of them goes
/// at once, and its answer releases the part.
#[test]
fn a_part_of_another_workspace_is_tried_by_one_request_at_a_time() {
    const TRIAL_TIME: Duration = Duration::from_secs(5);
    let mut view = view_after_ends(BAD);
    view.admit(&[], at(Duration::ZERO));
    let request = [suspect(BAD, SHOP)];
    let now = at(OBJECTION_TIME);
    assert_eq!(view.admit(&request, now), Admission::TrialDue(BAD));
    let (claim, position) = view.claim_trial(BAD, now);
    assert!(view.on_claim_stored(&claim, position, position, now.uptime));
    let later = at(OBJECTION_TIME + Duration::from_secs(2));
    let refused = view.admit(&request, later);
    assert!(matches!(refused, Admission::Refused { retry_after } if retry_after < TRIAL_TIME));
    let mut answered = view.clone();
    answered.on_completed(&request, later.uptime);
    assert_eq!(answered.admit(&request, later), Admission::Allowed);

    for number in 0..2 {
        let at_ms = START_MS + 1_000 + u64::from(number) * 500;
        let end = report(20 + number, 20 + u64::from(number), at_ms, request.to_vec());
        view.on_record(end, 10 + u64::from(number), later.uptime);
    }
    let much_later = at(Duration::from_secs(10));
    let refused = view.admit(&request, much_later);
    let is_for_long = |retry_after| retry_after > TRIAL_TIME;
    assert!(
        matches!(refused, Admission::Refused { retry_after } if is_for_long(retry_after)),
        "{refused:?}"
    );
}

/// Guards against a daemon that sends requests with a quarantined part just after it has started.
#[test]
fn a_daemon_that_reads_older_evidence_refuses_at_once() {
    let mut view = view_after_ends(BAD);
    let later = at(Duration::from_secs(10));
    let refused = view.admit(&[suspect(BAD, CLUB)], later);
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
}

/// Guards against popular parts that stay suspected: a whole answer at any daemon withdraws the
/// evidence, for all daemons and for good.
#[test]
fn a_whole_answer_withdraws_the_evidence_against_a_part() {
    let mut witness = view_after_ends(SOUND);
    let mut other = view_after_ends(SOUND);
    let now = at(OBJECTION_TIME);
    witness.on_completed(&[suspect(SOUND, SHOP)], now.uptime);
    let statements = witness.outgoing(now);
    assert_eq!(statements.len(), 1, "one clearance: {statements:?}");
    let request = [suspect(SOUND, CLUB)];
    other.admit(&request, at(Duration::ZERO));
    assert!(matches!(
        other.admit(&request, now),
        Admission::Refused { .. }
    ));
    for statement in statements {
        other.on_record(statement, 5, now.uptime);
        other.on_read(6);
    }
    assert_eq!(other.admit(&request, now), Admission::Allowed);
    let much_later = at(Duration::from_secs(3_600));
    assert_eq!(other.admit(&request, much_later), Admission::Allowed);
}

/// Guards against evidence from before a whole answer that counts, together with new evidence,
/// against a part; and against clearances that also withdraw what came after them.
#[test]
fn a_clearance_concerns_earlier_reports_only() {
    let mut view = view_after_ends(BAD);
    let now = at(OBJECTION_TIME);
    let mut witness = view_after_ends(BAD);
    witness.on_completed(&[suspect(BAD, CLUB)], now.uptime);
    for statement in witness.outgoing(now) {
        view.on_record(statement, 5, now.uptime);
    }
    let mut admissions = Vec::new();
    for number in 6..11 {
        let seen_at_ms = now.wall_ms + u64::from(number) * 200;
        let record = report(
            number,
            u64::from(number),
            seen_at_ms,
            vec![suspect(BAD, CLUB)],
        );
        view.on_record(record, u64::from(number), Duration::ZERO);
        let later = at(Duration::from_secs(90 + u64::from(number)));
        let admission = view.admit(&[suspect(BAD, CLUB)], later);
        admissions.push(admission == Admission::Allowed);
    }
    assert_eq!(admissions, [true, true, true, true, false]);
}

struct RepeatCase {
    name: &'static str,
    /// Part of the request that lost its server.
    part: PartKey,
    /// Time since another server ended under [`BAD`].
    age: Duration,
    may_repeat: bool,
}

/// Guards against retries and resumed streams that end one more server, and against sound requests
/// that are not retried after the end of a server.
#[test]
fn a_request_that_lost_its_server_is_repeated_unless_its_part_is_suspected() {
    let cases = [
        RepeatCase {
            name: "suspected",
            part: BAD,
            age: Duration::from_secs(1),
            may_repeat: false,
        },
        RepeatCase {
            name: "suspected long ago",
            part: BAD,
            age: Duration::from_secs(60),
            may_repeat: true,
        },
        RepeatCase {
            name: "another part",
            part: SOUND,
            age: Duration::from_secs(1),
            may_repeat: true,
        },
    ];
    for case in cases {
        let mut view = Quarantine::new(1);
        let lost = lost_requests(1, vec![suspect(BAD, CLUB)]);
        view.on_server_ended(&lost, at(Duration::ZERO));
        let may_repeat = view.may_repeat(&[suspect(case.part, CLUB)], at(case.age));
        assert_eq!(may_repeat, case.may_repeat, "{}", case.name);
    }
}

/// Guards against a part that stays refused for ever, or is tried by every daemon, or as often as
/// before after a trial that ended a server.
#[test]
fn trials_are_claimed_by_one_daemon_and_become_rarer() {
    let request = [suspect(BAD, CLUB)];
    let mut views = [view_after_ends(BAD), view_after_ends(BAD)];
    let before = at(COOLDOWN - Duration::from_secs(1));
    for view in &mut views {
        let admission = view.admit(&request, before);
        let retry_after = Duration::from_secs(1);
        assert_eq!(admission, Admission::Refused { retry_after });
    }
    let due = at(COOLDOWN);
    let claims = views.each_mut().map(|view| {
        assert_eq!(view.admit(&request, due), Admission::TrialDue(BAD));
        view.claim_trial(BAD, due)
    });
    assert_eq!(
        claims[0].1, claims[1].1,
        "only one append at this offset succeeds"
    );
    let [first, second] = &mut views;
    let (claim, at_end) = &claims[0];
    assert!(first.on_claim_stored(claim, *at_end, *at_end, due.uptime));
    second.on_record(claims[0].0.clone(), claims[0].1.offset, due.uptime);
    for view in [first, second] {
        let admission = view.admit(&request, at(COOLDOWN * 3 - Duration::from_secs(1)));
        let retry_after = Duration::from_secs(1);
        assert_eq!(admission, Admission::Refused { retry_after });
        let admission = view.admit(&request, at(COOLDOWN * 3));
        assert_eq!(admission, Admission::TrialDue(BAD));
    }
}

/// Guards against a caller that hides a part among many made-up ones, or fills the evidence with
/// them, so that the parts of another workspace are left out.
#[test]
fn made_up_parts_neither_fill_reports_nor_hide_others() {
    let mut view = view_after_ends(BAD);
    view.admit(&[], at(Duration::ZERO));
    let made_up = (0..5_000).map(|number| suspect(PartKey(1_000 + number), CLUB));
    let mut suspects: Vec<Suspect> = made_up.collect();
    suspects.push(suspect(BAD, CLUB));
    suspects.push(suspect(SOUND, SHOP));
    view.on_server_ended(&lost_requests(9, suspects), at(Duration::ZERO));
    let own = view.outgoing(at(Duration::ZERO));
    let reported = own.iter().find_map(|record| match &record.record {
        Some(Record::End(report)) => Some(&report.suspects),
        _ => None,
    });
    let reported = reported.expect("a report");
    assert_eq!(reported.len(), SUSPECTS_MAX);
    assert!(reported.contains(&suspect(BAD, CLUB)), "a known suspect");
    assert!(
        reported.contains(&suspect(SOUND, SHOP)),
        "of another workspace"
    );
}

/// Guards against evidence that grows without bound, and against one workspace's evidence that
/// pushes out another's.
#[test]
fn evidence_is_bounded_and_evicted_from_the_workspace_that_has_most() {
    let mut view = view_after_ends(BAD);
    for number in 5..2_000_u32 {
        let parts = (0..200).map(|part| PartKey(u64::from(number) * 1_000 + part));
        let suspects = parts.map(|part| suspect(part, SHOP)).collect();
        let record = report(number, u64::from(number), START_MS, suspects);
        view.on_record(record, u64::from(number), Duration::ZERO);
    }
    let table = view.table();
    assert!(table.report_count() <= REPORTS_MAX);
    let suspects = table.evidence(START_MS);
    let total: usize = suspects.iter().map(|report| report.suspects.len()).sum();
    assert!(total <= SUSPECTS_TOTAL_MAX, "{total} suspects");
    let refused = view.admit(&[suspect(BAD, CLUB)], at(Duration::from_secs(5)));
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
    let obsolete = view.table().obsolete_keys(START_MS, usize::MAX);
    assert!(
        obsolete.len() > 1_000,
        "evicted records are removed from the log"
    );
}

/// Guards against records that daemons of another version, or broken ones, write.
#[test]
fn records_survive_their_encoding_and_others_are_refused() {
    let record = report(3, 9, START_MS, vec![suspect(BAD, CLUB)]);
    let keyed = record.encode().expect("encoding");
    assert_eq!(KeyedRecord::decode(&keyed).expect("record"), record);
    let content = record.record.expect("content");
    let bytes = content.encode().expect("encoding");
    let key: RecordKey = record.key.to_string().parse().expect("key");
    assert_eq!(key, record.key);
    assert_eq!(Record::decode(key, &bytes).expect("record"), content);
    for key in ["", "end/1", "end/x/1/2", "cleared/", "other/1"] {
        assert!(key.parse::<RecordKey>().is_err(), "{key:?}");
    }
    assert!(Record::decode(record.key, b"\xff\xff\xff\xff").is_err());
}
