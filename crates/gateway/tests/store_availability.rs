//! For how long servers without an entry are used after a daemon could not read the servers' table.

use anvilgw_gateway::store_availability::{
    EXPIRED_ENTRY_GRACE, ServedStatement, StoreAvailability,
};
use std::time::Duration;

/// Time between two reads of a daemon.
const READ_PAUSE_MS: u64 = 750;
/// Time at which the daemon reads the table again after its outage.
const REGAINED_MS: u64 = 20_000;
const END_MS: u64 = 23_000;

/// A time in which a daemon could not read the table.
struct Outage {
    from_ms: u64,
    until_ms: u64,
}

const fn away(from_ms: u64, until_ms: u64) -> Outage {
    Outage { from_ms, until_ms }
}

/// A daemon that regains the table, and others that it asks.
struct Case {
    name: &'static str,
    /// When the daemon read the table for the last time before its outage.
    known_until_ms: u64,
    others_outages_ms: &'static [&'static [Outage]],
    /// When the first of the others started.
    others_started_ms: u64,
    /// When the daemon learns what the others know.
    asked_ms: u64,
    /// When entries that are missing count as removed.
    expected_grace_end_ms: u64,
}

const OWN: Case = Case {
    name: "only this daemon could not read",
    known_until_ms: 14_250,
    others_outages_ms: &[&[]],
    others_started_ms: 0,
    asked_ms: REGAINED_MS + 100,
    expected_grace_end_ms: 0,
};

const CASES: [Case; 9] = [
    OWN,
    Case {
        name: "nobody could read",
        others_outages_ms: &[&[away(15_100, 19_900)]],
        expected_grace_end_ms: 19_900 + 2_000,
        ..OWN
    },
    Case {
        name: "others could read long before this daemon",
        others_outages_ms: &[&[away(15_100, 16_000)]],
        // Their first read after the outage was at 16,500.
        expected_grace_end_ms: 16_500 + 2_000,
        ..OWN
    },
    Case {
        name: "one of the others could read",
        others_outages_ms: &[&[away(15_100, 19_900)], &[], &[away(15_100, 21_000)]],
        ..OWN
    },
    Case {
        name: "the others could read in turn",
        others_outages_ms: &[&[away(14_000, 17_000)], &[away(18_500, 19_900)]],
        ..OWN
    },
    Case {
        name: "between the turns of the others nobody could read",
        others_outages_ms: &[&[away(13_000, 18_000)], &[away(16_000, 19_900)]],
        // Two reads of the first one, at 18,000 and before 13,000.
        expected_grace_end_ms: 18_000 + 2_000,
        ..OWN
    },
    Case {
        name: "a single read of the others failed",
        others_outages_ms: &[&[away(16_400, 16_600)]],
        expected_grace_end_ms: 17_250 + 2_000,
        ..OWN
    },
    Case {
        name: "the others started during the outage",
        others_started_ms: 18_000,
        expected_grace_end_ms: 18_000 + 2_000,
        ..OWN
    },
    Case {
        name: "the others cannot be asked",
        others_outages_ms: &[],
        expected_grace_end_ms: REGAINED_MS + 2_000,
        ..OWN
    },
];

const fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Lets a daemon read the table until `now_ms`, and returns what it knows then.
fn reader(outages: &[Outage], started_ms: u64, now_ms: u64) -> StoreAvailability {
    let mut availability = StoreAvailability::default();
    for at_ms in (started_ms..=now_ms).step_by(READ_PAUSE_MS as usize) {
        let is_away = |outage: &Outage| (outage.from_ms..outage.until_ms).contains(&at_ms);
        if outages.iter().any(is_away) {
            availability.on_failure();
        } else {
            availability.on_read(ms(at_ms));
        }
    }
    availability
}

impl Case {
    /// Returns the statements of the others at a time.
    fn statements(&self, now_ms: u64) -> Vec<ServedStatement> {
        let others = self.others_outages_ms.iter();
        let readers = others.map(|outages| reader(outages, self.others_started_ms, now_ms));
        readers
            .filter_map(|reader| reader.statement(ms(now_ms)))
            .collect()
    }

    /// Returns the daemon after it has regained the table and asked the others.
    fn regained(&self) -> StoreAvailability {
        let mut availability = reader(&[], 0, self.known_until_ms);
        availability.on_failure();
        availability.on_read(ms(REGAINED_MS));
        availability.on_regained(ms(self.known_until_ms), ms(REGAINED_MS));
        for statement in self.statements(self.asked_ms) {
            availability.on_statement(statement, ms(self.asked_ms), ms(self.asked_ms));
        }
        availability
    }
}

/// Guards against requests to servers that left while only this daemon could not read the table,
/// and against running servers without requests whose entries expired while nobody could.
#[test]
fn expired_entries_are_used_as_long_as_the_store_may_have_been_away() {
    for case in CASES {
        let now = ms(case.asked_ms);
        let grace_end = now + case.regained().grace_left(now);
        let expected = ms(case.expected_grace_end_ms).max(now);
        // The others read at intervals, so they notice the end of an outage later.
        let late_by = grace_end.saturating_sub(expected);
        assert!(grace_end >= expected, "{}: {grace_end:?}", case.name);
        assert!(late_by < ms(READ_PAUSE_MS), "{}: {grace_end:?}", case.name);
    }
}

/// Guards against a grace that returns after the fleet has ruled it out, for instance with the
/// statement of a daemon that could not read either.
#[test]
fn later_statements_never_extend_the_grace() {
    let mut availability = OWN.regained();
    let other = reader(&[away(14_000, 19_000)], 0, END_MS);
    for at_ms in (REGAINED_MS..END_MS).step_by(100) {
        if let Some(statement) = other.statement(ms(END_MS)) {
            availability.on_statement(statement, ms(at_ms), ms(at_ms));
        }
        availability.on_read(ms(at_ms));
        assert_eq!(
            availability.grace_left(ms(at_ms)),
            Duration::ZERO,
            "{at_ms} ms"
        );
    }
}

/// Guards against the loss of entries that a restored store lacks: all daemons read it all the while.
#[test]
fn statements_do_not_concern_entries_that_a_restored_store_has_lost() {
    let mut availability = reader(&[], 0, REGAINED_MS);
    availability.on_restored(ms(REGAINED_MS));
    for statement in OWN.statements(REGAINED_MS) {
        availability.on_statement(statement, ms(REGAINED_MS), ms(REGAINED_MS));
    }
    assert_eq!(
        availability.grace_left(ms(REGAINED_MS)),
        EXPIRED_ENTRY_GRACE
    );
}

/// Guards against a store that counts as available while it held a read back: only its answer shows
/// that it is.
#[test]
fn a_read_that_was_held_back_does_not_show_that_the_store_was_available() {
    const KNOWN_UNTIL_MS: u64 = 15_000;
    const ANSWERED_MS: u64 = 17_500;
    let mut availability = reader(&[], 0, KNOWN_UNTIL_MS);
    availability.on_read(ms(ANSWERED_MS));
    availability.on_regained(ms(KNOWN_UNTIL_MS), ms(ANSWERED_MS));
    assert_eq!(
        availability.grace_left(ms(ANSWERED_MS)),
        EXPIRED_ENTRY_GRACE
    );
}
