//! Groups of daemons, and the messages between them.

use crate::deployment::{DEPLOYMENTS, DOMAINS, NOW};
use anvilgw_gateway::groups::{FleetAssignment, Member, Role, StoreReads};
use anvilgw_gateway::peers::{EngineLoad, LoadReporter, PeerLoads, ReportScope, report_period};

/// Guards against load reports whose number grows with the square of the fleet: each daemon
/// must send and receive a bounded number of them.
#[test]
fn a_daemon_exchanges_a_bounded_number_of_load_reports() {
    /// Reports per second that a small instance can send.
    const REPORTS_PER_S_MAX: f64 = 250.0;
    for deployment in DEPLOYMENTS {
        for role in roles(&members(deployment.daemons, deployment.domains)) {
            let per_s = role.recipient_count() as f64 / report_period(&role).as_secs_f64();
            assert!(per_s <= REPORTS_PER_S_MAX, "{}: {per_s}", deployment.name);
        }
    }
}

fn members(daemons: u32, domains: usize) -> Vec<Member> {
    (0..daemons)
        .map(|index| Member {
            address: ([127, 1, (index / 200) as u8, (index % 200) as u8], 7000).into(),
            failure_domain: DOMAINS[index as usize % domains].to_owned(),
        })
        .collect()
}

fn roles(members: &[Member]) -> Vec<Role> {
    members
        .iter()
        .map(|own| FleetAssignment::of(own, members).role)
        .collect()
}

/// Guards against daemons whose load is not counted or counted twice, and, with hundreds of
/// daemons, against a store that gets more reads than it can keep open.
#[test]
fn every_daemon_of_a_large_fleet_has_one_leader_and_few_daemons_lead() {
    /// Number of event reads that a store keeps open, and the fraction of time for which each
    /// reader has one open.
    const OPEN_READS_MAX: f64 = 12.0;
    const OPEN_PART: f64 = 1.0 / 3.0;
    struct Case {
        daemons: u32,
        domains: usize,
    }
    let cases = [
        Case {
            daemons: 33,
            domains: 1,
        },
        Case {
            daemons: 114,
            domains: 3,
        },
        Case {
            daemons: 295,
            domains: 5,
        },
        Case {
            daemons: 410,
            domains: 5,
        },
    ];
    for Case { daemons, domains } in cases {
        let members = members(daemons, domains);
        let roles = roles(&members);
        let mut leaders = 0;
        for (member, role) in members.iter().zip(&roles) {
            let Role::Leader {
                followers,
                leaders: others,
            } = role
            else {
                continue;
            };
            leaders += 1;
            for follower in followers {
                let index = members.iter().position(|other| other.address == *follower);
                let index = index.expect("known");
                let leader = member.address;
                assert_eq!(roles[index], Role::Follower { leader }, "{daemons} daemons");
                assert_eq!(members[index].failure_domain, member.failure_domain);
            }
            assert!(!others.contains(&member.address));
        }
        let is_led = |role: &&Role| matches!(role, Role::Follower { .. });
        let followers = roles.iter().filter(is_led).count();
        assert_eq!(followers + leaders, members.len(), "{daemons} daemons");
        let open = leaders as f64 * OPEN_PART;
        assert!(
            open <= OPEN_READS_MAX,
            "{daemons} daemons: {open} reads open"
        );
    }
}

/// Guards against daemons whose source of copies keeps none for them, and against calls to the
/// metadata store that grow with the fleet.
#[test]
fn one_daemon_of_each_failure_domain_reads_the_metadata_store() {
    for deployment in DEPLOYMENTS {
        let members = members(deployment.daemons, deployment.domains);
        let reads_of_all: Vec<StoreReads> = members
            .iter()
            .map(|own| FleetAssignment::of(own, &members).store_reads)
            .collect();
        let mut readers = 0;
        for (member, reads) in members.iter().zip(&reads_of_all) {
            let Some(source) = reads.source() else {
                readers += 1;
                continue;
            };
            let known = members.iter().position(|other| other.address == source);
            let source = known.expect("a member");
            let name = deployment.name;
            match reads {
                StoreReads::Relay(_) => {
                    assert_eq!(reads_of_all[source], StoreReads::DirectForGroup, "{name}");
                }
                _ => assert!(reads_of_all[source].serves_copies(), "{name}"),
            }
            assert_eq!(
                members[source].failure_domain, member.failure_domain,
                "{name}"
            );
        }
        let most = deployment.domains;
        assert!(
            readers <= most,
            "{}: {readers} of {} read",
            deployment.name,
            members.len()
        );
    }
}

