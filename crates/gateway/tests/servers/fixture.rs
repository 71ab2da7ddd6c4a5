//! Fixture with servers and cache stores, and prompts to place on them.

use anvilgw_gateway::caches::{CacheDirectory, CacheEvents, CacheStoreSpec, CachedPart, name_hash};
use anvilgw_gateway::configuration::{EngineSpec, Service};
use anvilgw_gateway::groups::Role;
use anvilgw_gateway::peers::{EngineLoad, LoadReport, PeerLoads, ReportScope};
use anvilgw_gateway::prefill_rate::PrefillRate;
use anvilgw_gateway::region_constraints::RegionConstraints;
use anvilgw_gateway::request::{Prompt, PromptPart};
use anvilgw_gateway::select::{
    NoServer, PromptQuery, Query, Selected, StartQuery, ZoneQuery, select,
};
use anvilgw_gateway::server::{
    ServedModel, ServerEntry, ServerKey, ServerState, Servers, server_hash,
};
use anvilgw_gateway::weights::{CacheSharing, OldPartTimes, PublishedWeights, cache_scope};
use anvilgw_gateway::zone_choice::{ZoneChoice, ZoneCost, ZoneEstimate};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

pub(crate) const SERVICE: &str = "engines";
pub(crate) const MODEL: &str = "lumen";

pub(crate) fn service(cold_requests_per_s: f64) -> Service {
    Service {
        name: SERVICE.to_owned(),
        connections_max: 100,
        cold_requests_per_s,
        engine: Some(EngineSpec {
            kv_capacity_tokens: 100_000,
        }),
        cache_store: None,
    }
}

pub(crate) fn entry(id: &str) -> ServerEntry {
    let port = 9000 + (name_hash(id) % 1000);
    ServerEntry {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: format!("127.0.0.1:{port}").parse().expect("address"),
        failure_domain: "a".to_owned(),
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
        slots: 8,
        models: vec![ServedModel {
            model: MODEL.to_owned(),
            version: 1,
        }],
        version: None,
        started_at_ms: Some(1),
        heartbeat: 1,
    }
}

pub(crate) fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

pub(crate) fn prompt(session: u64) -> Prompt {
    let part = |id_hash, tokens| PromptPart { id_hash, tokens };
    Prompt {
        model: MODEL.to_owned(),
        prompt_tokens: 12_000,
        output_tokens_max: 400,
        parts: vec![
            part(1, 500),
            part(session, 8_600),
            part(session ^ 0xffff, 2_900),
        ],
    }
}

pub(crate) struct Fixture {
    pub(crate) regions: IndexMap<String, String>,
    pub(crate) confined_to: Vec<String>,
    pub(crate) servers: Servers,
    pub(crate) caches: CacheDirectory,
    pub(crate) prefill_rate: PrefillRate,
    pub(crate) peers: PeerLoads,
    pub(crate) published_weights: Option<PublishedWeights>,
    pub(crate) oldest_version: Option<u64>,
    pub(crate) start: Option<StartQuery<'static>>,
    pub(crate) zones: Option<ZoneChoice>,
}

impl Fixture {
    pub(crate) fn new(ids: &[&str]) -> Self {
        let mut servers = Servers::default();
        for id in ids {
            servers.on_entry_published(entry(id), at(0));
        }
        let region = |domain: &str, region: &str| (domain.to_owned(), region.to_owned());
        Self {
            regions: IndexMap::from([region("a", "north"), region("b", "south")]),
            confined_to: Vec::new(),
            servers,
            caches: CacheDirectory::default(),
            prefill_rate: PrefillRate::default(),
            peers: PeerLoads::default(),
            published_weights: None,
            oldest_version: None,
            start: None,
            zones: None,
        }
    }

    /// Applies another daemon's report of its tokens on engines.
    pub(crate) fn on_peer_loads(&mut self, sequence: u64, loads: &[(&str, u64)], now: Duration) {
        let loads = loads.iter();
        let report = LoadReport {
            scope: ReportScope::Daemon,
            sender_hash: 1,
            sequence,
            part: 0,
            loads: loads
                .map(|(id, tokens)| EngineLoad::new(server_hash(id), *tokens))
                .collect(),
        };
        self.peers.on_report(&Role::default(), report, now);
    }

    /// Returns whether a server other than `tried` is selected for a request.
    pub(crate) fn selects_another(&mut self, tried: ServerKey, now: Duration) -> bool {
        let service = service(0.0);
        let query = Query {
            tried: &[tried],
            excluded: &[],
            ..Query::new(&service, constraints(&self.regions, &self.confined_to))
        };
        select(&mut self.servers, &query, now, &mut rng()).is_ok()
    }

