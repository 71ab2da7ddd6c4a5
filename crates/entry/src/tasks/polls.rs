//! Tasks that poll backend servers, stores and the list of instances.
//!
//! Polling makes no decisions. It runs as tasks on the runtime of the HTTP clients and passes what
//! it reads to the routing, block export and control services.

use crate::backends::BackendKind;
use crate::context::Context;
use crate::duties::quarantine::EnginePoll;
use anvilgw_core::{ServerId, StoreId};
use anvilgw_platform::{
    CacheChange, CacheEvents, CallOptions, ConnectionSettings, EngineControl, EngineLoad,
    InstanceListClient, InstanceState, ServiceClient, StoreClient, StoreListing, StoredBlock,
    Tier as StoreTier,
};
use anvilgw_router::{
    BlockChange, BlockKey, BlockListing, CacheEvent, Generation, Holder, LoadReport, Location,
    ShortKey, StoreState, Tier,
};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Interval at which the load of a server is polled while the fleet is small. Between two reports,
/// the router adds the requests that this daemon sends.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the cache events of an engine are polled while the fleet is small.
const EVENTS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the blocks of a store are listed while the fleet is small.
const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of blocks in one part of a store's listing.
const LISTING_PART_BLOCKS: u64 = 10_000;
/// Maximum rate of polls of one kind at a server, from all daemons together. In a fleet that would
/// exceed it, the intervals grow with the number of daemons.
const POLLS_PER_SERVER_PER_S: f64 = 80.0;
/// Width of the jitter as a fraction of the interval. It keeps daemons from polling in step.
const JITTER: f64 = 0.2;
/// Value of `kind` that marks entry daemons in the list of instances.
const DAEMON_KIND: &str = "entry";

/// Starts all polling tasks. They end when `stop` becomes true.
pub(crate) fn start(context: &Arc<Context>, stop: &watch::Receiver<bool>) {
    for backend in context.backends.iter() {
        match &backend.kind {
            BackendKind::Engine { control, .. } => {
                let (id, block_tokens) = (backend.id, block_tokens(context, backend.id));
                spawn(
                    poll_load(Arc::clone(context), id, control.clone(), block_tokens),
                    stop,
                );
                spawn(poll_events(Arc::clone(context), id, control.clone()), stop);
            }
            BackendKind::Service {
                client,
                reports_load,
            } => {
                let task = poll_service(
                    Arc::clone(context),
                    backend.id,
                    client.clone(),
                    *reports_load,
                );
                spawn(task, stop);
            }
        }
    }
    for index in 0..context.settings.stores.len() {
        spawn(poll_store(Arc::clone(context), index), stop);
    }
    if let Some(&address) = context.settings.instances.addresses.first() {
        let client = InstanceListClient::new(address, ConnectionSettings::default());
        spawn(poll_instances(Arc::clone(context), client), stop);
    }
}

fn spawn(task: impl Future<Output = ()> + Send + 'static, stop: &watch::Receiver<bool>) {
    let mut stop = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            _ = stop.wait_for(|stop| *stop) => {}
        }
    });
}

/// Returns the smallest block size of the server's models in tokens.
fn block_tokens(context: &Context, server: ServerId) -> u64 {
    let settings = &context.settings;
    let server = settings.servers.get_index(server.0 as usize);
    server
        .into_iter()
        .flat_map(|(_, server)| &server.models)
        .filter_map(|model| settings.models.get(model))
        .map(|model| model.block_tokens.into())
        .min()
        .unwrap_or(1)
}

/// Waits until the next poll of a server or store. The interval grows with the fleet, so that all
/// daemons together stay within [`POLLS_PER_SERVER_PER_S`].
async fn wait_for_next_poll(context: &Context, interval: Duration) {
    let daemons = context.control.view().members.len() as f64;
    let fleet_interval = Duration::from_secs_f64(daemons / POLLS_PER_SERVER_PER_S);
    sleep_with_jitter(interval.max(fleet_interval)).await;
}

async fn sleep_with_jitter(interval: Duration) {
    let factor = 1.0 + JITTER * (rand::rng().random::<f64>() - 0.5);
    tokio::time::sleep(interval.mul_f64(factor)).await;
}

async fn poll_load(
    context: Arc<Context>,
    server: ServerId,
    control: EngineControl,
    block_tokens: u64,
) {
    loop {
        let measured_at = context.clock.uptime();
        // After a failed poll the last report stays in force. If the engine is down, its circuit
        // breaker opens when requests fail.
        let poll = match control.load_report().await {
            Ok(load) => {
                let report = load_report(&load, measured_at, block_tokens);
                context.routing.send_load_report(server, report);
                EnginePoll::Started(load.start_ms)
            }
            Err(_) => EnginePoll::Unreachable,
        };
        context.quarantine.on_polled(server, poll, measured_at);
        wait_for_next_poll(&context, LOAD_INTERVAL).await;
    }
}

fn load_report(load: &EngineLoad, measured_at: Duration, block_tokens: u64) -> LoadReport {
    LoadReport {
        started_ms: load.start_ms,
        measured_at,
        queued_prefill_tokens: load.prefill_tokens,
        running: u32::try_from(load.running).unwrap_or(u32::MAX),
        waiting: u32::try_from(load.queued).unwrap_or(u32::MAX),
        completed: load.completed,
        overloads: 0,
        cached_blocks: load.cached_tokens / block_tokens.max(1),
        reported_warm: Some(load.warm),
    }
}

