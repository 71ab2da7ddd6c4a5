//! The keeping duty: writes blocks of completed prompts to stores, because callers return only after
//! the blocks were evicted from accelerator memory.
//!
//! A lost export costs only a recompute, so a full ring drops and counts. One export runs at a time, so
//! that a daemon takes one transfer's worth of a link.

use super::routing::RoutingService;
use crate::backends::{BackendKind, Backends};
use anvilgw_config::Settings;
use anvilgw_core::{DomainId, ServerId, StoreId, WorkspaceId};
use anvilgw_kernel::{
    Receiver, RecvTimeoutError, Sender, StopSignal, WorkerThread, bounded_channel,
};
use anvilgw_platform::{CallOptions, Tier as StoreTier};
use anvilgw_router::{
    BlockKey, Generation, PlacementAction, PlacementPolicy, PlacementSettings, SealedBlock,
    ShortKey, StoreState, Tier,
};
use indexmap::IndexMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Prompts that may wait.
const RING_CAPACITY: usize = 256;
/// Sleep after which the duty notices a stop.
const WAIT: Duration = Duration::from_millis(100);
/// Keys remembered as exported, until the listing of the store shows them.
const EXPORTED_CAPACITY: usize = 65_536;
/// Listings of a store after which an exported block is shown: one may have been under way.
const LISTINGS_UNTIL_SHOWN: u64 = 2;
/// Longest time without progress of a transfer.
const TRANSFER_SILENCE: Duration = Duration::from_secs(10);

/// A completed prompt whose blocks are sealed on an engine.
pub(crate) struct CompletedPrompt {
    /// The engine.
    pub(crate) server: ServerId,
    /// The workspace.
    pub(crate) workspace: WorkspaceId,
    /// Keys of the full blocks.
    pub(crate) keys: Vec<BlockKey>,
    /// Bytes of a block.
    pub(crate) block_bytes: u64,
}

enum Message {
    Completed(CompletedPrompt),
    Store(StoreState),
}

/// Handle of the keeping duty.
pub(crate) struct KeepingService {
    messages: Sender<Message>,
}

/// What the duty uses.
pub(crate) struct KeepingParts {
    /// Settings.
    pub(crate) settings: Arc<Settings>,
    /// Clients of the engines.
    pub(crate) backends: Arc<Backends>,
    /// Which blocks are in stores already.
    pub(crate) routing: Arc<RoutingService>,
    /// Runtime of the clients.
    pub(crate) runtime: Handle,
}

impl KeepingService {
    /// Starts the duty.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub(crate) fn start(parts: KeepingParts, stop: StopSignal) -> io::Result<(Self, WorkerThread)> {
        let (messages, receiver) = bounded_channel(RING_CAPACITY);
        let duty = WorkerThread::spawn("keeping", stop, move |stop| {
            Worker::new(parts).run(&receiver, &stop);
        })?;
        Ok((Self { messages }, duty))
    }

    /// Offers the blocks of a completed prompt. Returns false if they are not kept for lack of room.
    pub(crate) fn completed(&self, prompt: CompletedPrompt) -> bool {
        self.messages.send(Message::Completed(prompt)).is_ok()
    }

    /// Passes on the state of a store.
    pub(crate) fn store(&self, state: StoreState) {
        // The next listing repeats a state that finds no room.
        let _ = self.messages.send(Message::Store(state));
    }
}

struct Worker {
    placement: PlacementPolicy,
    stores: IndexMap<StoreId, StoreState>,
    /// Listings seen of each store.
    listings: IndexMap<StoreId, u64>,
    /// Exported blocks with the number of listings of the store at that time.
    exported: IndexMap<(ShortKey, StoreId), u64>,
    parts: KeepingParts,
}

impl Worker {
    fn new(parts: KeepingParts) -> Self {
        // Blocks and rates differ little between models; the first stands for all.
        let model = parts.settings.models.values().next();
        let settings = model.map_or_else(PlacementSettings::default, |model| PlacementSettings {
            prefill_tokens_per_s: model.prefill_tokens_per_s.into(),
            block_tokens: model.block_tokens,
            ..PlacementSettings::default()
        });
        Self {
            placement: PlacementPolicy::new(settings),
            stores: IndexMap::new(),
            listings: IndexMap::new(),
            exported: IndexMap::new(),
            parts,
        }
    }

