//! Contradictions between values that are good by themselves.

use super::Settings;
use crate::fault::Fault;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A contradiction and the values it is between, as section and key.
pub(super) struct Contradiction {
    pub(super) fault: Fault,
    pub(super) involved: Vec<(String, &'static str)>,
}

#[derive(Default)]
struct Finder {
    found: Vec<Contradiction>,
}

impl Finder {
    /// Reports the first of `involved` as the faulty one.
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

    fn require(
        &mut self,
        good: bool,
        involved: &[(&str, &'static str)],
        reason: impl FnOnce() -> String,
        example: &str,
    ) {
        if !good {
            self.add(involved, reason(), example);
        }
    }
}

pub(super) fn find(settings: &Settings) -> Vec<Contradiction> {
    let mut finder = Finder::default();
    times(settings, &mut finder);
    limits(settings, &mut finder);
    appends(settings, &mut finder);
    domains(settings, &mut finder);
    capacities(settings, &mut finder);
    models(settings, &mut finder);
    addresses(settings, &mut finder);
    secrets(settings, &mut finder);
    finder.found
}

fn times(settings: &Settings, finder: &mut Finder) {
    let daemon = &settings.daemon;
    let (default, max, drain) = (
        daemon.deadline_default_ms,
        daemon.deadline_max_ms,
        daemon.drain_ms,
    );
    finder.require(
        default <= max,
        &[
            ("daemon", "deadline_default_ms"),
            ("daemon", "deadline_max_ms"),
        ],
        || format!("{default} is above deadline_max_ms ({max})"),
        &max.to_string(),
    );
    finder.require(
        drain >= max,
        &[("daemon", "drain_ms"), ("daemon", "deadline_max_ms")],
        || format!("{drain} is below deadline_max_ms ({max}), so a stop would cut open requests"),
        &max.to_string(),
    );
    let queue = settings.limits.queue_ms;
    finder.require(
        queue <= max,
        &[("limits", "queue_ms"), ("daemon", "deadline_max_ms")],
        || format!("{queue} is above deadline_max_ms ({max}) of [daemon]"),
        &max.to_string(),
    );
    let (claims, retention) = (&settings.claims, settings.log.retention_s);
    let needed = claims.lifetime_s.saturating_add(claims.margin_s);
    finder.require(
        needed <= retention,
        &[
            ("claims", "lifetime_s"),
            ("claims", "margin_s"),
            ("log", "retention_s"),
        ],
        || {
            format!(
                "lifetime_s + margin_s is {needed}, above retention_s ({retention}) of [log], so \
                 claims would be forgotten while their keys are accepted"
            )
        },
        &retention.saturating_sub(claims.margin_s).max(1).to_string(),
    );
    let open_s = max.saturating_add(claims.grace_ms).div_ceil(1000);
    finder.require(
        claims.lifetime_s >= open_s,
        &[
            ("claims", "lifetime_s"),
            ("claims", "grace_ms"),
            ("daemon", "deadline_max_ms"),
        ],
        || format!("a claim can stay open for {open_s} s (deadline_max_ms + grace_ms)"),
        &open_s.to_string(),
    );
}

fn limits(settings: &Settings, finder: &mut Finder) {
    let limits = &settings.limits;
    finder.require(
        limits.connections_per_workspace <= limits.connections,
        &[
            ("limits", "connections_per_workspace"),
            ("limits", "connections"),
        ],
        || {
            let (one, all) = (limits.connections_per_workspace, limits.connections);
            format!("{one} is above connections ({all}), so one workspace could take all")
        },
        &limits.connections.to_string(),
    );
    finder.require(
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

fn appends(settings: &Settings, finder: &mut Finder) {
    let (claims, log) = (&settings.claims, &settings.log);
    finder.require(
        claims.appends_per_s <= log.appends_per_s,
        &[("claims", "appends_per_s"), ("log", "appends_per_s")],
        || {
            let (share, all) = (claims.appends_per_s, log.appends_per_s);
            format!("{share} is above appends_per_s ({all}) of [log]")
        },
        &log.appends_per_s.to_string(),
    );
    let interval = u64::from(claims.partitions) * 1000;
    let least_ms = interval.div_ceil(u64::from(claims.appends_per_s).max(1));
    finder.require(
        claims.min_interval_ms >= least_ms,
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
        &least_ms.to_string(),
    );
}

fn domains(settings: &Settings, finder: &mut Finder) {
    let known: Vec<_> = settings.domains.keys().map(String::as_str).collect();
    let example = known.first().copied().unwrap_or("porto-a");
    finder.require(
        !known.is_empty(),
        &[("domain", "")],
        || "at least one failure domain is required".to_owned(),
        "[domain porto-a]",
    );
    let mut check = |section: &str, key: &'static str, name: &str, example: &str| {
        if !known.is_empty() && !known.contains(&name) {
            let reason = format!(
                "there is no [domain {name}]; known are {}",
                known.join(", ")
            );
            finder.add(&[(section, key), ("domain", "")], reason, example);
        }
    };
    check(
        "daemon",
        "failure_domain",
        &settings.daemon.failure_domain,
        example,
    );
    for (name, server) in &settings.servers {
        check(
            &format!("server {name}"),
            "failure_domain",
            &server.failure_domain,
            example,
        );
    }
    for (name, store) in &settings.stores {
        check(
            &format!("store {name}"),
            "failure_domain",
            &store.failure_domain,
            example,
        );
    }
    for (name, service) in &settings.services {
        for server in &service.servers {
            let example = format!("{}@{example}", server.address);
            check(
                &format!("service {name}"),
                "servers",
                &server.failure_domain,
                &example,
            );
        }
    }
}

fn capacities(settings: &Settings, finder: &mut Finder) {
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
        finder.require(
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

fn models(settings: &Settings, finder: &mut Finder) {
    let known: Vec<_> = settings.models.keys().map(String::as_str).collect();
    for (name, server) in &settings.servers {
        for model in server
            .models
            .iter()
            .filter(|model| !known.contains(&model.as_str()))
        {
            finder.add(
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
        finder.require(
            served,
            &involved,
            || "no server runs this model".to_owned(),
            &format!("models = {name} in a [server NAME] section"),
        );
    }
}

fn addresses(settings: &Settings, finder: &mut Finder) {
    let daemon = &settings.daemon;
    finder.require(
        !daemon.advertise.ip().is_unspecified(),
        &[("daemon", "advertise"), ("daemon", "peer_listen")],
        || "peers cannot reach an unspecified address".to_owned(),
        "10.1.0.11:8082",
    );
    let mut used: HashMap<SocketAddr, String> = HashMap::new();
    let mut claim = |section: &str, key: &'static str, address: SocketAddr| {
        let user = format!("{key} of [{section}]");
        if address.port() == 0 {
            return;
        }
        if let Some(other) = used.get(&address) {
            let reason = format!("{address} is also {other}");
            finder.add(&[(section, key)], reason, "another address");
        }
        used.insert(address, user);
    };
    claim("daemon", "listen", daemon.listen);
    claim("daemon", "admin_listen", daemon.admin_listen);
    claim("daemon", "peer_listen", daemon.peer_listen);
    for (name, server) in &settings.servers {
        claim(&format!("server {name}"), "address", server.address);
    }
    for (name, store) in &settings.stores {
        claim(&format!("store {name}"), "address", store.address);
    }
    for (name, service) in &settings.services {
        for server in &service.servers {
            claim(&format!("service {name}"), "servers", server.address);
        }
    }
}

/// One key that belongs to two names would make the author of a request ambiguous.
fn secrets(settings: &Settings, finder: &mut Finder) {
    let mut seen = HashMap::new();
    for (section, owners) in [("keys", &settings.keys), ("operators", &settings.operators)] {
        for (owner, hashes) in owners {
            for hash in hashes {
                if let Some((other_section, other)) = seen.insert(*hash, (section, owner)) {
                    let reason = format!(
                        "the key of {owner} is also the key of {other} in [{other_section}]"
                    );
                    finder.add(
                        &[(section, "")],
                        reason,
                        "a key of its own: `anvilgw key new`",
                    );
                }
            }
        }
    }
}
