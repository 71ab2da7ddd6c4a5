//! Decisions on deployments of various sizes and with various operators' bounds.

use anvilgw_gateway::budget::{RetryBound, RetryBudget};
use anvilgw_gateway::caches::{CacheDirectory, CacheStoreSpec};
use anvilgw_gateway::configuration::{EngineSpec, Service};
use anvilgw_gateway::groups::{FleetAssignment, Member, Role, StoreReads};
use anvilgw_gateway::peers::{EngineLoad, LoadReporter, PeerLoads, ReportScope, report_period};
use anvilgw_gateway::prefill_rate::PrefillRate;
use anvilgw_gateway::region_constraints::RegionConstraints;
use anvilgw_gateway::request::{Prompt, PromptPart};
use anvilgw_gateway::select::{PromptQuery, Query, Selected, select};
use anvilgw_gateway::server::{ServedModel, ServerEntry, ServerState, Servers};
use anvilgw_gateway::weights::{
    FETCH_TIME_MAX, OldPartTimes, PublishedWeights, WeightPublication, is_retired, may_read_part,
    next_orders, outdated_servers,
};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const MODEL: &str = "lumen";
const SERVICE: &str = "s";
const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Uptime at which the decisions are made.
const NOW: Duration = Duration::from_secs(1000);

struct Deployment {
    name: &'static str,
    domains: usize,
    daemons: u32,
    servers: u16,
    has_engines: bool,
    stores: u16,
    /// Factor by which the operators' time bounds differ from the usual ones.
    bounds_factor: f64,
}

const DEPLOYMENTS: [Deployment; 6] = [
    Deployment {
        name: "one of everything",
        domains: 1,
        daemons: 1,
        servers: 1,
        has_engines: true,
        stores: 1,
        bounds_factor: 1.0,
    },
    Deployment {
        name: "plain servers only",
        domains: 1,
        daemons: 3,
        servers: 1,
        has_engines: false,
        stores: 0,
        bounds_factor: 1.0,
    },
    Deployment {
        name: "engines without stores",
        domains: 5,
        daemons: 3,
        servers: 7,
        has_engines: true,
        stores: 0,
        bounds_factor: 1.0,
    },
    Deployment {
        name: "short bounds",
        domains: 3,
        daemons: 12,
        servers: 18,
        has_engines: true,
        stores: 5,
        bounds_factor: 0.1,
    },
    Deployment {
        name: "long bounds",
        domains: 3,
        daemons: 12,
        servers: 18,
        has_engines: true,
        stores: 5,
        bounds_factor: 10.0,
    },
    Deployment {
        name: "large fleet",
        domains: 5,
        daemons: 400,
        servers: 600,
        has_engines: true,
        stores: 20,
        bounds_factor: 1.0,
    },
];

impl Deployment {
    fn bound(&self, usual: Duration) -> Duration {
        usual.mul_f64(self.bounds_factor)
    }

    fn domain(&self, index: u16) -> String {
        DOMAINS[usize::from(index) % self.domains].to_owned()
    }

    fn service(&self) -> Service {
        Service {
            name: SERVICE.to_owned(),
            connections_max: 100,
            cold_requests_per_s: 0.0,
            engine: self.has_engines.then_some(EngineSpec {
                kv_capacity_tokens: 100_000,
            }),
            cache_store: None,
        }
    }

    fn servers(&self) -> Servers {
        let mut servers = Servers::default();
        for index in 0..self.servers {
            servers.on_entry_published(self.server(index, 1), NOW);
        }
        servers
    }

    fn server(&self, index: u16, version: u64) -> ServerEntry {
        let model = ServedModel {
            model: MODEL.to_owned(),
            version,
        };
        ServerEntry {
            id: format!("s{index}"),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], 9000 + index).into(),
            failure_domain: self.domain(index),
            state: ServerState::Ready,
            cold_for: Duration::ZERO,
            slots: 8,
            models: self.has_engines.then_some(model).into_iter().collect(),
            started_at_ms: Some(1),
        }
    }

    fn caches(&self) -> CacheDirectory {
        let mut caches = CacheDirectory::default();
        let specs: Vec<CacheStoreSpec> = (0..self.stores)
            .map(|index| CacheStoreSpec {
                address: ([127, 0, 0, 2], 9000 + index).into(),
                failure_domain: self.domain(index),
                capacity_tokens: 1_000_000,
                link_tokens_per_ms: 1_000.0,
                first_byte: Duration::from_millis(1),
            })
            .collect();
        caches.set_stores(&specs);
        caches
    }

    fn old_part_times(&self) -> OldPartTimes {
        OldPartTimes {
            configuration_age_max: self.bound(Duration::from_millis(4300)),
            weight_switch: self.bound(Duration::from_secs(10)),
        }
    }

    fn place(
        &self,
        servers: &mut Servers,
        caches: &CacheDirectory,
        prompt: Option<&Prompt>,
    ) -> Option<Selected> {
        let (regions, peer_loads) = (IndexMap::new(), PeerLoads::default());
        let service = self.service();
        let prompt = prompt.map(|prompt| PromptQuery {
            prompt,
            prefill_rate: PrefillRate::default(),
            caches,
            peer_loads: &peer_loads,
            isolated_workspace: None,
            oldest_version: None,
            engine_capacity_tokens: 100_000,
            memory_limit_tokens: 90_000.0,
            published_weights: None,
            old_part_times: self.old_part_times(),
            is_configuration_current: true,
            are_switches_current: true,
        });
        let constraints = RegionConstraints {
            regions: &regions,
            route: &[],
            workspace: &[],
        };
        let query = Query {
            prompt,
            share: 1.0 / f64::from(self.daemons),
            ..Query::new(&service, constraints)
        };
        let mut rng = SmallRng::seed_from_u64(7);
        select(servers, &query, NOW, &mut rng).ok()
    }
}

