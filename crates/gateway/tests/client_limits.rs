//! Tests of the limits on clients that are not controlled. The load is what was observed: many bodies
//! at once, most of which stop short of their end while the connection stays open.

use anvilgw_gateway::body_memory::closing::{WaitingConnection, first_to_close};
use anvilgw_gateway::body_memory::{BodyMemory, CloseReason, GroupKey};
use anvilgw_gateway::connection_limit::{
    Admission, ConnectionLimit, client_connections_max, internal_connections_max,
};
use futures_util::FutureExt;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

const MB: u64 = 1024 * 1024;
const UNREAD_MAX: Duration = Duration::from_secs(16);

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, number).into()
}

struct ClosingCase {
    name: &'static str,
    /// Bytes held, milliseconds of age and of idleness, and bytes moved, for each connection.
    connections: &'static [(u64, u64, u64, u64)],
    closed: Option<usize>,
}

/// Guards against clients with progress that are closed for those without any, and against a choice
/// that frees little.
#[test]
fn the_connection_with_most_memory_and_least_progress_is_closed_first() {
    let cases = [
        ClosingCase {
            name: "all make progress",
            connections: &[(4 * MB, 3000, 10, 4 * MB), (MB, 900, 10, MB)],
            closed: None,
        },
        ClosingCase {
            name: "one has stopped",
            connections: &[(4 * MB, 3000, 10, 4 * MB), (MB, 3000, 2000, MB)],
            closed: Some(1),
        },
        ClosingCase {
            name: "of those that have stopped, the one that holds most",
            connections: &[(MB, 3000, 2000, MB / 2), (4 * MB, 3000, 2000, MB / 2)],
            closed: Some(1),
        },
        ClosingCase {
            name: "of those that hold the same, the oldest",
            connections: &[(MB, 9000, 2000, MB), (MB, 3000, 2000, MB)],
            closed: Some(0),
        },
        ClosingCase {
            name: "a byte now and then is no progress",
            connections: &[(MB, 60_000, 100, 60), (MB, 3000, 100, MB)],
            closed: Some(0),
        },
        ClosingCase {
            name: "new connections are spared",
            connections: &[(12 * 1024, 500, 500, 0)],
            closed: None,
        },
    ];
    for case in cases {
        let connections = case.connections.iter().enumerate().map(
            |(index, &(held_bytes, age_ms, idle_ms, moved_bytes))| {
                let connection = WaitingConnection {
                    held_bytes,
                    age: Duration::from_millis(age_ms),
                    idle: Duration::from_millis(idle_ms),
                    moved_bytes,
                };
                (index, connection)
            },
        );
        assert_eq!(first_to_close(connections), case.closed, "{}", case.name);
    }
}

/// Guards against a load balancer with few addresses that is refused while there is room.
#[test]
fn connections_of_one_address_are_bounded_only_when_room_is_scarce() {
    struct Case {
        name: &'static str,
        /// Open connections by the number of their address.
        open: &'static [(u8, usize)],
        admission: Admission,
    }
    let cases = [
        Case {
            name: "one address below the scarce part",
            open: &[(1, 74)],
            admission: Admission::Accept,
        },
        Case {
            name: "one address when room is scarce",
            open: &[(1, 75)],
            admission: Admission::CloseOtherOfAddress,
        },
        Case {
            name: "another address has most",
            open: &[(2, 60), (1, 30)],
            admission: Admission::Accept,
        },
        Case {
            name: "no room",
            open: &[(2, 60), (1, 40)],
            admission: Admission::CloseOther,
        },
        Case {
            name: "closed connections are still open",
            open: &[(2, 66), (1, 40)],
            admission: Admission::Refuse,
        },
    ];
    for case in cases {
        let mut limit = ConnectionLimit::new(100);
        for &(number, count) in case.open {
            (0..count).for_each(|_| limit.on_open(address(number)));
        }
        assert_eq!(limit.admission(address(1)), case.admission, "{}", case.name);
    }
}

