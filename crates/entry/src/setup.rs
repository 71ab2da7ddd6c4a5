//! What the services start with, derived from the settings.

use crate::backends;
use crate::daemon::Base;
use crate::duties::claims::{ClaimsSetup, append_burst};
use crate::duties::control::{ControlSetup, Streams};
use crate::duties::routing::RoutingSetup;
use anvilgw_admission::AdmissionSettings;
use anvilgw_claims::KeyAgeLimits;
use anvilgw_config::Settings;
use anvilgw_fleet::Contact;
use rand::RngExt;
use std::time::Duration;

/// Entries of the index: 51 bytes each, so 103 MB of the 256 MB that control may take.
const INDEX_CAPACITY: usize = 2_000_000;

pub(crate) fn control_setup(base: &Base) -> ControlSetup {
    let settings = &base.settings;
    let own = Contact {
        id: base.daemon,
        address: settings.daemon.advertise,
        domain: settings
            .domain_id(&settings.daemon.failure_domain)
            .unwrap_or_default(),
    };
    ControlSetup {
        own,
        hints: settings.instances.seeds.clone(),
        streams: Streams {
            config: settings.log.stream_name("config"),
            snapshots: settings.log.stream_name("config-snapshot"),
            epochs: settings.log.stream_name("epochs"),
            leases: settings.log.stream_name("leases"),
        },
        retention: Duration::from_secs(settings.log.retention_s),
        seed: rand::rng().random(),
    }
}

/// The slots of a daemon cover the capacity of all backend servers: while others are idle, one daemon
/// may use the whole fleet. Engines queue the rest by their own limits.
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

pub(crate) fn routing_setup(base: &Base) -> RoutingSetup {
    RoutingSetup {
        router: backends::router(&base.settings),
        links: backends::links(&base.settings),
        servers: backends::server_specs(&base.settings),
        domains: backends::domains(&base.settings),
        index_capacity: INDEX_CAPACITY,
        seed: rand::rng().random(),
    }
}

pub(crate) fn claims_setup(base: &Base) -> ClaimsSetup {
    let claims = &base.settings.claims;
    let margin_ms = claims.margin_s * 1_000;
    ClaimsSetup {
        daemon: base.daemon,
        partitions: claims.partitions.max(1),
        stream_prefix: base.settings.log.stream_name("claims"),
        min_interval: Duration::from_millis(claims.min_interval_ms),
        append_burst: append_burst(claims),
        grace_ms: claims.grace_ms,
        age: KeyAgeLimits {
            margin_ms,
            // The rest of the margin covers the difference between the clocks of two writers.
            max_future_ms: margin_ms / 2,
        },
        retention: Duration::from_secs(base.settings.log.retention_s),
    }
}
