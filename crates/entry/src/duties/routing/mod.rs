//! The routing duty: owns the router, the index shard and the circuit breakers of this daemon.

mod imports;
mod worker;

pub(crate) use worker::RoutingSetup;

use super::control::SharedBudgets;
use super::deliver::deliver;
use anvilgw_core::{Clock, DomainId, ErrorKind, Failure, ServerId, Stage, StoreId};
use anvilgw_kernel::{Journal, Sender, StopSignal, WorkerThread, bounded_channel};
use anvilgw_router::{
    BlockKey, BlockListing, CacheEvent, Choice, Explanation, Hint, Holder, LoadReport, Location,
    ReservationId, RouteRequest, SendOutcome, ShortKey,
};
use std::io;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Messages that may wait for the duty.
const RING_CAPACITY: usize = 8192;

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
    /// Ends when earlier requests have imported blocks that this one counts on. `None` if there are
    /// none.
    pub(crate) import_wait: Option<oneshot::Receiver<()>>,
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
    import: Option<Import>,
    /// Whether the import yielded a block, once that is known.
    import_usable: Option<bool>,
    keys: Vec<BlockKey>,
}

/// An import that a request was sent with.
struct Import {
    from: Holder,
    reservation: ReservationId,
    keys: Vec<ShortKey>,
}

impl Dispatch {
    /// Sets the outcome that is reported when the dispatch is dropped. Without it the request counts
    /// as cancelled.
    pub(crate) fn set_outcome(&mut self, outcome: SendOutcome) {
        if let Some(end) = &mut self.end {
            end.outcome = outcome;
        }
    }

    /// Notes that the engine has started to answer, by when it has imported what it could. Requests
    /// that wait for the blocks go on.
    pub(crate) fn import_ended(&self) {
        let Some(end) = &self.end else { return };
        if let Some(import) = &end.import {
            let message = Message::ImportEnded(end.server, import.keys.clone());
            deliver(&self.messages, message);
        }
    }

    /// Notes whether the import yielded a block, which counts for the circuit breaker of the link.
    pub(crate) fn set_import_usable(&mut self, usable: bool) {
        if let Some(end) = &mut self.end {
            end.import_usable = Some(usable);
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
    ImportEnded(ServerId, Vec<ShortKey>),
    Report(ServerId, LoadReport),
    Events(Location, Vec<CacheEvent>),
    Listing(Location, BlockListing),
    StoresOf {
        keys: Vec<ShortKey>,
        reply: oneshot::Sender<Vec<Vec<StoreId>>>,
    },
    LinkUsable(Holder, bool),
    LinkShare(f64),
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
        stop: StopSignal,
    ) -> io::Result<(Self, WorkerThread)> {
        let (messages, receiver) = bounded_channel(RING_CAPACITY);
        let own_messages = messages.clone();
        let duty = WorkerThread::spawn("routing", stop, move |stop| {
            worker::Worker::new(setup, budgets, clock, journal, own_messages).run(&receiver, &stop);
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
    pub(crate) fn listing(&self, location: Location, listing: BlockListing) {
        let _ = self.messages.send(Message::Listing(location, listing));
    }

    /// Stores that hold each block, as far as the index knows.
    pub(crate) async fn stores_of(&self, keys: Vec<ShortKey>) -> Vec<Vec<StoreId>> {
        let (reply, answer) = oneshot::channel();
        if self
            .messages
            .send(Message::StoresOf { keys, reply })
            .is_err()
        {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }

    /// Notes whether a link can be used.
    pub(crate) fn set_link_usable(&self, holder: Holder, usable: bool) {
        // The next poll repeats a message that finds no room.
        let _ = self.messages.send(Message::LinkUsable(holder, usable));
    }

    /// Sets this daemon's part of the rate of every link.
    pub(crate) fn set_link_share(&self, share: f64) {
        deliver(&self.messages, Message::LinkShare(share));
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