/// Guards against daemons of a large fleet that know only their own load on an engine, or count
/// some of it twice.
#[test]
fn the_load_of_all_daemons_reaches_each_of_them() {
    const DAEMONS: u32 = 114;
    const ENGINE: u32 = 7;
    const TOKENS: u64 = 3_200;
    let members = members(DAEMONS, 3);
    let roles = roles(&members);
    let index_of = |address| {
        let mut members = members.iter();
        members
            .position(|member| member.address == address)
            .expect("known")
    };
    let mut loads: Vec<PeerLoads> = members.iter().map(|_| PeerLoads::default()).collect();
    let own = [EngineLoad::new(ENGINE, TOKENS)];
    let report = |scope, sender: usize, round: u64, loads: Vec<EngineLoad>| {
        let mut reporter = LoadReporter::new(scope, sender as u64);
        reporter.next_reports(&loads, 1, round).remove(0)
    };
    for round in 1..4 {
        for (sender, role) in roles.iter().enumerate() {
            match role {
                Role::Mesh { .. } => panic!("the fleet is too large for a mesh"),
                Role::Follower { leader } => {
                    loads[sender].on_reported(&own);
                    let to = index_of(*leader);
                    let sent = report(ReportScope::Daemon, sender, round, own.to_vec());
                    loads[to].on_report(&roles[to], sent, NOW);
                }
                Role::Leader { followers, leaders } => {
                    let group = loads[sender].sum_of(&own, &[ReportScope::Daemon]);
                    for to in leaders.iter().map(|leader| index_of(*leader)) {
                        let sent = report(ReportScope::Group, sender, round, group.clone());
                        loads[to].on_report(&roles[to], sent, NOW);
                    }
                    let fleet =
                        loads[sender].sum_of(&own, &[ReportScope::Daemon, ReportScope::Group]);
                    for to in followers.iter().map(|follower| index_of(*follower)) {
                        let sent = report(ReportScope::Fleet, sender, round, fleet.clone());
                        loads[to].on_report(&roles[to], sent, NOW);
                    }
                }
            }
        }
    }
    for (known, role) in loads.iter().zip(&roles) {
        let others = u64::from(DAEMONS - 1) * TOKENS;
        assert_eq!(known.tokens_on(ENGINE), others, "{role:?}");
    }
}

/// Guards against daemons that the platform does not list yet and that read the metadata store
/// themselves for as long as they are not listed, or that wait for reports and contents of cache
/// stores from a leader that does not know them.
#[test]
fn a_daemon_that_is_not_listed_reads_the_copies_of_its_leader_to_be() {
    // A daemon that knows no member has no leader to follow.
    for deployment in DEPLOYMENTS.iter().filter(|one| one.daemons > 1) {
        let members = members(deployment.daemons, deployment.domains);
        for own in &members {
            let assignment = FleetAssignment::of(own, &members);
            let others: Vec<Member> = members.iter().filter(|one| *one != own).cloned().collect();
            let name = deployment.name;
            let unlisted = FleetAssignment::of(own, &others);
            assert_eq!(unlisted.store_reads, assignment.store_reads, "{name}");
            match unlisted.role {
                Role::Mesh { peers } if others.len() <= 32 => assert_eq!(peers.len(), others.len()),
                role => assert_eq!(role, Role::default(), "{name}"),
            }
        }
        let first = &members[0];
        let alone = FleetAssignment::of(first, &[]);
        assert_eq!(alone, FleetAssignment::default(), "no member is known");
    }
}