    fn run(mut self, messages: &Receiver<Message>, stop: &StopSignal) {
        while !stop.is_raised() {
            match messages.recv_timeout(WAIT) {
                Ok(Message::Completed(prompt)) => self.keep(&prompt),
                Ok(Message::Store(state)) => {
                    self.stores.insert(state.store, state);
                    *self.listings.entry(state.store).or_default() += 1;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn keep(&mut self, prompt: &CompletedPrompt) {
        let Some(domain) = self.domain(prompt.server) else {
            return;
        };
        let short: Vec<_> = prompt.keys.iter().map(BlockKey::short).collect();
        let routing = Arc::clone(&self.parts.routing);
        let held = self
            .parts
            .runtime
            .block_on(routing.stores_of(short.clone()));
        let stores: Vec<_> = self.stores.values().copied().collect();
        let mut exports: IndexMap<(StoreId, Tier), Vec<(ShortKey, String)>> = IndexMap::new();
        for (position, (key, short)) in prompt.keys.iter().zip(&short).enumerate() {
            let block = SealedBlock {
                key: *short,
                generation: Generation(0),
                workspace: prompt.workspace,
                position: u32::try_from(position).unwrap_or(u32::MAX),
                prompt_blocks: u32::try_from(prompt.keys.len()).unwrap_or(u32::MAX),
                reused: false,
                server: prompt.server,
                domain,
            };
            let mut kept = held.get(position).cloned().unwrap_or_default();
            kept.extend(self.recently_exported(*short, &stores));
            for action in self
                .placement
                .decide(&block, prompt.block_bytes, &kept, &stores)
            {
                // Stores do not copy between each other, so a copy is a second export.
                let (store, tier) = match action {
                    PlacementAction::Export { store, tier, .. } => (store, tier),
                    PlacementAction::Copy { to, tier, .. } => (to, tier),
                    PlacementAction::EvictFirst { .. } => continue,
                };
                exports
                    .entry((store, tier))
                    .or_default()
                    .push((*short, key.to_hex()));
            }
        }
        for ((store, tier), keys) in exports {
            self.export(prompt.server, store, tier, &keys);
        }
    }

    fn domain(&self, server: ServerId) -> Option<DomainId> {
        let backend = self.parts.backends.get(server)?;
        self.parts.settings.domain_id(&backend.domain)
    }

    fn export(
        &mut self,
        server: ServerId,
        store: StoreId,
        tier: Tier,
        keys: &[(ShortKey, String)],
    ) {
        let settings = self.parts.settings.stores.get_index(store.0.into());
        let backend = self.parts.backends.get(server).map(|backend| &backend.kind);
        let (Some((_, settings)), Some(BackendKind::Engine { control, .. })) = (settings, backend)
        else {
            return;
        };
        let tier = match tier {
            Tier::Memory => StoreTier::Memory,
            Tier::Disk => StoreTier::Disk,
        };
        let names: Vec<_> = keys.iter().map(|(_, name)| name.clone()).collect();
        let options = CallOptions {
            silence: Some(TRANSFER_SILENCE),
            ..CallOptions::default()
        };
        let export = control.export(&names, Some((settings.address, tier)), &options);
        // A failed export is tried again when the prompt returns.
        if let Ok(result) = self.parts.runtime.block_on(export) {
            for (short, name) in keys {
                if result.blocks.iter().any(|block| block.key == *name) {
                    self.remember(*short, store);
                }
            }
        }
    }

    fn remember(&mut self, key: ShortKey, store: StoreId) {
        if self.exported.len() >= EXPORTED_CAPACITY {
            self.exported.swap_remove_index(0);
        }
        let listings = self.listings.get(&store).copied().unwrap_or(0);
        self.exported.insert((key, store), listings);
    }

    /// Stores to which a block was exported so recently that their listings may not show it. Later the
    /// index counts alone, since a store may have lost the block.
    fn recently_exported(&self, key: ShortKey, stores: &[StoreState]) -> Vec<StoreId> {
        let is_recent = |store: &StoreId| {
            let exported = self.exported.get(&(key, *store));
            let listings = self.listings.get(store).copied().unwrap_or(0);
            exported.is_some_and(|at| listings < at + LISTINGS_UNTIL_SHOWN)
        };
        let stores = stores.iter().map(|state| state.store);
        stores.filter(is_recent).collect()
    }
}