/// Guards against connections of clients that leave no descriptors for servers and the store.
#[test]
fn descriptors_are_left_for_servers_and_the_store() {
    for descriptors_max in [1024, 2870, 8192] {
        let taken =
            client_connections_max(descriptors_max) + 3 * internal_connections_max(descriptors_max);
        let free = descriptors_max - 200;
        assert!(taken <= free * 4 / 5, "{descriptors_max}: {taken} taken");
    }
}

/// Opens a connection that holds memory until it is closed. The result is the reason.
fn hold(memory: &BodyMemory, group: GroupKey, bytes: u64) -> JoinHandle<CloseReason> {
    let connection = memory.open(address(1));
    connection.set_group(group);
    let mut reservation = connection.reserve();
    assert!(reservation.try_grow(bytes), "there is memory");
    spawn_local(async move {
        let reason = connection.closed().await;
        drop(reservation);
        reason
    })
}

/// Guards against bodies that hold the memory which others need: stalled ones, and those of a group
/// that takes more than half.
#[tokio::test(flavor = "current_thread")]
async fn a_body_gets_memory_that_is_held_without_need() {
    struct Case {
        name: &'static str,
        /// Workspaces of the connections that hold 11 MB each, of 32.
        held: [&'static str; 2],
        /// Whether they have not moved a byte for seconds.
        is_stalled: bool,
        is_reserved: bool,
    }
    let cases = [
        Case {
            name: "stalled",
            held: ["a", "b"],
            is_stalled: true,
            is_reserved: true,
        },
        Case {
            name: "with progress",
            held: ["a", "b"],
            is_stalled: false,
            is_reserved: false,
        },
        Case {
            name: "with progress, all of one workspace",
            held: ["a", "a"],
            is_stalled: false,
            is_reserved: true,
        },
    ];
    for case in cases {
        let check = async {
            let memory = BodyMemory::new(96 * MB);
            let holders = case
                .held
                .map(|name| hold(&memory, GroupKey::of_workspace(name), 11 * MB));
            if case.is_stalled {
                memory.tick(Duration::from_secs(3), UNREAD_MAX);
            }
            let connection = memory.open(address(2));
            connection.set_group(GroupKey::of_workspace("c"));
            let is_reserved = connection.reserve().grow(12 * MB).await;
            assert_eq!(is_reserved, case.is_reserved, "{}", case.name);
            let closed = holders.iter().filter(|holder| holder.is_finished());
            let expected = usize::from(case.is_reserved);
            assert_eq!(closed.count(), expected, "{}: closed", case.name);
        };
        LocalSet::new().run_until(check).await;
    }
}

/// Guards against answers that are held for clients which do not read, without counting.
#[test]
fn an_answer_counts_until_it_was_sent() {
    let memory = BodyMemory::new(96 * MB);
    let connection = memory.open(address(1));
    let mut reservation = connection.reserve();
    assert!(reservation.try_grow(MB));
    connection.keep_until_sent(reservation);
    assert_eq!(memory.held().bodies_bytes, MB);
    connection.on_flushed();
    assert_eq!(memory.held().bodies_bytes, 0);
}

/// Guards against clients that appear new each time they read a little of an answer.
#[test]
fn a_client_that_reads_a_byte_now_and_then_is_slow() {
    let memory = BodyMemory::new(96 * MB);
    let connection = memory.open(address(1));
    connection.on_request_received();
    for second in 0..5 {
        memory.tick(Duration::from_secs(second), UNREAD_MAX);
        connection.on_written(1);
        connection.on_write_blocked();
    }
    assert!(memory.close_for_room(None));
    assert_eq!(connection.closed().now_or_never(), Some(CloseReason::Room));
}

/// Guards against connections whose clients never read.
#[test]
fn a_connection_that_is_not_read_is_closed() {
    let memory = BodyMemory::new(96 * MB);
    let connection = memory.open(address(1));
    connection.on_request_received();
    connection.on_write_blocked();
    memory.tick(UNREAD_MAX / 2, UNREAD_MAX);
    assert!(connection.closed().now_or_never().is_none());
    memory.tick(UNREAD_MAX, UNREAD_MAX);
    assert_eq!(
        connection.closed().now_or_never(),
        Some(CloseReason::Unread)
    );
}
