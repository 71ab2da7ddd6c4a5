//! Builds the state that all request handlers share.

use super::StartError;
use super::services::{ServiceDependencies, Services};
use crate::context::{Context, WorkspaceCounts, new_retry_budget};
use crate::explain::ExplainStore;
use crate::keys::KeyTable;
use crate::observe::{LogTarget, Metrics, Tracing, logger};
use anvilgw_config::{KeyHash, Output, Settings};
use indexmap::IndexMap;
use spdlog::{Level, Logger};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};

/// Builds the context from the settings and the services.
pub(super) fn build_context(
    dependencies: &ServiceDependencies,
    services: &Services,
) -> Result<Context, StartError> {
    let settings = &dependencies.settings;
    let logger = open_log(settings, "anvilgw", &settings.logging.output)?;
    let trace_log = match &settings.trace.output {
        Output::None => None,
        output => Some(open_log(settings, "trace", output)?),
    };
    let metrics = Metrics::new(&settings.metrics, settings.daemon.index)?;
    Ok(Context {
        daemon: dependencies.daemon,
        clock: Arc::clone(&dependencies.clock),
        journal: Arc::clone(&dependencies.journal),
        metrics: Arc::new(metrics),
        tracing: Arc::new(Tracing::new(trace_log, settings.trace.sample_percent)),
        logger,
        workspace_keys: key_table(&settings.keys),
        operator_keys: key_table(&settings.operators),
        backends: Arc::clone(&services.backends),
        admission: Arc::clone(&services.admission),
        routing: Arc::clone(&services.routing),
        block_export: Arc::clone(&services.block_export),
        claims: Arc::clone(&services.claims),
        quarantine: Arc::clone(&services.quarantine),
        control: Arc::clone(&services.control),
        budgets: Arc::clone(&services.budgets),
        peers: Arc::clone(&services.peers),
        explain: ExplainStore::default(),
        retry_budget: new_retry_budget(dependencies.clock.uptime()),
        last_attempt: AtomicU64::new(0),
        open_requests: Arc::new(AtomicUsize::new(0)),
        workspace_requests: WorkspaceCounts::new(settings.keys.len()),
        workspace_streams: WorkspaceCounts::new(settings.keys.len()),
        config_applied: AtomicBool::new(false),
        draining: AtomicBool::new(false),
        settings: Arc::clone(settings),
    })
}

fn open_log(settings: &Settings, name: &str, output: &Output) -> Result<Arc<Logger>, StartError> {
    let level_name = &settings.logging.level;
    let level = Level::iter()
        .find(|level| level.as_str().eq_ignore_ascii_case(level_name))
        .ok_or_else(|| StartError::LogLevel(level_name.clone()))?;
    let target = match output {
        Output::None => LogTarget::Discard,
        Output::Stderr => LogTarget::Stderr,
        Output::File(path) => LogTarget::File(path.clone()),
    };
    Ok(logger(name, level, &target)?)
}

fn key_table(keys: &IndexMap<String, Vec<KeyHash>>) -> KeyTable {
    KeyTable::new(
        (0..)
            .zip(keys.values())
            .flat_map(|(index, hashes)| hashes.iter().map(move |hash| (*hash, index))),
    )
}
