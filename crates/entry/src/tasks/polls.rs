//! Tasks that poll backend servers and the list of instances.
//!
//! Polling is I/O without decisions, so it runs as tasks of the HTTP clients' runtime and hands what
//! it reads to the duties.

use crate::backends::BackendKind;
use crate::context::Context;
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

/// Interval of load reports while the fleet is small. The daemon corrects them by its own sends in
/// between.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of cache events while the fleet is small.
const EVENTS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of listing a store while the fleet is small.
const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// Blocks of one part of a listing.
const LISTING_MAX: u64 = 10_000;
/// Most polls of one kind that a server answers per second, from all daemons together. Above it the
/// intervals grow with the fleet.
const POLLS_PER_SERVER_PER_S: f64 = 80.0;
/// Jitter, as a part of the interval, so that daemons do not poll in step.
const JITTER: f64 = 0.2;
/// Kind of entry in the list of instances under which daemons are listed.
const DAEMON_KIND: &str = "entry";

/// Starts all polls. They end when `stop` turns true.
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

/// Tokens of the smallest block of the server's models.
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

/// Waits until the next poll of a backend server.
async fn pause_in_fleet(context: &Context, interval: Duration) {
    let daemons = context.control.view().members.len() as f64;
    let turn = Duration::from_secs_f64(daemons / POLLS_PER_SERVER_PER_S);
    pause(interval.max(turn)).await;
}

async fn pause(interval: Duration) {
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
        // A failed poll leaves the last report in place; breakers see the failing requests.
        if let Ok(load) = control.load().await {
            let report = report(&load, measured_at, block_tokens);
            context.routing.report(server, report);
        }
        pause_in_fleet(&context, LOAD_INTERVAL).await;
    }
}

fn report(load: &EngineLoad, measured_at: Duration, block_tokens: u64) -> LoadReport {
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

/// Plain services report only how many calls they run and have run. Services without reports count as
/// started and idle, so that their temperature follows from the settings.
async fn poll_service(
    context: Arc<Context>,
    server: ServerId,
    client: ServiceClient,
    reports_load: bool,
) {
    if !reports_load {
        context.routing.report(server, LoadReport::default());
        return;
    }
    loop {
        let measured_at = context.clock.uptime();
        if let Ok(load) = client.load().await {
            let report = LoadReport {
                measured_at,
                running: u32::try_from(load.running).unwrap_or(u32::MAX),
                completed: load.executed,
                ..LoadReport::default()
            };
            context.routing.report(server, report);
        }
        pause_in_fleet(&context, LOAD_INTERVAL).await;
    }
}

async fn poll_events(context: Arc<Context>, server: ServerId, control: EngineControl) {
    let location = Location::Server(server);
    let mut next = 0;
    let mut started_ms = 0;
    loop {
        if let Ok(events) = control.events(next).await {
            if events.start_ms != started_ms {
                started_ms = events.start_ms;
                next = 0;
            }
            deliver(&context, location, &events);
            next = next.max(events.next);
        }
        pause_in_fleet(&context, EVENTS_INTERVAL).await;
    }
}

fn deliver(context: &Context, location: Location, events: &CacheEvents) {
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
                context.routing.listing(location, listing);
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
        context.routing.events(location, changes);
    }
}

/// Lists a store again and again. Its blocks become hints, its free space a target of exports; a store
/// that does not answer is not imported from until it does.
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
            for (tier, place) in [
                (StoreTier::Memory, Tier::Memory),
                (StoreTier::Disk, Tier::Disk),
            ] {
                let blocks = listing.blocks.iter().filter(|block| block.tier == tier);
                let listing = BlockListing {
                    started_ms: 0,
                    next_sequence: poll,
                    blocks: blocks.filter_map(stored_block).collect(),
                };
                context.routing.listing(Location::Store(id, place), listing);
            }
        }
        context.block_export.store(StoreState {
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
        pause_in_fleet(&context, STORE_INTERVAL).await;
    }
}

async fn list_store(client: &StoreClient) -> Option<StoreListing> {
    let mut all = client.list(0, LISTING_MAX).await.ok()?;
    while (all.blocks.len() as u64) < all.total {
        let from = all.blocks.len() as u64;
        let more = client.list(from, LISTING_MAX).await.ok()?;
        if more.blocks.is_empty() {
            break;
        }
        all.blocks.extend(more.blocks);
    }
    Some(all)
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
            context.control.add_hints(daemons);
        }
        pause(interval).await;
    }
}
