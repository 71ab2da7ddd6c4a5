//! The routing duty: owns the router, the index shard and the circuit breakers of this daemon.

use super::control::{BudgetKind, SharedBudgets};
use super::deliver::deliver;
use anvilgw_core::{Clock, DomainId, ErrorKind, Failure, ModelId, ServerId, Stage};
use anvilgw_fleet::Split;
use anvilgw_kernel::{Duty, EventKind, Journal, Receiver, RecvTimeoutError, Sender, Stop, ring};
use anvilgw_router::{
    BlockKey, BreakerState, CacheEvent, Choice, Explanation, Hint, Holder, IndexShard, Listing,
    LoadReport, Location, PrefixMatch, RecentBlocks, ReservationId, RouteRequest, Router,
    SendOutcome, ServerChange, ServerSpec, TemperatureChange, hints_of,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Messages that may wait for the duty.
const RING_CAPACITY: usize = 8192;
/// Interval of housekeeping.
const TICK: Duration = Duration::from_millis(50);
/// Blocks of own recent requests.
const RECENT_CAPACITY: usize = 65_536;
/// Time after which cache events of a routed prompt have arrived.
const RECENT_LIFETIME: Duration = Duration::from_secs(10);

/// Question of a request: where should it run?
pub(crate) struct Query {
    /// Model and limits of the choice.
    pub(crate) request: RouteRequest,
    /// Block keys of the prompt.
    pub(crate) keys: Vec<BlockKey>,
}

/// One block to import.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ImportBlock {
    /// The block.
    pub(crate) key: BlockKey,
    /// Where it is.
    pub(crate) hint: Hint,
}

/// Answer to a [`Query`].
pub(crate) struct Selected {
    /// The chosen server.
    pub(crate) choice: Choice,
    /// Why it was chosen.
    pub(crate) explanation: Explanation,
    /// Blocks that the server imports.
    pub(crate) imports: Vec<ImportBlock>,
    /// Accounts for the request until it is dropped.
    pub(crate) dispatch: Dispatch,
}

/// No server can take the request.
pub(crate) struct Refused {
    /// What the caller is told.
    pub(crate) failure: Failure,
    /// Why, unless the duty did not answer.
    pub(crate) explanation: Option<Explanation>,
}

/// A request that counts as running on its server until this is dropped.
pub(crate) struct Dispatch {
    messages: Sender<Message>,
    end: Option<End>,
}

struct End {
    server: ServerId,
    outcome: SendOutcome,
    cold_permit: bool,
    reservation: Option<(Holder, ReservationId)>,
    keys: Vec<BlockKey>,
}

impl Dispatch {
    /// Sets the outcome that is reported when the dispatch is dropped. Without it the request counts
    /// as cancelled.
    pub(crate) fn set_outcome(&mut self, outcome: SendOutcome) {
        if let Some(end) = &mut self.end {
            end.outcome = outcome;
        }
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            deliver(&self.messages, Message::Ended(end));
        }
    }
}

enum Message {
    Select {
        query: Query,
        reply: oneshot::Sender<Result<Selected, Box<Refused>>>,
    },
    Ended(End),
    Report(ServerId, LoadReport),
    Events(Location, Vec<CacheEvent>),
    Listing(Location, Listing),
    Service {
        domains_out: Vec<DomainId>,
        servers_out: Vec<ServerId>,
    },
    Status(oneshot::Sender<Vec<ServerStatus>>),
}

/// State of one backend server, for `status`.
#[derive(Clone, Debug)]
pub(crate) struct ServerStatus {
    /// Number of the server.
    pub(crate) server: ServerId,
    /// Requests that it sustains now.
    pub(crate) capacity: u32,
    /// Requests of this daemon that it runs.
    pub(crate) own_running: u32,
    /// Why it is cold.
    pub(crate) cold: Option<anvilgw_router::ColdCause>,
    /// This daemon's permits while it is cold.
    pub(crate) cold_share: u64,
    /// State of its circuit breaker.
    pub(crate) breaker: &'static str,
}