fn prompt(session: u64) -> Prompt {
    Prompt {
        model: MODEL.to_owned(),
        prompt_tokens: 9_000,
        output_tokens_max: 50,
        parts: vec![
            PromptPart {
                id_hash: session,
                tokens: 8_000,
            },
            PromptPart {
                id_hash: !session,
                tokens: 1_000,
            },
        ],
    }
}

/// Guards against requests that find no server although one could serve them.
#[test]
fn a_request_finds_a_server() {
    for deployment in DEPLOYMENTS {
        let (mut servers, caches) = (deployment.servers(), deployment.caches());
        let plain = deployment.place(&mut servers, &caches, None);
        assert!(plain.is_some(), "{}", deployment.name);
        if deployment.has_engines {
            let generation = deployment.place(&mut servers, &caches, Some(&prompt(1)));
            assert!(generation.is_some(), "{}", deployment.name);
        }
    }
}

/// Guards against repeated prompts that go to different engines, and against a few engines that
/// get all prompts.
#[test]
fn returning_prompts_go_to_one_engine_and_all_engines_get_some() {
    /// With more servers the test would take too long in a debug build.
    const SERVERS_MAX: u16 = 20;
    let is_small = |one: &&Deployment| one.has_engines && one.servers <= SERVERS_MAX;
    for deployment in DEPLOYMENTS.iter().filter(is_small) {
        let (mut servers, caches) = (deployment.servers(), deployment.caches());
        let mut used = IndexMap::new();
        for session in 0..u64::from(deployment.servers) * 40 {
            let prompt = prompt(session.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let first = deployment.place(&mut servers, &caches, Some(&prompt));
            let again = deployment.place(&mut servers, &caches, Some(&prompt));
            let first = first.expect("a server").server;
            assert_eq!(again.expect("a server").server, first);
            *used.entry(first).or_insert(0) += 1;
        }
        assert_eq!(used.len(), usize::from(deployment.servers));
        let most = used.values().copied().max().unwrap_or(0);
        assert!(most <= 100, "{}: {most} of 40 expected", deployment.name);
    }
}

/// Guards against a switch of weights that stalls, or that orders too many servers at once.
#[test]
fn all_servers_get_the_newest_weights() {
    for deployment in DEPLOYMENTS.iter().filter(|one| one.has_engines) {
        let mut servers = deployment.servers();
        let publication = WeightPublication {
            version: 2,
            published_after: None,
            learned_at: NOW,
        };
        let published = IndexMap::from([(MODEL.to_owned(), PublishedWeights::new(publication))]);
        let most = (usize::from(deployment.servers) / 5).max(1);
        for _ in 0..=deployment.servers {
            let old = outdated_servers(&servers, published.iter());
            let orders = next_orders(&servers, &old, &[], NOW);
            assert!(orders.len() <= most, "{}", deployment.name);
            for order in orders {
                let server = servers.get_mut(order.server).expect("known");
                server.on_weights_loaded(MODEL, order.version);
            }
        }
        assert!(outdated_servers(&servers, published.iter()).is_empty());
    }
}

/// Guards against parts that are freed while they are read, whatever the operators' bounds.
#[test]
fn parts_are_freed_after_their_last_read() {
    for deployment in DEPLOYMENTS {
        let times = deployment.old_part_times();
        let publication = WeightPublication {
            version: 2,
            published_after: Some(NOW),
            learned_at: NOW,
        };
        let published = IndexMap::from([(MODEL.to_owned(), PublishedWeights::new(publication))]);
        for id_hash in [0, u64::MAX / 2, u64::MAX] {
            let clock = (0..200_000).map(|ms| NOW + Duration::from_millis(ms));
            let last_read = clock
                .clone()
                .take_while(|now| may_read_part(&published[MODEL], 1, id_hash, times, *now))
                .last()
                .unwrap_or(NOW);
            let last_read = last_read.max(NOW + times.configuration_age_max);
            let freed_at = clock
                .clone()
                .find(|now| is_retired("w1", id_hash, &published, times, *now))
                .expect("freed in the end");
            assert!(last_read + FETCH_TIME_MAX < freed_at, "{}", deployment.name);
        }
    }
}

/// Guards against retries that stay within the bound at each daemon but exceed it in the whole
/// fleet.
#[test]
fn retries_of_the_fleet_stay_within_the_bound() {
    for deployment in DEPLOYMENTS {
        let bound = RetryBound {
            ratio: 0.2,
            slack: 100.0,
            window: deployment.bound(Duration::from_secs(10)),
        };
        let share = 1.0 / f64::from(deployment.daemons);
        let mut budgets = vec![RetryBudget::new(bound, NOW); deployment.daemons as usize];
        let mut taken = 0;
        for step in 0..100 {
            let now = NOW + bound.window.mul_f64(f64::from(step) / 100.0);
            for budget in &mut budgets {
                taken += u32::from(budget.take(share, now));
            }
        }
        assert!(f64::from(taken) <= bound.slack, "{}", deployment.name);
    }
}

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
    let addresses = members.iter().map(|member| member.address);
    addresses
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
        let addresses = members.iter().map(|member| member.address);
        let reads_of_all: Vec<StoreReads> = addresses
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
