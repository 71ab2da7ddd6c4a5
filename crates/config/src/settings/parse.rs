//! Conversion of an INI text into settings.

use super::contradictions::{self, Contradiction};
use super::{
    BudgetSettings, ClaimSettings, CostWeightSettings, DaemonSettings, DomainSettings,
    InstanceListSettings, KeyHash, LimitSettings, LogSettings, LoggingSettings, MetricsSettings,
    ModelSettings, Output, PathRule, ServerSettings, ServiceServer, ServiceSettings, Settings,
    StoreSettings, TraceSettings, UndatedKeys,
};
use crate::fault::Faults;
use crate::ini::{Document, Section};
use crate::spec::{SETTINGS, SectionValues, ValidatedDocument, parse_service_server, split_list};
use indexmap::IndexMap;

/// Parses and validates settings. All faults are collected; a contradiction is left out if one of
/// the values that it is between has a fault already.
pub(super) fn parse(text: &str) -> Result<Settings, Faults> {
    let ValidatedDocument { document, faults } = ValidatedDocument::new(text, SETTINGS);
    let validated = ValidatedDocument { document, faults };
    let settings = read_settings(&validated.document);
    let involves_no_fault = |contradiction: &Contradiction| {
        let mut involved = contradiction.involved.iter();
        !involved.any(|(section, key)| validated.has_fault(section, key))
    };
    let found: Vec<_> = contradictions::find(&settings)
        .into_iter()
        .filter(involves_no_fault)
        .collect();
    let mut faults = validated.faults;
    for mut contradiction in found {
        let fault = &mut contradiction.fault;
        fault.line = validated.document.line_of(&fault.section, &fault.key);
        faults.push(contradiction.fault);
    }
    Faults::into_result(faults).map(|()| settings)
}

/// Returns a `[daemon]` section with default times; all other fields are zero or empty.
pub(super) fn default_daemon() -> DaemonSettings {
    read_daemon(&SectionValues::new(SETTINGS, "daemon", None))
}

/// Returns a `[log]` section with default values and without addresses.
pub(super) fn default_log() -> LogSettings {
    read_log(&SectionValues::new(SETTINGS, "log", None))
}

/// Implements `Default` for sections that may be missing in the settings file.
macro_rules! defaults {
    ($($section:literal => $read:ident: $settings:ty;)*) => {
        $(impl Default for $settings {
            fn default() -> Self {
                $read(&SectionValues::new(SETTINGS, $section, None))
            }
        })*
    };
}

// Default values are defined in `SETTINGS` only.
defaults! {
    "limits" => read_limits: LimitSettings;
    "instances" => read_instances: InstanceListSettings;
    "domain" => read_domain: DomainSettings;
    "weights" => read_weights: CostWeightSettings;
    "budgets" => read_budgets: BudgetSettings;
    "claims" => read_claims: ClaimSettings;
    "logging" => read_logging: LoggingSettings;
    "trace" => read_trace: TraceSettings;
    "metrics" => read_metrics: MetricsSettings;
}

fn read_settings(document: &Document) -> Settings {
    let section_values = |kind: &'static str| {
        let section = document
            .sections
            .iter()
            .find(|section| section.header == kind);
        SectionValues::new(SETTINGS, kind, section)
    };
    Settings {
        daemon: read_daemon(&section_values("daemon")),
        limits: read_limits(&section_values("limits")),
        log: read_log(&section_values("log")),
        instances: read_instances(&section_values("instances")),
        domains: read_named(document, "domain", read_domain),
        models: read_named(document, "model", read_model),
        servers: read_named(document, "server", read_server),
        services: read_named(document, "service", read_service),
        stores: read_named(document, "store", read_store),
        weights: read_weights(&section_values("weights")),
        budgets: read_budgets(&section_values("budgets")),
        claims: read_claims(&section_values("claims")),
        keys: read_key_hashes(document, "keys"),
        operators: read_key_hashes(document, "operators"),
        logging: read_logging(&section_values("logging")),
        trace: read_trace(&section_values("trace")),
        metrics: read_metrics(&section_values("metrics")),
    }
}