/// Handle of the routing duty.
pub(crate) struct RoutingService {
    messages: Sender<Message>,
}

impl RoutingService {
    /// Starts the duty.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub(crate) fn start(
        setup: RoutingSetup,
        budgets: Arc<SharedBudgets>,
        clock: Arc<dyn Clock>,
        journal: Arc<Journal>,
        stop: Stop,
    ) -> io::Result<(Self, Duty)> {
        let (messages, receiver) = ring(RING_CAPACITY);
        let own_messages = messages.clone();
        let duty = Duty::spawn("routing", stop, move |stop| {
            Worker::new(setup, budgets, clock, journal, own_messages).run(&receiver, &stop);
        })?;
        Ok((Self { messages }, duty))
    }

    /// Chooses a server and counts the request as running there.
    ///
    /// # Errors
    ///
    /// A failure at stage `Queued` if no server can take the request.
    pub(crate) async fn select(&self, query: Query) -> Result<Selected, Box<Refused>> {
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::Select { query, reply });
        let answer = match sent {
            Ok(()) => answer.await.ok(),
            Err(_) => None,
        };
        answer.unwrap_or_else(|| {
            let detail = "routing does not keep up";
            Err(Box::new(Refused {
                failure: Failure::new(ErrorKind::Overloaded, Stage::Queued, detail),
                explanation: None,
            }))
        })
    }

    /// Passes on a load report.
    pub(crate) fn report(&self, server: ServerId, report: LoadReport) {
        // A lost report is replaced by the next one.
        let _ = self.messages.send(Message::Report(server, report));
    }

    /// Passes on cache events.
    pub(crate) fn events(&self, location: Location, events: Vec<CacheEvent>) {
        // Lost events show as a gap in the sequence.
        let _ = self.messages.send(Message::Events(location, events));
    }

    /// Passes on a listing of a store or an engine.
    pub(crate) fn listing(&self, location: Location, listing: Listing) {
        let _ = self.messages.send(Message::Listing(location, listing));
    }

    /// Replaces the lists of what is out of service.
    pub(crate) fn set_out_of_service(
        &self,
        domains_out: Vec<DomainId>,
        servers_out: Vec<ServerId>,
    ) {
        let message = Message::Service {
            domains_out,
            servers_out,
        };
        deliver(&self.messages, message);
    }

    /// State of all servers.
    pub(crate) async fn status(&self) -> Vec<ServerStatus> {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::Status(reply)).is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

/// What the duty starts with.
pub(crate) struct RoutingSetup {
    /// The router with its links.
    pub(crate) router: Router,
    /// The backend servers.
    pub(crate) servers: Vec<ServerSpec>,
    /// All failure domains.
    pub(crate) domains: Vec<DomainId>,
    /// Entries of the index shard.
    pub(crate) index_capacity: usize,
    /// Seed of random choices.
    pub(crate) seed: u64,
}

struct Worker {
    router: Router,
    servers: Vec<ServerSpec>,
    domains: Vec<DomainId>,
    index: IndexShard,
    recent: RecentBlocks,
    budgets: Arc<SharedBudgets>,
    rng: SmallRng,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
    messages: Sender<Message>,
}

impl Worker {
    fn new(
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
        Self {
            router,
            servers: setup.servers,
            domains: setup.domains,
            index: IndexShard::new(setup.index_capacity),
            recent: RecentBlocks::new(RECENT_CAPACITY, RECENT_LIFETIME),
            budgets,
            rng: SmallRng::seed_from_u64(setup.seed),
            clock,
            journal,
            messages,
        }
    }

