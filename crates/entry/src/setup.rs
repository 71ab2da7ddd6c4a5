//! Derives the parameters of the services from the settings.

use crate::backends;
use crate::daemon::ServiceDependencies;
use crate::duties::claims::{ClaimsSetup, append_burst};
use crate::duties::control::{ControlSetup, StreamNames};
use crate::duties::routing::RoutingSetup;
use anvilgw_admission::AdmissionSettings;
use anvilgw_claims::KeyAgeLimits;
use anvilgw_config::Settings;
use anvilgw_fleet::Contact;
use rand::RngExt;
use std::time::Duration;

/// Number of entries in the index shard. An entry takes 51 bytes, so the index takes 103 MB of the
/// 256 MB that the control functions may use.
const INDEX_CAPACITY: usize = 2_000_000;

pub(crate) fn control_setup(dependencies: &ServiceDependencies) -> ControlSetup {
    let settings = &dependencies.settings;
    let own = Contact {
        id: dependencies.daemon,
        address: settings.daemon.advertise,
        domain: settings
            .domain_id(&settings.daemon.failure_domain)
            .unwrap_or_default(),
    };
    ControlSetup {
        own,
        seed_addresses: settings.instances.seeds.clone(),
        streams: StreamNames {
            config: settings.log.stream_name("config"),
            snapshots: settings.log.stream_name("config-snapshot"),
            epochs: settings.log.stream_name("epochs"),
            leases: settings.log.stream_name("leases"),
        },
        retention: Duration::from_secs(settings.log.retention_s),
        seed: rand::rng().random(),
    }
}

/// Returns the settings of admission. The slots of a daemon cover the capacity of all backend
/// servers, because one daemon may use all of them while the others are idle. Engines queue further
/// requests by their own limits.
pub(crate) fn admission_settings(settings: &Settings) -> AdmissionSettings {
    let slots = settings
        .backend_servers()
        .map(|(_, server)| server.capacity_concurrency())
        .sum::<u32>();
    let service_tokens_per_s = settings
        .servers
        .values()
        .filter_map(|server| {
            let models = server.models.iter();
            let rates = models.filter_map(|model| settings.models.get(model));
            rates.map(|model| model.prefill_tokens_per_s).min()
        })
        .map(f64::from)
        .sum::<f64>();
    AdmissionSettings {
        slots: slots.max(1),
        service_tokens_per_s: service_tokens_per_s.max(1.0),
        ..AdmissionSettings::default()
    }
}

pub(crate) fn routing_setup(dependencies: &ServiceDependencies) -> RoutingSetup {
    RoutingSetup {
        router: backends::router(&dependencies.settings),
        links: backends::links(&dependencies.settings),
        servers: backends::server_specs(&dependencies.settings),
        domains: backends::domains(&dependencies.settings),
        index_capacity: INDEX_CAPACITY,
        seed: rand::rng().random(),
    }
}

pub(crate) fn claims_setup(dependencies: &ServiceDependencies) -> ClaimsSetup {
    let claims = &dependencies.settings.claims;
    let margin_ms = claims.margin_s * 1_000;
    ClaimsSetup {
        daemon: dependencies.daemon,
        partitions: claims.partitions.max(1),
        stream_prefix: dependencies.settings.log.stream_name("claims"),
        min_interval: Duration::from_millis(claims.min_interval_ms),
        append_burst: append_burst(claims),
        grace_ms: claims.grace_ms,
        age: KeyAgeLimits {
            margin_ms,
            // The other half of the margin covers the difference between the clocks of two writers.
            max_future_ms: margin_ms / 2,
        },
        retention: Duration::from_secs(dependencies.settings.log.retention_s),
    }
}
