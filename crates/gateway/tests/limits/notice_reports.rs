//! Statements of servers that daemons pass on to each other.

use crate::simulation::servers;
use anvilgw_gateway::groups::Role;
use anvilgw_gateway::notice_reports::{NoticeChange, NoticeReporter, apply_report, reports_of_all};
use anvilgw_gateway::peer_message::PeerMessage;
use anvilgw_gateway::peers::DATAGRAM_MAX_BYTES;
use anvilgw_gateway::request_limit::{RequestRate, StatementSource};
use anvilgw_gateway::server::Servers;
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn daemon(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], number).into()
}

fn mesh() -> Role {
    Role::Mesh {
        peers: vec![daemon(1), daemon(2)],
    }
}

fn follower() -> Role {
    Role::Follower { leader: daemon(3) }
}

fn leader() -> Role {
    Role::Leader {
        followers: vec![daemon(4), daemon(5)],
        leaders: vec![daemon(6)],
    }
}

/// Returns servers of which the first has stated to this daemon that it is draining.
fn with_draining_server() -> Servers {
    let mut servers = servers(2, 1);
    let key = servers.key_of("s0").expect("known");
    let server = servers.get_mut(key).expect("server");
    server.on_drain_notice(StatementSource::Answer, NOW);
    servers
}

struct WayCase {
    name: &'static str,
    from: Role,
    to: Role,
    recipient: SocketAddr,
    is_learned: bool,
}

/// Guards against requests of other daemons to a server that has told one of them that it is
/// draining, and against statements that circulate in the fleet without end.
#[test]
fn a_statement_reaches_the_daemons_to_which_its_receiver_reports() {
    let case = |name, from, to, recipient, is_learned| WayCase {
        name,
        from,
        to,
        recipient,
        is_learned,
    };
    let cases = [
        case("small fleet", mesh(), mesh(), daemon(2), true),
        case("to the leader", follower(), leader(), daemon(3), true),
        case("between leaders", leader(), leader(), daemon(6), true),
        case("to a follower", leader(), follower(), daemon(5), true),
        case(
            "from a peer of another role",
            follower(),
            mesh(),
            daemon(3),
            true,
        ),
        case("to a stranger", leader(), follower(), daemon(9), false),
    ];
    for case in cases {
        let sent = with_draining_server();
        let mut receiver = servers(2, 1);
        let key = receiver.key_of("s0").expect("known");
        let addressed = NoticeReporter::default().next_reports(&sent, &case.from, NOW);
        let reports = addressed
            .iter()
            .filter(|addressed| addressed.recipients.contains(&case.recipient))
            .flat_map(|addressed| &addressed.reports);
        let changes: Vec<NoticeChange> = reports
            .flat_map(|report| apply_report(&mut receiver, &case.to, report, NOW))
            .collect();
        let expected = case.is_learned.then_some(NoticeChange::Draining(key));
        assert_eq!(changes.first().copied(), expected, "{}", case.name);
        let again = NoticeReporter::default().next_reports(&receiver, &mesh(), NOW);
        let is_echoed = again.iter().any(|addressed| !addressed.reports.is_empty());
        assert!(
            !is_echoed,
            "{}: a daemon repeats what others told it",
            case.name
        );
    }
}

/// Guards against a statement of an earlier start of a server that is applied to its next start.
#[test]
fn a_statement_does_not_concern_another_start_of_the_server() {
    let sent = with_draining_server();
    let mut restarted = servers(2, 2);
    for report in reports_of_all(&sent, NOW) {
        assert!(apply_report(&mut restarted, &mesh(), &report, NOW).is_empty());
    }
}

/// Guards against reports that do not fit into a datagram, and against servers left out of them.
#[test]
fn statements_of_many_servers_fit_into_datagrams() {
    let mut sent = servers(400, 1);
    let limit = RequestRate::from_per_s(1e12).expect("rate");
    for server in sent.iter_mut() {
        server.request_limit.on_named(limit, NOW);
        server.on_drain_notice(StatementSource::Answer, NOW);
    }
    let mut receiver = servers(400, 1);
    let mut changes = 0;
    for report in reports_of_all(&sent, NOW + Duration::from_secs(9)) {
        let datagram = PeerMessage::Notices(report).encode().expect("encodes");
        assert!(
            datagram.len() <= DATAGRAM_MAX_BYTES,
            "{} bytes",
            datagram.len()
        );
        let Ok(PeerMessage::Notices(report)) = PeerMessage::decode(&datagram) else {
            panic!("not decoded");
        };
        changes += apply_report(&mut receiver, &mesh(), &report, NOW).len();
    }
    assert_eq!(changes, 800);
}