    fn run(mut self, messages: &Receiver<Message>, stop: &Stop) {
        let mut next_tick = Duration::ZERO;
        while !stop.is_raised() {
            match messages.recv_timeout(TICK) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.uptime();
            if now >= next_tick {
                next_tick = now + TICK;
                self.router.tick(now);
                self.index.tick(now);
                self.update_cold_budgets();
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.uptime();
        match message {
            Message::Select { query, reply } => {
                // A caller that has gone drops the dispatch, which ends it again.
                let _ = reply.send(self.select(query, now));
            }
            Message::Ended(end) => self.ended(&end, now),
            Message::Report(server, report) => {
                let change = self.router.on_report(server, report, now);
                self.note_change(server, change, "load report");
            }
            Message::Events(location, events) => {
                for event in events {
                    self.index.apply(location, event, now);
                }
            }
            Message::Listing(location, listing) => self.index.apply_listing(location, &listing),
            Message::Service {
                domains_out,
                servers_out,
            } => self.set_out_of_service(&domains_out, &servers_out),
            Message::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn select(&mut self, query: Query, now: Duration) -> Result<Selected, Box<Refused>> {
        let hints = self.hints(&query.keys, now);
        let prefix = PrefixMatch::assemble(&hints);
        let (choice, explanation) = self.choose(&query.request, &prefix, now)?;
        let (imports, reservation) =
            self.reserve_import(query.request.model, &choice, &query.keys, &hints, now);
        let server = choice.server;
        self.router.on_sent(server, choice.plan.prefill_tokens, now);
        let short: Vec<_> = query.keys.iter().map(BlockKey::short).collect();
        self.recent.note(server, &short, now);
        Ok(Selected {
            choice,
            explanation,
            imports,
            dispatch: Dispatch {
                messages: self.messages.clone(),
                end: Some(End {
                    server,
                    outcome: SendOutcome::Cancelled,
                    cold_permit: choice.needs_cold_permit,
                    reservation,
                    keys: query.keys,
                }),
            },
        })
    }

    /// Chooses a server and takes a permit if it is cold. A permit that went away since the last tick
    /// takes the server out of the choice.
    fn choose(
        &mut self,
        request: &RouteRequest,
        prefix: &PrefixMatch,
        now: Duration,
    ) -> Result<(Choice, Explanation), Box<Refused>> {
        loop {
            let decision = self.router.select(request, prefix, now, &mut self.rng);
            let choice = match decision.outcome {
                Ok(choice) => choice,
                Err(none) => {
                    self.ask_for_permits(request);
                    return Err(Box::new(Refused {
                        failure: none.failure(Stage::Queued),
                        explanation: Some(decision.explanation),
                    }));
                }
            };
            let kind = BudgetKind::Cold(choice.server);
            if !choice.needs_cold_permit || self.budgets.try_take(kind, 1) {
                if choice.needs_cold_permit {
                    self.update_permits(choice.server);
                }
                return Ok((choice, decision.explanation));
            }
            self.router.set_cold_permits(choice.server, 0);
        }
    }

    /// Failed attempts to take a permit make the budgets ask other members for share.
    fn ask_for_permits(&mut self, request: &RouteRequest) {
        let cold = self
            .servers
            .iter()
            .filter(|spec| spec.served(request.model).is_some())
            .filter(|spec| self.router.cold_cause(spec.id).is_some());
        for spec in cold {
            let kind = BudgetKind::Cold(spec.id);
            if self.budgets.free(kind) == 0 && self.budgets.try_take(kind, 1) {
                self.budgets.release(kind, 1);
            }
        }
    }

    fn hints(&mut self, keys: &[BlockKey], now: Duration) -> Vec<Option<Vec<Hint>>> {
        keys.iter()
            .map(|key| {
                let short = key.short();
                let mut hints: Vec<Hint> = self.index.lookup(short).collect();
                self.recent.extend(short, &mut hints, now);
                Some(hints)
            })
            .collect()
    }

    /// Reserves link bytes for the import of a choice. Without a reservation the server computes the
    /// blocks instead.
    fn reserve_import(
        &mut self,
        model: ModelId,
        choice: &Choice,
        keys: &[BlockKey],
        hints: &[Option<Vec<Hint>>],
        now: Duration,
    ) -> (Vec<ImportBlock>, Option<(Holder, ReservationId)>) {
        let Some(import) = choice.plan.import else {
            return (Vec::new(), None);
        };
        let spec = self.servers.iter().find(|spec| spec.id == choice.server);
        let Some(served) = spec.and_then(|spec| spec.served(model)) else {
            return (Vec::new(), None);
        };
        let bytes = served.sizes.bytes(import.blocks);
        let Ok(reservation) = self.router.reserve_import(&import, bytes, now) else {
            return (Vec::new(), None);
        };
        let first = import.first_block as usize;
        let last = first + import.blocks as usize;
        let blocks = hints_of(import.from, hints)
            .into_iter()
            .zip(keys)
            .map(|(hint, key)| ImportBlock { key: *key, hint })
            .skip(first)
            .take(last - first)
            .collect();
        (blocks, Some((import.from, reservation.id)))
    }

    fn ended(&mut self, end: &End, now: Duration) {
        let change = self.router.on_ended(end.server, end.outcome, now);
        self.note_change(end.server, change, "outcome of a request");
        if end.cold_permit {
            self.budgets.release(BudgetKind::Cold(end.server), 1);
            self.update_permits(end.server);
        }
        if let Some((holder, reservation)) = end.reservation {
            let completed = end.outcome == SendOutcome::Completed;
            let change = self
                .router
                .on_import_ended(holder, reservation, completed, now);
            if change == Some(BreakerState::Open) {
                self.note(
                    EventKind::BreakerOpened,
                    &format!("link {holder:?}"),
                    "failed imports",
                );
            }
        }
        match end.outcome {
            SendOutcome::Completed => {
                let short: Vec<_> = end.keys.iter().map(BlockKey::short).collect();
                self.recent.note(end.server, &short, now);
            }
            SendOutcome::Overloaded | SendOutcome::Failed => self.recent.forget_server(end.server),
            SendOutcome::Cancelled => {}
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

    fn update_permits(&mut self, server: ServerId) {
        let free = self.budgets.free(BudgetKind::Cold(server));
        let free = u32::try_from(free).unwrap_or(u32::MAX);
        self.router.set_cold_permits(server, free);
    }

    /// The capacity of a cold server follows its reports, which all daemons read.
    fn update_cold_budgets(&mut self) {
        let servers: Vec<_> = self.servers.iter().map(|spec| spec.id).collect();
        for server in servers {
            let capacity = self.router.capacity(server).unwrap_or(0);
            let kind = BudgetKind::Cold(server);
            self.budgets
                .set_capacity(kind, Split::Owner, capacity.into());
            self.update_permits(server);
        }
    }

    fn note_change(&self, server: ServerId, change: ServerChange, evidence: &str) {
        let subject = format!("backend server {server}");
        match change.temperature {
            Some(TemperatureChange::Cold(cause)) => {
                let evidence = format!("{cause:?} by {evidence}");
                self.note(EventKind::ServerCold, &subject, &evidence);
            }
            Some(TemperatureChange::Warm) => self.note(EventKind::ServerWarm, &subject, evidence),
            None => {}
        }
        match change.breaker {
            Some(BreakerState::Open) => self.note(EventKind::BreakerOpened, &subject, evidence),
            Some(BreakerState::Closed) => self.note(EventKind::BreakerClosed, &subject, evidence),
            _ => {}
        }
    }

    fn note(&self, kind: EventKind, subject: &str, cause: &str) {
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
                cold_share: self.budgets.share(BudgetKind::Cold(spec.id)),
                breaker: match self.router.breaker_state(spec.id, now) {
                    Some(BreakerState::Open) => "open",
                    Some(BreakerState::HalfOpen) => "half-open",
                    _ => "closed",
                },
            })
            .collect()
    }
}
