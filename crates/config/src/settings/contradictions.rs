//! Detection of contradictions between values that are valid by themselves.

use super::Settings;
use crate::fault::Fault;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A contradiction between values of the settings.
pub(super) struct Contradiction {
    /// Fault that reports the contradiction, without a line.
    pub(super) fault: Fault,
    /// Section and key of each value that the contradiction is between. A section kind without a
    /// name stands for all sections of that kind, an empty key for the section as a whole.
    pub(super) involved: Vec<(String, &'static str)>,
}

/// Collects contradictions.
#[derive(Default)]
struct Contradictions {
    found: Vec<Contradiction>,
}

impl Contradictions {
    /// Adds a contradiction between the values `involved`. The fault is reported at the first of
    /// them.
    fn add(&mut self, involved: &[(&str, &'static str)], reason: String, example: &str) {
        let involved: Vec<_> = involved
            .iter()
            .map(|&(section, key)| (section.to_owned(), key))
            .collect();
        let (section, key) = involved[0].clone();
        let example = if key.is_empty() {
            example.to_owned()
        } else {
            format!("{key} = {example}")
        };
        let fault = Fault {
            line: None,
            section,
            key: key.to_owned(),
            reason,
            example,
        };
        self.found.push(Contradiction { fault, involved });
    }

    /// Adds a contradiction unless `condition` holds.
    fn require(
        &mut self,
        condition: bool,
        involved: &[(&str, &'static str)],
        reason: impl FnOnce() -> String,
        example: &str,
    ) {
        if !condition {
            self.add(involved, reason(), example);
        }
    }
}

/// Returns all contradictions between the values.
pub(super) fn find(settings: &Settings) -> Vec<Contradiction> {
    let mut contradictions = Contradictions::default();
    check_times(settings, &mut contradictions);
    check_limits(settings, &mut contradictions);
    check_append_rates(settings, &mut contradictions);
    check_domains(settings, &mut contradictions);
    check_capacities(settings, &mut contradictions);
    check_models(settings, &mut contradictions);
    check_addresses(settings, &mut contradictions);
    check_bearer_keys(settings, &mut contradictions);
    contradictions.found
}

fn check_times(settings: &Settings, contradictions: &mut Contradictions) {
    let daemon = &settings.daemon;
    let (default, max, drain) = (
        daemon.deadline_default_ms,
        daemon.deadline_max_ms,
        daemon.drain_ms,
    );
    contradictions.require(
        default <= max,
        &[
            ("daemon", "deadline_default_ms"),
            ("daemon", "deadline_max_ms"),
        ],
        || format!("{default} is above deadline_max_ms ({max})"),
        &max.to_string(),
    );
    contradictions.require(
        drain >= max,
        &[("daemon", "drain_ms"), ("daemon", "deadline_max_ms")],
        || format!("{drain} is below deadline_max_ms ({max}), so shutdown aborts open requests"),
        &max.to_string(),
    );
    let queue = settings.limits.queue_ms;
    contradictions.require(
        queue <= max,
        &[("limits", "queue_ms"), ("daemon", "deadline_max_ms")],
        || format!("{queue} is above deadline_max_ms ({max}) of [daemon]"),
        &max.to_string(),
    );
    let (claims, retention) = (&settings.claims, settings.log.retention_s);
    let needed = claims.lifetime_s.saturating_add(claims.margin_s);
    contradictions.require(
        needed <= retention,
        &[
            ("claims", "lifetime_s"),
            ("claims", "margin_s"),
            ("log", "retention_s"),
        ],
        || {
            format!(
                "lifetime_s + margin_s is {needed}, above retention_s ({retention}) of [log], so \
                 claims would be dropped while their keys are still accepted"
            )
        },
        &retention.saturating_sub(claims.margin_s).max(1).to_string(),
    );
    let claim_open_max_s = max.saturating_add(claims.grace_ms).div_ceil(1000);
    contradictions.require(
        claims.lifetime_s >= claim_open_max_s,
        &[
            ("claims", "lifetime_s"),
            ("claims", "grace_ms"),
            ("daemon", "deadline_max_ms"),
        ],
        || format!("a claim can stay open for {claim_open_max_s} s (deadline_max_ms + grace_ms)"),
        &claim_open_max_s.to_string(),
    );
}

fn check_limits(settings: &Settings, contradictions: &mut Contradictions) {
    let limits = &settings.limits;
    contradictions.require(
        limits.connections_per_workspace <= limits.connections,
        &[
            ("limits", "connections_per_workspace"),
            ("limits", "connections"),
        ],
        || {
            let (one, all) = (limits.connections_per_workspace, limits.connections);
            format!(
                "{one} is above connections ({all}), so one workspace could use all connections"
            )
        },
        &limits.connections.to_string(),
    );
    contradictions.require(
        limits.header_bytes <= limits.body_bytes,
        &[("limits", "header_bytes"), ("limits", "body_bytes")],
        || {
            format!(
                "{} is above body_bytes ({})",
                limits.header_bytes, limits.body_bytes
            )
        },
        &limits.body_bytes.to_string(),
    );
}

fn check_append_rates(settings: &Settings, contradictions: &mut Contradictions) {
    let (claims, log) = (&settings.claims, &settings.log);
    contradictions.require(
        claims.appends_per_s <= log.appends_per_s,
        &[("claims", "appends_per_s"), ("log", "appends_per_s")],
        || {
            let (share, all) = (claims.appends_per_s, log.appends_per_s);
            format!("{share} is above appends_per_s ({all}) of [log]")
        },
        &log.appends_per_s.to_string(),
    );
    let interval_at_1_append_per_s = u64::from(claims.partitions) * 1000;
    let interval_min_ms =
        interval_at_1_append_per_s.div_ceil(u64::from(claims.appends_per_s).max(1));
    contradictions.require(
        claims.min_interval_ms >= interval_min_ms,
        &[
            ("claims", "min_interval_ms"),
            ("claims", "partitions"),
            ("claims", "appends_per_s"),
        ],
        || {
            format!(
                "{} partitions with one append every {} ms exceed appends_per_s ({})",
                claims.partitions, claims.min_interval_ms, claims.appends_per_s
            )
        },
        &interval_min_ms.to_string(),
    );
}

fn check_domains(settings: &Settings, contradictions: &mut Contradictions) {
    let known: Vec<_> = settings.domains.keys().map(String::as_str).collect();
    let example = known.first().copied().unwrap_or("porto-a");
    contradictions.require(
        !known.is_empty(),
        &[("domain", "")],
        || "at least one failure domain is required".to_owned(),
        "[domain porto-a]",
    );
    let mut require_domain = |section: &str, key: &'static str, name: &str, example: &str| {
        if !known.is_empty() && !known.contains(&name) {
            let reason = format!(
                "there is no [domain {name}]; known are {}",
                known.join(", ")
            );
            contradictions.add(&[(section, key), ("domain", "")], reason, example);
        }
    };
    require_domain(
        "daemon",
        "failure_domain",
        &settings.daemon.failure_domain,
        example,
    );
    for (name, server) in &settings.servers {
        require_domain(
            &format!("server {name}"),
            "failure_domain",
            &server.failure_domain,
            example,
        );
    }
    for (name, store) in &settings.stores {
        require_domain(
            &format!("store {name}"),
            "failure_domain",
            &store.failure_domain,
            example,
        );
    }
    for (name, service) in &settings.services {
        for server in &service.servers {
            let example = format!("{}@{example}", server.address);
            require_domain(
                &format!("service {name}"),
                "servers",
                &server.failure_domain,
                &example,
            );
        }
    }
}

fn check_capacities(settings: &Settings, contradictions: &mut Contradictions) {
    let servers = settings.servers.iter().map(|(name, s)| {
        (
            format!("server {name}"),
            s.cold_concurrency,
            s.capacity_concurrency,
        )
    });
    let services = settings.services.iter().map(|(name, s)| {
        (
            format!("service {name}"),
            s.cold_concurrency,
            s.capacity_concurrency,
        )
    });
    for (section, cold, capacity) in servers.chain(services) {
        contradictions.require(
            cold <= capacity,
            &[
                (&section, "cold_concurrency"),
                (&section, "capacity_concurrency"),
            ],
            || format!("{cold} is above capacity_concurrency ({capacity})"),
            &capacity.to_string(),
        );
    }
}

fn check_models(settings: &Settings, contradictions: &mut Contradictions) {
    let known: Vec<_> = settings.models.keys().map(String::as_str).collect();
    for (name, server) in &settings.servers {
        for model in server
            .models
            .iter()
            .filter(|model| !known.contains(&model.as_str()))
        {
            contradictions.add(
                &[(&format!("server {name}"), "models"), ("model", "")],
                format!("there is no [model {model}]"),
                known.first().copied().unwrap_or("lumen-8b"),
            );
        }
    }
    for name in settings.models.keys() {
        let served = settings
            .servers
            .values()
            .any(|server| server.models.contains(name));
        let section = format!("model {name}");
        let servers: Vec<_> = settings
            .servers
            .keys()
            .map(|name| format!("server {name}"))
            .collect();
        let mut involved = vec![(section.as_str(), ""), ("server", "")];
        involved.extend(servers.iter().map(|server| (server.as_str(), "models")));
        contradictions.require(
            served,
            &involved,
            || "no server runs this model".to_owned(),
            &format!("models = {name} in a [server NAME] section"),
        );
    }
}

fn check_addresses(settings: &Settings, contradictions: &mut Contradictions) {
    let daemon = &settings.daemon;
    contradictions.require(
        !daemon.advertise.ip().is_unspecified(),
        &[("daemon", "advertise"), ("daemon", "peer_listen")],
        || "peers cannot reach an unspecified address".to_owned(),
        "10.1.0.11:8082",
    );
    let mut used: HashMap<SocketAddr, String> = HashMap::new();
    let mut register = |section: &str, key: &'static str, address: SocketAddr| {
        let user = format!("{key} of [{section}]");
        if address.port() == 0 {
            return;
        }
        if let Some(other) = used.get(&address) {
            let reason = format!("{address} is also {other}");
            contradictions.add(&[(section, key)], reason, "another address");
        }
        used.insert(address, user);
    };
    register("daemon", "listen", daemon.listen);
    register("daemon", "admin_listen", daemon.admin_listen);
    register("daemon", "peer_listen", daemon.peer_listen);
    for (name, server) in &settings.servers {
        register(&format!("server {name}"), "address", server.address);
    }
    for (name, store) in &settings.stores {
        register(&format!("store {name}"), "address", store.address);
    }
    for (name, service) in &settings.services {
        for server in &service.servers {
            register(&format!("service {name}"), "servers", server.address);
        }
    }
}

/// Checks that no bearer key has two owners, which would make the sender of a request ambiguous.
fn check_bearer_keys(settings: &Settings, contradictions: &mut Contradictions) {
    let mut owners_by_hash = HashMap::new();
    for (section, owners) in [("keys", &settings.keys), ("operators", &settings.operators)] {
        for (owner, hashes) in owners {
            for hash in hashes {
                if let Some((other_section, other)) = owners_by_hash.insert(*hash, (section, owner))
                {
                    let reason = format!(
                        "the key of {owner} is also the key of {other} in [{other_section}]"
                    );
                    contradictions.add(
                        &[(section, "")],
                        reason,
                        "a key of its own: `anvilgw key new`",
                    );
                }
            }
        }
    }
}
