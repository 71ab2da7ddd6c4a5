//! Deployments for which decisions are made.

use anvilgw_gateway::caches::{CacheDirectory, CacheStoreSpec};
use anvilgw_gateway::configuration::{EngineSpec, Service};
use anvilgw_gateway::peers::PeerLoads;
use anvilgw_gateway::prefill_rate::PrefillRate;
use anvilgw_gateway::region_constraints::RegionConstraints;
use anvilgw_gateway::request::{Prompt, PromptPart};
use anvilgw_gateway::select::{PromptQuery, Query, Selected, select};
use anvilgw_gateway::server::{ServedModel, ServerEntry, ServerState, Servers};
use anvilgw_gateway::weights::{CacheSharing, OldPartTimes};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

pub(crate) const MODEL: &str = "lumen";
pub(crate) const SERVICE: &str = "s";
pub(crate) const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Uptime at which the decisions are made.
pub(crate) const NOW: Duration = Duration::from_secs(1000);

pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) domains: usize,
    pub(crate) daemons: u32,
    pub(crate) servers: u16,
    pub(crate) has_engines: bool,
    pub(crate) stores: u16,
    /// Factor by which the operators' time bounds differ from the usual ones.
    pub(crate) bounds_factor: f64,
}

pub(crate) const DEPLOYMENTS: [Deployment; 6] = [
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
    pub(crate) fn bound(&self, usual: Duration) -> Duration {
        usual.mul_f64(self.bounds_factor)
    }

    pub(crate) fn domain(&self, index: u16) -> String {
        DOMAINS[usize::from(index) % self.domains].to_owned()
    }

    pub(crate) fn service(&self) -> Service {
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

    pub(crate) fn servers(&self) -> Servers {
        let mut servers = Servers::default();
        for index in 0..self.servers {
            servers.on_entry_published(self.server(index, 1), NOW);
        }
        servers
    }

    pub(crate) fn server(&self, index: u16, version: u64) -> ServerEntry {
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
            version: None,
            started_at_ms: Some(1),
            heartbeat: 1,
        }
    }

    pub(crate) fn caches(&self) -> CacheDirectory {
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

    pub(crate) fn old_part_times(&self) -> OldPartTimes {
        OldPartTimes {
            configuration_age_max: self.bound(Duration::from_millis(4300)),
            weight_switch: self.bound(Duration::from_secs(10)),
        }
    }

    pub(crate) fn place(
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
            start: None,
            cache_sharing: CacheSharing::ALL,
            oldest_version: None,
            engine_capacity_tokens: 100_000,
            memory_limit_tokens: 90_000.0,
            published_weights: None,
            old_part_times: self.old_part_times(),
            is_configuration_current: true,
            are_switches_current: true,
            links: None,
            zones: None,
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

pub(crate) fn prompt(session: u64) -> Prompt {
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
