//! What acknowledgements, and their absence, show about the peer of a connection.

use anvilgw_gateway::peer_liveness::{PeerLiveness, PeerState};
use anvilgw_gateway::tcp_info::TcpInfo;
use std::ops::Range;
use std::time::Duration;

const STEP_MS: u64 = 100;
const END_MS: u64 = 10_000;

/// Why data waits for the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    /// It was sent and is not acknowledged.
    OnItsWay,
    /// The window is closed.
    ClosedWindow,
}

/// A request that waits for its peer from the beginning.
struct Case {
    name: &'static str,
    waiting: Waiting,
    timeout_ms: u64,
    /// When the kernel sends data again, or a window probe.
    probes_ms: &'static [u64],
    /// When acknowledgements arrive that take no more data.
    acks_ms: &'static [u64],
    /// Time in which this process is stopped.
    stopped_ms: Range<u64>,
    /// When the peer has to be found unreachable, or `None` if it is sound.
    unreachable_ms: Option<Range<u64>>,
}

const DATA: Case = Case {
    name: "data is not acknowledged",
    waiting: Waiting::OnItsWay,
    timeout_ms: 1500,
    probes_ms: &[200, 600, 1400, 2400],
    acks_ms: &[],
    stopped_ms: 0..0,
    unreachable_ms: Some(1500..2000),
};

const WINDOW: Case = Case {
    name: "the window is closed and all probes are answered",
    waiting: Waiting::ClosedWindow,
    timeout_ms: 1500,
    probes_ms: &[
        200, 600, 1400, 2400, 3400, 4400, 5400, 6400, 7400, 8400, 9400,
    ],
    acks_ms: &[200, 1400, 2400, 3400, 4400, 5400, 6400, 7400, 8400, 9400],
    stopped_ms: 0..0,
    unreachable_ms: None,
};

const CASES: [Case; 9] = [
    DATA,
    Case {
        name: "data of a long request is not acknowledged",
        timeout_ms: 4000,
        probes_ms: &[200, 600, 1400, 2400, 3400, 4400],
        unreachable_ms: Some(4000..4500),
        ..DATA
    },
    Case {
        name: "the peer acknowledges but drops what it is sent",
        acks_ms: &[
            200, 600, 1400, 2400, 3400, 4400, 5400, 6400, 7400, 8400, 9400,
        ],
        probes_ms: WINDOW.probes_ms,
        unreachable_ms: None,
        ..DATA
    },
    Case {
        name: "this process was stopped while the data was sent",
        stopped_ms: 150..5000,
        unreachable_ms: Some(6500..7200),
        ..DATA
    },
    WINDOW,
    Case {
        name: "the peer lost power before the first probe",
        acks_ms: &[],
        unreachable_ms: Some(2500..2700),
        ..WINDOW
    },
    Case {
        name: "the peer lost power after it had answered probes for long",
        acks_ms: &[200, 1400, 2400, 3400, 4400],
        unreachable_ms: Some(6900..7100),
        ..WINDOW
    },
    Case {
        name: "the peer stood still for a second",
        acks_ms: &[200, 1400, 3400, 4400, 5400, 6400, 7400, 8400, 9400],
        ..WINDOW
    },
    Case {
        name: "the kernel sends probes at growing intervals",
        probes_ms: &[200, 600, 1400, 3000, 6200],
        acks_ms: &[200, 1400, 3000, 6200],
        ..WINDOW
    },
];

impl Case {
    fn info(&self, now_ms: u64) -> TcpInfo {
        let until_now =
            |times_ms: &[u64]| times_ms.iter().copied().filter(|at| *at <= now_ms).max();
        let last_ack_ms = until_now(self.acks_ms).unwrap_or(0);
        let is_unanswered = |at: &&u64| **at <= now_ms && **at > last_ack_ms;
        let unanswered = self.probes_ms.iter().filter(is_unanswered).count() as u8;
        let sent = self.probes_ms.iter().filter(|at| **at <= now_ms).count() as u8;
        let is_data = self.waiting == Waiting::OnItsWay;
        TcpInfo {
            unacked_packets: u32::from(is_data),
            retransmits: if is_data { sent } else { 0 },
            unanswered_probes: if is_data { 0 } else { unanswered },
            backoff: sent,
            last_ack_age: Duration::from_millis(now_ms - last_ack_ms),
        }
    }

    /// Returns when the peer was found unreachable.
    fn unreachable_at_ms(&self) -> Option<u64> {
        let mut liveness = PeerLiveness::new(Duration::ZERO);
        let timeout = Duration::from_millis(self.timeout_ms);
        let mut times = (STEP_MS..END_MS).step_by(STEP_MS as usize);
        times.find(|now_ms| {
            let now = Duration::from_millis(*now_ms);
            !self.stopped_ms.contains(now_ms)
                && matches!(
                    liveness.observe(&self.info(*now_ms), timeout, now),
                    PeerState::Unreachable(_)
                )
        })
    }
}

/// Guards against sound peers that count as unreachable because their processes do not read, and
/// against peers without power that do not.
#[test]
fn missing_acknowledgements_tell_peers_without_power_from_closed_windows() {
    for case in CASES {
        let found_ms = case.unreachable_at_ms();
        let is_expected = match (&case.unreachable_ms, found_ms) {
            (Some(range), Some(found_ms)) => range.contains(&found_ms),
            (None, None) => true,
            _ => false,
        };
        assert!(is_expected, "{}: {found_ms:?}", case.name);
    }
}

/// Guards against a kernel that closes the connection itself before the next observation: its limit
/// has to stay ahead of the time for which the window is closed.
#[test]
fn the_limit_of_the_kernel_stays_ahead_of_a_closed_window() {
    let mut liveness = PeerLiveness::new(Duration::ZERO);
    let timeout = Duration::from_millis(WINDOW.timeout_ms);
    for now_ms in (STEP_MS..END_MS).step_by(STEP_MS as usize) {
        let now = Duration::from_millis(now_ms);
        let state = liveness.observe(&WINDOW.info(now_ms), timeout, now);
        if now_ms < WINDOW.probes_ms[0] {
            assert_eq!(state, PeerState::Receiving, "{now_ms} ms");
            continue;
        }
        let PeerState::Stalled(limit) = state else {
            panic!("{now_ms} ms: {state:?}");
        };
        let closed_for = now - Duration::from_millis(WINDOW.probes_ms[0]);
        assert!(
            limit >= closed_for + Duration::from_secs(1),
            "{now_ms} ms: {limit:?}"
        );
    }
}

/// Guards against connections that are watched for as long as a stream lasts.
#[test]
fn a_request_that_has_arrived_is_no_longer_watched() {
    let mut liveness = PeerLiveness::new(Duration::ZERO);
    let arrived = TcpInfo {
        unacked_packets: 0,
        retransmits: 0,
        unanswered_probes: 0,
        backoff: 0,
        last_ack_age: Duration::ZERO,
    };
    let timeout = Duration::from_millis(1500);
    let mut states = (100..=700)
        .step_by(100)
        .map(|now_ms| liveness.observe(&arrived, timeout, Duration::from_millis(now_ms)));
    assert!(states.any(|state| state == PeerState::Settled));
}