    /// Tries to select a server for a request without a prompt.
    pub(crate) fn try_plain(
        &mut self,
        rejects_if_full: bool,
        now: Duration,
    ) -> Result<(), NoServer> {
        let service = service(0.0);
        let query = Query {
            rejects_if_full,
            ..Query::new(&service, constraints(&self.regions, &self.confined_to))
        };
        select(&mut self.servers, &query, now, &mut rng()).map(|_| ())
    }

    pub(crate) fn place(&mut self, prompt: &Prompt, now: Duration) -> Result<Selected, NoServer> {
        self.place_within(prompt, 90_000.0, now)
    }

    pub(crate) fn place_within(
        &mut self,
        prompt: &Prompt,
        memory_limit_tokens: f64,
        now: Duration,
    ) -> Result<Selected, NoServer> {
        let service = service(0.0);
        let query = Query {
            share: SHARE,
            prompt: Some(PromptQuery {
                prompt,
                caches: &self.caches,
                prefill_rate: self.prefill_rate,
                peer_loads: &self.peers,
                start: self.start,
                cache_sharing: CacheSharing::ALL,
                oldest_version: self.oldest_version,
                engine_capacity_tokens: 100_000,
                memory_limit_tokens,
                published_weights: self.published_weights.as_ref(),
                old_part_times: OldPartTimes {
                    configuration_age_max: at(3_000),
                    weight_switch: at(9_000),
                },
                is_configuration_current: true,
                are_switches_current: self.published_weights.is_some(),
                links: None,
                zones: self.zones.as_ref().map(|choice| ZoneQuery {
                    own_zone: "a",
                    choice,
                    draw: 0.0,
                }),
            }),
            ..Query::new(&service, constraints(&self.regions, &self.confined_to))
        };
        select(&mut self.servers, &query, now, &mut rng())
    }

    pub(crate) fn id_of(&self, selected: &Selected) -> String {
        let server = self.servers.get(selected.server).expect("selected server");
        server.entry.id.clone()
    }
}

/// Returns the choice of zones that results from a start and a pressure in each of them, so that some
/// requests of a busy zone leave.
pub(crate) fn zone_choice(zones: &[(&str, f64, f64)]) -> ZoneChoice {
    let estimates = zones.iter().map(|(zone, start_ms, pressure)| {
        let estimate = ZoneEstimate {
            start_ms: *start_ms,
            pressure: *pressure,
        };
        ((*zone).to_owned(), estimate)
    });
    let mut choice = ZoneChoice::default();
    choice.update(estimates.collect(), ZoneCost::default(), at(0));
    choice
}

/// Returns constraints of a route, without any of a workspace.
fn constraints<'a>(
    regions: &'a IndexMap<String, String>,
    route: &'a [String],
) -> RegionConstraints<'a> {
    RegionConstraints {
        regions,
        route,
        workspace: &[],
    }
}

/// Share of the fleet of the daemon that selects.
pub(crate) const SHARE: f64 = 0.1;

/// Selects a server for a request without a prompt.
pub(crate) fn try_select(
    servers: &mut Servers,
    service: &Service,
    now: Duration,
) -> Result<Selected, NoServer> {
    let regions = IndexMap::new();
    let query = Query {
        share: SHARE,
        ..Query::new(service, constraints(&regions, &[]))
    };
    select(servers, &query, now, &mut rng())
}

/// Returns the identifier of the server selected for a request without a prompt.
pub(crate) fn select_plain(
    servers: &mut Servers,
    service: &Service,
    now: Duration,
) -> Result<String, NoServer> {
    let selected = try_select(servers, service, now)?;
    let server = servers.get(selected.server).expect("server");
    Ok(server.entry.id.clone())
}

pub(crate) fn events(parts: &[(&str, u32)], epoch: u64) -> CacheEvents {
    CacheEvents {
        epoch,
        clock_ms: Some(1_000),
        next: 10,
        has_gap: false,
        changes: parts
            .iter()
            .map(|(id, tokens)| CachedPart {
                scope: cache_scope(MODEL, Some(1), CacheSharing::ALL),
                id: (*id).to_owned(),
                tokens: *tokens,
            })
            .collect(),
    }
}

pub(crate) fn store(port: u16) -> CacheStoreSpec {
    CacheStoreSpec {
        address: format!("127.0.0.1:{port}").parse().expect("address"),
        failure_domain: "a".to_owned(),
        capacity_tokens: 100_000,
        link_tokens_per_ms: 1_000.0,
        first_byte: Duration::from_millis(1),
    }
}

pub(crate) fn named_prompt() -> Prompt {
    let part = |id: &str, tokens| PromptPart {
        id_hash: name_hash(id),
        tokens,
    };
    Prompt {
        model: MODEL.to_owned(),
        prompt_tokens: 9_000,
        output_tokens_max: 10,
        parts: vec![
            part("manual", 500),
            part("history", 8_000),
            part("question", 500),
        ],
    }
}