/// Reads all sections `[kind NAME]`, by name and in the order of the text.
fn read_named<T>(
    document: &Document,
    kind: &'static str,
    read: impl Fn(&SectionValues<'_>) -> T,
) -> IndexMap<String, T> {
    document
        .sections
        .iter()
        .filter(|section| section.kind() == kind)
        .filter_map(|section| {
            let values = SectionValues::new(SETTINGS, kind, Some(section));
            section.name().map(|name| (name.to_owned(), read(&values)))
        })
        .collect()
}

/// Reads a section whose keys are names of owners and whose values are lists of key hashes.
fn read_key_hashes(document: &Document, kind: &str) -> IndexMap<String, Vec<KeyHash>> {
    let section = document
        .sections
        .iter()
        .find(|section| section.header == kind);
    let entries = section.map_or(&[][..], |section: &Section| &section.entries);
    entries
        .iter()
        .map(|entry| {
            let hashes = split_list(&entry.value).filter_map(|hash| KeyHash::from_hex(hash).ok());
            (entry.key.clone(), hashes.collect())
        })
        .collect()
}

fn read_daemon(values: &SectionValues<'_>) -> DaemonSettings {
    let peer_listen = values.address("peer_listen");
    DaemonSettings {
        index: values.integer("index"),
        instance: values.string("instance"),
        failure_domain: values.string("failure_domain"),
        listen: values.address("listen"),
        admin_listen: values.address("admin_listen"),
        peer_listen,
        advertise: values.optional_address("advertise").unwrap_or(peer_listen),
        deadline_default_ms: values.integer("deadline_default_ms"),
        deadline_max_ms: values.integer("deadline_max_ms"),
        drain_ms: values.integer("drain_ms"),
        balancer_lag_ms: values.integer("balancer_lag_ms"),
    }
}

fn read_limits(values: &SectionValues<'_>) -> LimitSettings {
    LimitSettings {
        header_bytes: values.integer("header_bytes"),
        body_bytes: values.integer("body_bytes"),
        request_read_ms: values.integer("request_read_ms"),
        connections: values.integer("connections"),
        connections_per_workspace: values.integer("connections_per_workspace"),
        streams_per_workspace: values.integer("streams_per_workspace"),
        queue_ms: values.integer("queue_ms"),
        silence_ms: values.integer("silence_ms"),
    }
}

fn read_log(values: &SectionValues<'_>) -> LogSettings {
    LogSettings {
        addresses: values.addresses("addresses"),
        streams_prefix: values.string("streams_prefix"),
        retention_s: values.integer("retention_s"),
        appends_per_s: values.integer("appends_per_s"),
        request_ms: values.integer("request_ms"),
    }
}

fn read_instances(values: &SectionValues<'_>) -> InstanceListSettings {
    InstanceListSettings {
        addresses: values.addresses("addresses"),
        seeds: values.addresses("seeds"),
        poll_ms: values.integer("poll_ms"),
    }
}

fn read_domain(values: &SectionValues<'_>) -> DomainSettings {
    DomainSettings {
        region: values.string("region"),
    }
}

fn read_model(values: &SectionValues<'_>) -> ModelSettings {
    ModelSettings {
        weight_version: values.string("weight_version"),
        block_tokens: values.integer("block_tokens"),
        bytes_per_token: values.integer("bytes_per_token"),
        kv_bytes_per_token: values.integer("kv_bytes_per_token"),
        prefill_tokens_per_s: values.integer("prefill_tokens_per_s"),
        decode_ms_per_token: values.number("decode_ms_per_token"),
        adapters: values.names("adapters"),
    }
}

fn read_server(values: &SectionValues<'_>) -> ServerSettings {
    ServerSettings {
        address: values.address("address"),
        failure_domain: values.string("failure_domain"),
        models: values.names("models"),
        capacity_concurrency: values.integer("capacity_concurrency"),
        cold_concurrency: values.integer("cold_concurrency"),
        checks_fencing: values.yes_no("checks_fencing"),
        link_bytes_per_s: values.integer("link_bytes_per_s"),
    }
}

fn read_service(values: &SectionValues<'_>) -> ServiceSettings {
    let rules = |key| {
        split_list(values.text(key))
            .filter_map(PathRule::parse)
            .collect()
    };
    let servers = split_list(values.text("servers")).filter_map(|item| {
        let (address, domain) = parse_service_server(item).ok()?;
        Some(ServiceServer {
            address,
            failure_domain: domain.to_owned(),
        })
    });
    ServiceSettings {
        servers: servers.collect(),
        capacity_concurrency: values.integer("capacity_concurrency"),
        cold_concurrency: values.integer("cold_concurrency"),
        reports_load: values.yes_no("reports_load"),
        idempotent: rules("idempotent"),
        non_idempotent: rules("non_idempotent"),
    }
}

fn read_store(values: &SectionValues<'_>) -> StoreSettings {
    StoreSettings {
        address: values.address("address"),
        failure_domain: values.string("failure_domain"),
        link_bytes_per_s: values.integer("link_bytes_per_s"),
    }
}

fn read_weights(values: &SectionValues<'_>) -> CostWeightSettings {
    CostWeightSettings {
        ttft: values.number("ttft"),
        recompute: values.number("recompute"),
        link: values.number("link"),
    }
}

fn read_budgets(values: &SectionValues<'_>) -> BudgetSettings {
    BudgetSettings {
        weight_loads: values.integer("weight_loads"),
        retries_per_s: values.integer("retries_per_s"),
    }
}

fn read_claims(values: &SectionValues<'_>) -> ClaimSettings {
    ClaimSettings {
        partitions: values.integer("partitions"),
        min_interval_ms: values.integer("min_interval_ms"),
        lifetime_s: values.integer("lifetime_s"),
        margin_s: values.integer("margin_s"),
        undated_keys: match values.text("undated_keys") {
            "accept" => UndatedKeys::Accept,
            _ => UndatedKeys::Refuse,
        },
        grace_ms: values.integer("grace_ms"),
        appends_per_s: values.integer("appends_per_s"),
    }
}

fn read_output(text: &str) -> Output {
    match text {
        "none" => Output::None,
        "stderr" => Output::Stderr,
        path => Output::File(path.into()),
    }
}

fn read_logging(values: &SectionValues<'_>) -> LoggingSettings {
    LoggingSettings {
        level: values.string("level"),
        output: read_output(values.text("output")),
    }
}

fn read_trace(values: &SectionValues<'_>) -> TraceSettings {
    TraceSettings {
        output: read_output(values.text("output")),
        sample_percent: values.number("sample_percent"),
    }
}

fn read_metrics(values: &SectionValues<'_>) -> MetricsSettings {
    MetricsSettings {
        statsd_address: values.optional_address("statsd_address"),
        prefix: values.string("prefix"),
        interval_ms: values.integer("interval_ms"),
    }
}
