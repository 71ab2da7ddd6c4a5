//! The block export service: writes the KV cache blocks of completed prompts to stores, because
//! conversations often continue only after the blocks were evicted from accelerator memory.
//!
//! A lost export costs only the recomputation of its blocks, so prompts are dropped and counted
//! while the channel is full. One export runs at a time, so that a daemon loads a link with one
//! transfer.

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

/// Number of messages, mostly completed prompts, that may wait for the worker.
const CHANNEL_CAPACITY: usize = 256;
/// Longest sleep of the worker, after which it checks whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of exported blocks that are recorded until the listing of their store shows them.
const EXPORTED_CAPACITY: usize = 65_536;
/// Number of listings of a store after which an exported block must be listed. The first one may
/// have started before the export ended.
const LISTINGS_UNTIL_SHOWN: u64 = 2;
/// Time without progress after which a transfer is aborted.
const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A completed prompt whose blocks are sealed on an engine.
pub(crate) struct CompletedPrompt {
    /// Engine that holds the blocks.
    pub(crate) server: ServerId,
    /// Workspace whose request contained the prompt.
    pub(crate) workspace: WorkspaceId,
    /// Keys of the prompt's full blocks, in the order of the prompt.
    pub(crate) keys: Vec<BlockKey>,
    /// Size of a block in bytes.
    pub(crate) block_bytes: u64,
}

enum Message {
    PromptCompleted(CompletedPrompt),
    StoreState(StoreState),
}

/// Handle of the block export worker.
pub(crate) struct BlockExportService {
    messages: Sender<Message>,
}

/// Dependencies of the block export worker.
pub(crate) struct BlockExportDependencies {
    /// Settings of the daemon, which list models and stores.
    pub(crate) settings: Arc<Settings>,
    /// Backend servers with the clients that export their blocks.
    pub(crate) backends: Arc<Backends>,
    /// Knows which stores hold a block already.
    pub(crate) routing: Arc<RoutingService>,
    /// Runtime on which the clients run.
    pub(crate) runtime: Handle,
}

impl BlockExportService {
    /// Starts the worker thread.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub(crate) fn start(
        dependencies: BlockExportDependencies,
        stop: StopSignal,
    ) -> io::Result<(Self, WorkerThread)> {
        let (messages, receiver) = bounded_channel(CHANNEL_CAPACITY);
        let worker_thread = WorkerThread::spawn("keeping", stop, move |stop| {
            Worker::new(dependencies).run(&receiver, &stop);
        })?;
        Ok((Self { messages }, worker_thread))
    }

    /// Queues the blocks of a completed prompt for export. Returns false if the channel is full;
    /// the blocks are not exported then.
    pub(crate) fn enqueue(&self, prompt: CompletedPrompt) -> bool {
        self.messages.send(Message::PromptCompleted(prompt)).is_ok()
    }

    /// Sends the state of a store to the worker.
    pub(crate) fn send_store_state(&self, state: StoreState) {
        // If the channel is full, the next listing repeats the state.
        let _ = self.messages.send(Message::StoreState(state));
    }
}

struct Worker {
    placement: PlacementPolicy,
    stores: IndexMap<StoreId, StoreState>,
    /// Number of listings received from each store.
    listings: IndexMap<StoreId, u64>,
    /// Exported blocks with the number of listings that their store had sent at the time.
    exported: IndexMap<(ShortKey, StoreId), u64>,
    dependencies: BlockExportDependencies,
}

impl Worker {
    fn new(dependencies: BlockExportDependencies) -> Self {
        // Block sizes and prefill rates differ little between models, so those of the first are
        // used.
        let model = dependencies.settings.models.values().next();
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
            dependencies,
        }
    }

    fn run(mut self, messages: &Receiver<Message>, stop: &StopSignal) {
        while !stop.is_raised() {
            match messages.recv_timeout(STOP_CHECK_INTERVAL) {
                Ok(Message::PromptCompleted(prompt)) => self.export_prompt(&prompt),
                Ok(Message::StoreState(state)) => {
                    self.stores.insert(state.store, state);
                    *self.listings.entry(state.store).or_default() += 1;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn export_prompt(&mut self, prompt: &CompletedPrompt) {
        let Some(domain) = self.domain(prompt.server) else {
            return;
        };
        let short_keys: Vec<_> = prompt.keys.iter().map(BlockKey::short).collect();
        let routing = Arc::clone(&self.dependencies.routing);
        let stores_by_position = self
            .dependencies
            .runtime
            .block_on(routing.stores_of(short_keys.clone()));
        let stores: Vec<_> = self.stores.values().copied().collect();
        let mut exports: IndexMap<(StoreId, Tier), Vec<(ShortKey, String)>> = IndexMap::new();
        for (position, (key, short_key)) in prompt.keys.iter().zip(&short_keys).enumerate() {
            let block = SealedBlock {
                key: *short_key,
                generation: Generation(0),
                workspace: prompt.workspace,
                position: u32::try_from(position).unwrap_or(u32::MAX),
                prompt_blocks: u32::try_from(prompt.keys.len()).unwrap_or(u32::MAX),
                reused: false,
                server: prompt.server,
                domain,
            };
            let mut holding_stores = stores_by_position
                .get(position)
                .cloned()
                .unwrap_or_default();
            holding_stores.extend(self.recently_exported(*short_key, &stores));
            for action in
                self.placement
                    .decide(&block, prompt.block_bytes, &holding_stores, &stores)
            {
                // Stores cannot copy blocks to each other, so a copy is made by a second export.
                let (store, tier) = match action {
                    PlacementAction::Export { store, tier, .. } => (store, tier),
                    PlacementAction::Copy { to, tier, .. } => (to, tier),
                    PlacementAction::EvictFirst { .. } => continue,
                };
                exports
                    .entry((store, tier))
                    .or_default()
                    .push((*short_key, key.to_hex()));
            }
        }
        for ((store, tier), keys) in exports {
            self.export(prompt.server, store, tier, &keys);
        }
    }

    fn domain(&self, server: ServerId) -> Option<DomainId> {
        let backend = self.dependencies.backends.get(server)?;
        self.dependencies.settings.domain_id(&backend.domain)
    }

    fn export(
        &mut self,
        server: ServerId,
        store: StoreId,
        tier: Tier,
        keys: &[(ShortKey, String)],
    ) {
        let settings = self.dependencies.settings.stores.get_index(store.0.into());
        let backend = self
            .dependencies
            .backends
            .get(server)
            .map(|backend| &backend.kind);
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
            silence_timeout: Some(TRANSFER_IDLE_TIMEOUT),
            ..CallOptions::default()
        };
        let export = control.export_blocks(&names, Some((settings.address, tier)), &options);
        // A failed export is tried again when a request repeats the prompt.
        if let Ok(result) = self.dependencies.runtime.block_on(export) {
            for (short_key, name) in keys {
                if result.blocks.iter().any(|block| block.key == *name) {
                    self.record_export(*short_key, store);
                }
            }
        }
    }

    fn record_export(&mut self, key: ShortKey, store: StoreId) {
        if self.exported.len() >= EXPORTED_CAPACITY {
            self.exported.swap_remove_index(0);
        }
        let listings = self.listings.get(&store).copied().unwrap_or(0);
        self.exported.insert((key, store), listings);
    }

    /// Returns the stores to which a block was exported so recently that their listings may not
    /// show it yet. After that only the index is consulted, since a store may have lost the block.
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
