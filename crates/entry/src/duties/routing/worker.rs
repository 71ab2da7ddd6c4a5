//! State and thread of the routing worker.

use super::imports::ImportWaiters;
use super::{
    DispatchEnd, DispatchGuard, Import, ImportBlock, Message, RouteQuery, RouteRefusal,
    RouteSelection, ServerStatus,
};
use crate::duties::control::{BudgetKind, SharedBudgets};
use anvilgw_core::{Clock, DomainId, ModelId, ServerId, Stage, StoreId};
use anvilgw_fleet::Split;
use anvilgw_kernel::{EventKind, Journal, Receiver, RecvTimeoutError, Sender, StopSignal};
use anvilgw_router::{
    BlockChange, BlockKey, BreakerState, Choice, Explanation, Hint, Holder, IndexShard, LinkRates,
    Location, PrefixMatch, RecentBlocks, RouteRequest, Router, SendOutcome, ServerChange,
    ServerSpec, ShortKey, WarmUpChange, leading_hints,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval at which the router, the index and the budgets for cold servers are updated.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of blocks of this daemon's recent requests that are recorded.
const RECENT_CAPACITY: usize = 65_536;
/// Time for which the blocks of a routed prompt are recorded. By then, its cache events have
/// arrived.
const RECENT_LIFETIME: Duration = Duration::from_secs(10);

/// Parameters of the routing worker.
pub(crate) struct RoutingSetup {
    /// Router without any servers.
    pub(crate) router: Router,
    /// Links of the servers and stores with their full rates, of which each daemon gets a share.
    pub(crate) links: Vec<(Holder, LinkRates)>,
    /// Specifications of the backend servers.
    pub(crate) servers: Vec<ServerSpec>,
    /// All failure domains of the settings.
    pub(crate) domains: Vec<DomainId>,
    /// Maximum number of entries in the index shard.
    pub(crate) index_capacity: usize,
    /// Seed of the random generator that the router uses.
    pub(crate) seed: u64,
}

/// State of the routing worker, owned by its thread.
pub(super) struct Worker {
    router: Router,
    links: Vec<(Holder, LinkRates)>,
    /// Fraction of each link's rate that this daemon may use.
    link_share: f64,
    servers: Vec<ServerSpec>,
    domains: Vec<DomainId>,
    index: IndexShard,
    recent: RecentBlocks,
    imports: ImportWaiters,
    budgets: Arc<SharedBudgets>,
    rng: SmallRng,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
    messages: Sender<Message>,
}

impl Worker {
    pub(super) fn new(
        setup: RoutingSetup,
        budgets: Arc<SharedBudgets>,
        clock: Arc<dyn Clock>,
        journal: Arc<Journal>,
        messages: Sender<Message>,
    ) -> Self {
        let mut router = setup.router;
        for spec in &setup.servers {
            router.set_server(spec.clone());
        }
        let mut worker = Self {
            router,
            links: setup.links,
            link_share: 0.0,
            servers: setup.servers,
            domains: setup.domains,
            index: IndexShard::new(setup.index_capacity),
            recent: RecentBlocks::new(RECENT_CAPACITY, RECENT_LIFETIME),
            imports: ImportWaiters::default(),
            budgets,
            rng: SmallRng::seed_from_u64(setup.seed),
            clock,
            journal,
            messages,
        };
        worker.set_links();
        worker
    }

    /// Passes the links to the router with this daemon's share of their rates, so that all daemons
    /// together stay within the rates.
    fn set_links(&mut self) {
        for (holder, rates) in &self.links {
            let share = LinkRates {
                bytes_per_s: rates.bytes_per_s * self.link_share,
                ..*rates
            };
            self.router.set_link(*holder, share);
        }
    }

    fn set_link_usable(&mut self, holder: Holder, usable: bool) {
        let link = self.links.iter_mut().find(|(other, _)| *other == holder);
        if let Some((_, rates)) = link
            && rates.usable != usable
        {
            rates.usable = usable;
            self.set_links();
        }
    }

    fn stores_of(&mut self, keys: &[ShortKey]) -> Vec<Vec<StoreId>> {
        let store = |hint: Hint| match hint.location {
            Location::Store(store, _) => Some(store),
            Location::Server(_) => None,
        };
        keys.iter()
            .map(|key| self.index.lookup(*key).filter_map(store).collect())
            .collect()
    }

    pub(super) fn run(mut self, messages: &Receiver<Message>, stop: &StopSignal) {
        let mut next_tick = Duration::ZERO;
        while !stop.is_raised() {
            match messages.recv_timeout(TICK_INTERVAL) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.uptime();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                self.router.tick(now);
                self.index.tick(now);
                self.imports.expire(now);
                self.update_cold_budgets();
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.uptime();
        match message {
            Message::Select { query, reply } => {
                // If the caller has disconnected, the selection is dropped here with its guard,
                // which ends the dispatch.
                let _ = reply.send(self.select(query, now));
            }
            Message::DispatchEnded(end) => self.on_dispatch_ended(&end, now),
            Message::ImportEnded(server, keys) => self.imports.end(server, &keys),
            Message::RequestSilent(server) => {
                let change = self.router.on_request_silent(server, now);
                self.record_change(server, change, "silence during a request");
            }
            Message::LoadReport(server, report) => {
                let change = self.router.on_load_report(server, report, now);
                self.record_change(server, change, "load report");
            }
            Message::CacheEvents(location, events) => {
                for event in events {
                    if let (Location::Server(server), BlockChange::Removed) =
                        (location, event.change)
                    {
                        self.recent.remove(server, event.key);
                    }
                    self.index.apply(location, event, now);
                }
            }
            Message::Listing(location, listing) => self.index.apply_listing(location, &listing),
            Message::StoresOf { keys, reply } => {
                let _ = reply.send(self.stores_of(&keys));
            }
            Message::SetLinkUsable(holder, usable) => self.set_link_usable(holder, usable),
            Message::SetLinkShare(share) => {
                if share != self.link_share {
                    self.link_share = share;
                    self.set_links();
                }
            }
            Message::SetOutOfService {
                domains_out,
                servers_out,
            } => self.set_out_of_service(&domains_out, &servers_out),
            Message::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn select(
        &mut self,
        query: RouteQuery,
        now: Duration,
    ) -> Result<RouteSelection, Box<RouteRefusal>> {
        let short_keys: Vec<_> = query.keys.iter().map(BlockKey::short).collect();
        let hints = self.hints(&short_keys, now);
        let mut prefix = PrefixMatch::from_hints(&hints);
        prefix.importing_from = self.importing_from(&short_keys, now);
        let (choice, explanation) = self.choose(&query.request, &prefix, now)?;
        let server = choice.server;
        let in_place = (choice.plan.in_place_blocks as usize).min(short_keys.len());
        let import_wait = self.import_wait(server, &short_keys[..in_place], now);
        let model = query.request.model;
        let (imports, import) = self.reserve_import(model, &choice, &query.keys, &hints, now);
        self.router
            .on_request_sent(server, choice.plan.prefill_tokens, now);
        self.record_blocks(&choice, &short_keys, import.as_ref(), now);
        Ok(RouteSelection {
            choice,
            explanation,
            imports,
            import_wait,
            dispatch: DispatchGuard {
                messages: self.messages.clone(),
                end: Some(DispatchEnd {
                    server,
                    outcome: SendOutcome::Cancelled,
                    cold_permit: choice.needs_cold_permit,
                    import,
                    import_usable: None,
                    keys: query.keys,
                }),
            },
        })
    }

    /// Returns the position of the first block that any server is importing.
    fn importing_from(&self, keys: &[ShortKey], now: Duration) -> Option<u32> {
        let mut importing = keys
            .iter()
            .map(|key| self.recent.import_target(*key, now).is_some());
        let position = importing.position(|importing| importing)?;
        u32::try_from(position).ok()
    }

    /// Returns a receiver that resolves when the server has imported those of the `in_place` blocks
    /// that earlier requests are importing. `None` if there are none.
    fn import_wait(
        &mut self,
        server: ServerId,
        in_place: &[ShortKey],
        now: Duration,
    ) -> Option<oneshot::Receiver<()>> {
        let importing = |key: &&ShortKey| self.recent.import_target(**key, now) == Some(server);
        let keys: Vec<_> = in_place.iter().filter(importing).copied().collect();
        self.imports.wait(server, &keys)
    }

    /// Records which blocks the chosen server imports and which it computes.
    fn record_blocks(
        &mut self,
        choice: &Choice,
        keys: &[ShortKey],
        import: Option<&Import>,
        now: Duration,
    ) {
        let server = choice.server;
        let imported = import.map_or(&[][..], |import| &import.keys);
        if !imported.is_empty() {
            // The estimated time to the first token limits the wait for an import whose end is
            // never reported.
            let until = now + Duration::from_secs_f64(choice.ttft_ms.max(0.0) / 1e3);
            self.recent.record_import(server, imported, now, until);
            self.imports.start(server, imported, until);
        }
        let computed: Vec<_> = keys
            .iter()
            .filter(|key| !imported.contains(key))
            .copied()
            .collect();
        self.recent.record(server, &computed, now);
    }

    /// Chooses a server and acquires a permit if the server is cold. If the server's permits ran
    /// out since the last tick, the choice is repeated without the server.
    fn choose(
        &mut self,
        request: &RouteRequest,
        prefix: &PrefixMatch,
        now: Duration,
    ) -> Result<(Choice, Explanation), Box<RouteRefusal>> {
        loop {
            let decision = self.router.select(request, prefix, now, &mut self.rng);
            let choice = match decision.outcome {
                Ok(choice) => choice,
                Err(no_server) => {
                    self.request_cold_permits(request);
                    return Err(Box::new(RouteRefusal {
                        failure: no_server.failure(Stage::Queued),
                        explanation: Some(decision.explanation),
                    }));
                }
            };
            let kind = BudgetKind::ColdServer(choice.server);
            if !choice.needs_cold_permit || self.budgets.try_acquire(kind, 1) {
                if choice.needs_cold_permit {
                    self.update_cold_permits(choice.server);
                }
                return Ok((choice, decision.explanation));
            }
            self.router.set_cold_permits(choice.server, 0);
        }
    }

    /// Tries to acquire a permit for each cold server of the model that has none free. A failed
    /// attempt makes the budgets request share from other members.
    fn request_cold_permits(&mut self, request: &RouteRequest) {
        let cold = self
            .servers
            .iter()
            .filter(|spec| spec.served_model(request.model).is_some())
            .filter(|spec| self.router.cold_cause(spec.id).is_some());
        for spec in cold {
            let kind = BudgetKind::ColdServer(spec.id);
            if self.budgets.free(kind) == 0 && self.budgets.try_acquire(kind, 1) {
                self.budgets.release(kind, 1);
            }
        }
    }

    /// Returns the hints of the index and of recent requests for each block.
    fn hints(&mut self, keys: &[ShortKey], now: Duration) -> Vec<Option<Vec<Hint>>> {
        keys.iter()
            .map(|&key| {
                let mut hints: Vec<Hint> = self.index.lookup(key).collect();
                self.recent.add_hint(key, &mut hints, now);
                Some(hints)
            })
            .collect()
    }

    /// Reserves link bytes for the import that the choice plans. Without a reservation the server
    /// computes the blocks instead.
    fn reserve_import(
        &mut self,
        model: ModelId,
        choice: &Choice,
        keys: &[BlockKey],
        hints: &[Option<Vec<Hint>>],
        now: Duration,
    ) -> (Vec<ImportBlock>, Option<Import>) {
        let Some(import) = choice.plan.import else {
            return (Vec::new(), None);
        };
        let spec = self.servers.iter().find(|spec| spec.id == choice.server);
        let Some(served) = spec.and_then(|spec| spec.served_model(model)) else {
            return (Vec::new(), None);
        };
        let bytes = served.sizes.bytes(import.blocks);
        let Ok(reservation) = self.router.reserve_import(&import, bytes, now) else {
            return (Vec::new(), None);
        };
        let first = import.first_block as usize;
        let last = first + import.blocks as usize;
        let blocks: Vec<_> = leading_hints(import.from, hints)
            .into_iter()
            .zip(keys)
            .map(|(hint, key)| ImportBlock { key: *key, hint })
            .skip(first)
            .take(last - first)
            .collect();
        let import = Import {
            from: import.from,
            reservation: reservation.id,
            keys: blocks.iter().map(|block| block.key.short()).collect(),
        };
        (blocks, Some(import))
    }

    fn on_dispatch_ended(&mut self, end: &DispatchEnd, now: Duration) {
        let change = self.router.on_request_ended(end.server, end.outcome, now);
        self.record_change(end.server, change, "outcome of a request");
        if end.cold_permit {
            self.budgets.release(BudgetKind::ColdServer(end.server), 1);
            self.update_cold_permits(end.server);
        }
        if let Some(import) = &end.import {
            self.imports.end(end.server, &import.keys);
            self.on_import_ended(import, end.import_usable, now);
        }
        match end.outcome {
            SendOutcome::Completed => {
                let short_keys: Vec<_> = end.keys.iter().map(BlockKey::short).collect();
                self.recent.record(end.server, &short_keys, now);
            }
            SendOutcome::Overloaded | SendOutcome::Failed => self.recent.clear_server(end.server),
            SendOutcome::Cancelled => {}
        }
    }

    /// Returns the link bytes of an import. The circuit breaker of the link counts the result only
    /// if `usable` is known, because a request that failed or was cancelled may not have used the
    /// link.
    fn on_import_ended(&mut self, import: &Import, usable: Option<bool>, now: Duration) {
        let Some(usable) = usable else {
            return self
                .router
                .release_import(import.from, import.reservation, now);
        };
        let change = self
            .router
            .on_import_ended(import.from, import.reservation, usable, now);
        if change == Some(BreakerState::Open) {
            self.record(
                EventKind::BreakerOpened,
                &link_name(import.from),
                "failed imports",
            );
        }
    }

    fn set_out_of_service(&mut self, domains_out: &[DomainId], servers_out: &[ServerId]) {
        for domain in &self.domains {
            let in_service = !domains_out.contains(domain);
            self.router.set_domain_in_service(*domain, in_service);
        }
        for spec in &self.servers {
            let in_service = !servers_out.contains(&spec.id);
            self.router.set_in_service(spec.id, in_service);
        }
    }

    fn update_cold_permits(&mut self, server: ServerId) {
        let free = self.budgets.free(BudgetKind::ColdServer(server));
        let free = u32::try_from(free).unwrap_or(u32::MAX);
        self.router.set_cold_permits(server, free);
    }

    /// Sets the capacity of the budgets for cold servers. It follows the load reports of the
    /// servers, which all daemons read.
    fn update_cold_budgets(&mut self) {
        let servers: Vec<_> = self.servers.iter().map(|spec| spec.id).collect();
        for server in servers {
            let capacity = self.router.capacity(server).unwrap_or(0);
            let kind = BudgetKind::ColdServer(server);
            self.budgets
                .set_capacity(kind, Split::Owner, capacity.into());
            self.update_cold_permits(server);
        }
    }

    fn record_change(&self, server: ServerId, change: ServerChange, evidence: &str) {
        let subject = format!("backend server {server}");
        match change.warm_up {
            Some(WarmUpChange::Cold(cause)) => {
                let evidence = format!("{cause:?} by {evidence}");
                self.record(EventKind::ServerCold, &subject, &evidence);
            }
            Some(WarmUpChange::Warm) => self.record(EventKind::ServerWarm, &subject, evidence),
            None => {}
        }
        match change.breaker {
            Some(BreakerState::Open) => self.record(EventKind::BreakerOpened, &subject, evidence),
            Some(BreakerState::Closed) => self.record(EventKind::BreakerClosed, &subject, evidence),
            _ => {}
        }
    }

    fn record(&self, kind: EventKind, subject: &str, cause: &str) {
        self.journal
            .record(self.clock.wall_ms(), kind, subject, cause);
    }

    fn status(&self) -> Vec<ServerStatus> {
        let now = self.clock.uptime();
        self.servers
            .iter()
            .map(|spec| ServerStatus {
                server: spec.id,
                capacity: self.router.capacity(spec.id).unwrap_or(0),
                own_running: self.router.own_running(spec.id),
                cold: self.router.cold_cause(spec.id),
                cold_share: self.budgets.share(BudgetKind::ColdServer(spec.id)),
                breaker: match self.router.breaker_state(spec.id, now) {
                    Some(BreakerState::Open) => "open",
                    Some(BreakerState::HalfOpen) => "half-open",
                    _ => "closed",
                },
            })
            .collect()
    }
}

fn link_name(holder: Holder) -> String {
    match holder {
        Holder::Server(server) => format!("link of backend server {server}"),
        Holder::Store(store) => format!("link of store {store}"),
    }
}