/// Polls the load of a plain service, which reports only how many calls it runs and has run. A
/// service without reports counts as started and idle, so whether it is cold follows from the
/// settings.
async fn poll_service(
    context: Arc<Context>,
    server: ServerId,
    client: ServiceClient,
    reports_load: bool,
) {
    if !reports_load {
        context
            .routing
            .send_load_report(server, LoadReport::default());
        return;
    }
    loop {
        let measured_at = context.clock.uptime();
        if let Ok(load) = client.load_report().await {
            let report = LoadReport {
                measured_at,
                running: u32::try_from(load.running).unwrap_or(u32::MAX),
                completed: load.executed,
                ..LoadReport::default()
            };
            context.routing.send_load_report(server, report);
        }
        wait_for_next_poll(&context, LOAD_INTERVAL).await;
    }
}

async fn poll_events(context: Arc<Context>, server: ServerId, control: EngineControl) {
    let location = Location::Server(server);
    let mut next = 0;
    let mut started_ms = 0;
    loop {
        if let Ok(events) = control.cache_events(next).await {
            if events.start_ms != started_ms {
                started_ms = events.start_ms;
                next = 0;
            }
            forward_cache_events(&context, location, &events);
            next = next.max(events.next);
        }
        wait_for_next_poll(&context, EVENTS_INTERVAL).await;
    }
}

fn forward_cache_events(context: &Context, location: Location, events: &CacheEvents) {
    let mut changes = Vec::with_capacity(events.events.len());
    for event in &events.events {
        let (key, change) = match &event.change {
            CacheChange::Stored { key } => (key, BlockChange::Stored),
            CacheChange::Evicted { key } => (key, BlockChange::Removed),
            CacheChange::Cleared => {
                changes.clear();
                let listing = BlockListing {
                    started_ms: events.start_ms,
                    next_sequence: event.sequence + 1,
                    blocks: Vec::new(),
                };
                context.routing.send_block_listing(location, listing);
                continue;
            }
        };
        let Some(key) = BlockKey::from_hex(key) else {
            continue;
        };
        changes.push(CacheEvent {
            started_ms: events.start_ms,
            sequence: event.sequence,
            key: key.short(),
            generation: Generation(0),
            change,
        });
    }
    if !changes.is_empty() {
        context.routing.send_cache_events(location, changes);
    }
}

/// Lists the blocks of a store periodically. The blocks become hints for routing, and the free
/// space is reported to the block export. Blocks are not imported from a store while it does not
/// answer.
async fn poll_store(context: Arc<Context>, index: usize) {
    let Some((_, settings)) = context.settings.stores.get_index(index) else {
        return;
    };
    let id = StoreId(u16::try_from(index).unwrap_or(u16::MAX));
    let domain = context.settings.domain_id(&settings.failure_domain);
    let client = StoreClient::new(
        settings.address,
        ConnectionSettings::default(),
        CallOptions::default(),
    );
    for poll in 1.. {
        let listed = list_store(&client).await;
        context
            .routing
            .set_link_usable(Holder::Store(id), listed.is_some());
        if let Some(listing) = &listed {
            for (tier, index_tier) in [
                (StoreTier::Memory, Tier::Memory),
                (StoreTier::Disk, Tier::Disk),
            ] {
                let blocks = listing.blocks.iter().filter(|block| block.tier == tier);
                let listing = BlockListing {
                    started_ms: 0,
                    next_sequence: poll,
                    blocks: blocks.filter_map(stored_block).collect(),
                };
                context
                    .routing
                    .send_block_listing(Location::Store(id, index_tier), listing);
            }
        }
        context.block_export.send_store_state(StoreState {
            store: id,
            domain: domain.unwrap_or_default(),
            memory_free_bytes: listed.as_ref().map_or(0, |listing| {
                listing
                    .memory_bytes
                    .saturating_sub(listing.memory_used_bytes)
            }),
            disk_free_bytes: listed.as_ref().map_or(0, |listing| {
                listing.disk_bytes.saturating_sub(listing.disk_used_bytes)
            }),
            usable: listed.is_some(),
        });
        wait_for_next_poll(&context, STORE_INTERVAL).await;
    }
}

async fn list_store(client: &StoreClient) -> Option<StoreListing> {
    let mut listing = client.list(0, LISTING_PART_BLOCKS).await.ok()?;
    while (listing.blocks.len() as u64) < listing.total {
        let from = listing.blocks.len() as u64;
        let more = client.list(from, LISTING_PART_BLOCKS).await.ok()?;
        if more.blocks.is_empty() {
            break;
        }
        listing.blocks.extend(more.blocks);
    }
    Some(listing)
}

fn stored_block(block: &StoredBlock) -> Option<(ShortKey, Generation)> {
    let key = BlockKey::from_hex(&block.key)?;
    Some((key.short(), Generation(block.generation)))
}

async fn poll_instances(context: Arc<Context>, client: InstanceListClient) {
    let interval = Duration::from_millis(context.settings.instances.poll_ms);
    loop {
        if let Ok(list) = client.list().await {
            let daemons = list
                .instances
                .into_iter()
                .filter(|entry| entry.kind == DAEMON_KIND && entry.state == InstanceState::Live)
                .map(|entry| entry.addr)
                .collect();
            context.control.add_seed_addresses(daemons);
        }
        sleep_with_jitter(interval).await;
    }
}
