//! Tests of the answers that broke off until their server is polled.

use anvilgw_quarantine::pending_ends::{
    PENDING_TIME, PendingEnds, SUSPECTS_MAX, SUSPECTS_PER_WORKSPACE_MAX,
};
use anvilgw_quarantine::{PartKey, Suspect, WorkspaceKey};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn suspects(workspace: u64, count: usize) -> Vec<Suspect> {
    (0..count as u64)
        .map(|part| Suspect {
            part: PartKey(part),
            workspace: WorkspaceKey(workspace),
        })
        .collect()
}

/// Guards against memory that grows with each answer that breaks off while a server is not polled,
/// and against a workspace that leaves no room for the others.
#[test]
fn suspects_are_bounded_by_workspace_and_in_total() {
    const SERVERS: u32 = 40;
    const PARTS: usize = 3_000;
    let mut ends: PendingEnds<u32> = PendingEnds::default();
    for server in 0..SERVERS {
        for _ in 0..3 {
            ends.on_broken(server, 1, &suspects(1, PARTS), NOW);
        }
        ends.on_broken(server, 1, &suspects(2, 1), NOW);
    }
    let taken: Vec<_> = (0..SERVERS)
        .map(|server| ends.take(&server, NOW, NOW).unwrap())
        .collect();
    assert!(taken.iter().all(|end| end.count == 4));
    assert_eq!(taken[0].suspects.len(), SUSPECTS_PER_WORKSPACE_MAX + 1);
    let all: usize = taken.iter().map(|end| end.suspects.len()).sum();
    assert_eq!(all, SUSPECTS_MAX);
}

struct Poll {
    name: &'static str,
    asked_at: Duration,
    now: Duration,
    is_taken: bool,
}

/// Guards against a poll from before the break that counts for it, and against a break of long ago
/// that is attributed to a later end.
#[test]
fn polls_take_only_recent_breaks_from_before_them() {
    let cases = [
        Poll {
            name: "poll began before the break",
            asked_at: NOW - Duration::from_millis(1),
            now: NOW,
            is_taken: false,
        },
        Poll {
            name: "poll began after the break",
            asked_at: NOW,
            now: NOW,
            is_taken: true,
        },
        Poll {
            name: "break of long ago",
            asked_at: NOW + PENDING_TIME,
            now: NOW + PENDING_TIME,
            is_taken: false,
        },
    ];
    for case in cases {
        let mut ends = PendingEnds::default();
        ends.on_broken(0, 1, &suspects(1, 1), NOW);
        let taken = ends.take(&0, case.asked_at, case.now);
        assert_eq!(taken.is_some(), case.is_taken, "{}", case.name);
    }
}
