//! The routing service, whose worker owns the router, the index shard and the circuit breakers of
//! this daemon.

mod imports;
mod worker;

pub(crate) use worker::RoutingSetup;

use super::control::SharedBudgets;
use super::send::send_until_accepted;
use anvilgw_core::{Clock, DomainId, ErrorKind, Failure, ServerId, Stage, StoreId};
use anvilgw_kernel::{Journal, Sender, StopSignal, WorkerThread, bounded_channel};
use anvilgw_router::{
    BlockKey, BlockListing, CacheEvent, Choice, Explanation, Hint, Holder, LoadReport, Location,
    ReservationId, RouteRequest, SendOutcome, ShortKey,
};
use std::io;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Number of messages that may wait for the worker.
const CHANNEL_CAPACITY: usize = 8192;

/// Query for the backend server on which a request should run.
pub(crate) struct RouteQuery {
    /// What the router has to know about the request, such as its model and the servers tried
    /// before.
    pub(crate) request: RouteRequest,
    /// Block keys of the prompt, in the order of the prompt.
    pub(crate) keys: Vec<BlockKey>,
}

/// A block that the chosen server imports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ImportBlock {
    /// Key of the block.
    pub(crate) key: BlockKey,
    /// Server or store that is expected to hold the block.
    pub(crate) hint: Hint,
}

/// Server that was chosen for a [`RouteQuery`].
pub(crate) struct RouteSelection {
    /// The chosen server, with the plan for the blocks of the prompt.
    pub(crate) choice: Choice,
    /// Reasons for the choice, for `explain`.
    pub(crate) explanation: Explanation,
    /// Blocks that the server imports before it computes the rest.
    pub(crate) imports: Vec<ImportBlock>,
    /// Resolves when earlier requests have imported the blocks that this one expects to find on the
    /// server. `None` if no such import is under way.
    pub(crate) import_wait: Option<oneshot::Receiver<()>>,
    /// Counts the request as running on the server until it is dropped.
    pub(crate) dispatch: DispatchGuard,
}

/// Result of a [`RouteQuery`] for which no server can take the request.
pub(crate) struct RouteRefusal {
    /// Failure to return to the caller.
    pub(crate) failure: Failure,
    /// Reasons for the refusal; `None` if the worker did not reply.
    pub(crate) explanation: Option<Explanation>,
}

/// Guard of a request that was sent to a server. The request counts as running there until the
/// guard is dropped.
pub(crate) struct DispatchGuard {
    messages: Sender<Message>,
    end: Option<DispatchEnd>,
}

/// What the worker has to know when a dispatch ends.
struct DispatchEnd {
    server: ServerId,
    outcome: SendOutcome,
    /// Whether the request holds a permit for a cold server.
    cold_permit: bool,
    import: Option<Import>,
    /// Whether the import yielded at least one block; `None` while that is not known.
    import_usable: Option<bool>,
    keys: Vec<BlockKey>,
}

/// The import that a request was sent with.
struct Import {
    from: Holder,
    reservation: ReservationId,
    keys: Vec<ShortKey>,
}

impl DispatchGuard {
    /// Sets the outcome that is reported when the guard is dropped. Without an outcome the request
    /// counts as cancelled.
    pub(crate) fn set_outcome(&mut self, outcome: SendOutcome) {
        if let Some(end) = &mut self.end {
            end.outcome = outcome;
        }
    }

    /// Reports that the import of the request has ended, which is the case when the engine starts
    /// to answer. Requests that wait for the imported blocks are resumed.
    pub(crate) fn report_import_ended(&self) {
        let Some(end) = &self.end else { return };
        if let Some(import) = &end.import {
            let message = Message::ImportEnded(end.server, import.keys.clone());
            send_until_accepted(&self.messages, message);
        }
    }

    /// Reports that the server has fallen silent, although the request still runs there.
    pub(crate) fn report_silence(&self) {
        if let Some(end) = &self.end {
            send_until_accepted(&self.messages, Message::RequestSilent(end.server));
        }
    }

    /// Sets whether the import yielded a block. The circuit breaker of the link counts this result.
    pub(crate) fn set_import_usable(&mut self, usable: bool) {
        if let Some(end) = &mut self.end {
            end.import_usable = Some(usable);
        }
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            send_until_accepted(&self.messages, Message::DispatchEnded(end));
        }
    }
}

enum Message {
    Select {
        query: RouteQuery,
        reply: oneshot::Sender<Result<RouteSelection, Box<RouteRefusal>>>,
    },
    DispatchEnded(DispatchEnd),
    ImportEnded(ServerId, Vec<ShortKey>),
    RequestSilent(ServerId),
    LoadReport(ServerId, LoadReport),
    CacheEvents(Location, Vec<CacheEvent>),
    Listing(Location, BlockListing),
    StoresOf {
        keys: Vec<ShortKey>,
        reply: oneshot::Sender<Vec<Vec<StoreId>>>,
    },
    SetLinkUsable(Holder, bool),
    SetLinkShare(f64),
    SetOutOfService {
        domains_out: Vec<DomainId>,
        servers_out: Vec<ServerId>,
    },
    Status(oneshot::Sender<Vec<ServerStatus>>),
}

/// State of one backend server, for the status of the daemon.
#[derive(Clone, Debug)]
pub(crate) struct ServerStatus {
    /// Identifier of the server.
    pub(crate) server: ServerId,
    /// Number of concurrent requests that the server sustains now.
    pub(crate) capacity: u32,
    /// Number of requests from this daemon that run on the server.
    pub(crate) own_running: u32,
    /// Reason why the server is cold; `None` if it is warm.
    pub(crate) cold: Option<anvilgw_router::ColdCause>,
    /// This daemon's share of the permits for the server while it is cold.
    pub(crate) cold_share: u64,
    /// State of the server's circuit breaker: `closed`, `half-open` or `open`.
    pub(crate) breaker: &'static str,
}

/// Handle through which other services and request handlers reach the routing worker.
pub(crate) struct RoutingService {
    messages: Sender<Message>,
}

impl RoutingService {
    /// Starts the worker thread.
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
        let (messages, receiver) = bounded_channel(CHANNEL_CAPACITY);
        let own_messages = messages.clone();
        let worker_thread = WorkerThread::spawn("routing", stop, move |stop| {
            worker::Worker::new(setup, budgets, clock, journal, own_messages).run(&receiver, &stop);
        })?;
        Ok((Self { messages }, worker_thread))
    }

    /// Chooses a server and counts the request as running there.
    ///
    /// # Errors
    ///
    /// Returns a failure at stage `Queued` if no server can take the request or the worker does not
    /// reply.
    pub(crate) async fn select(
        &self,
        query: RouteQuery,
    ) -> Result<RouteSelection, Box<RouteRefusal>> {
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::Select { query, reply });
        let answer = match sent {
            Ok(()) => answer.await.ok(),
            Err(_) => None,
        };
        answer.unwrap_or_else(|| {
            let detail = "routing is overloaded";
            Err(Box::new(RouteRefusal {
                failure: Failure::new(ErrorKind::Overloaded, Stage::Queued, detail),
                explanation: None,
            }))
        })
    }

    /// Sends a load report of a server to the worker.
    pub(crate) fn send_load_report(&self, server: ServerId, report: LoadReport) {
        // If the channel is full, the report is dropped and the next one replaces it.
        let _ = self.messages.send(Message::LoadReport(server, report));
    }

    /// Sends cache events of a server to the worker, in their order.
    pub(crate) fn send_cache_events(&self, location: Location, events: Vec<CacheEvent>) {
        // If the channel is full, the events are dropped and the index sees a gap in their
        // sequence.
        let _ = self.messages.send(Message::CacheEvents(location, events));
    }

    /// Sends the complete list of the blocks of a store or engine to the worker.
    pub(crate) fn send_block_listing(&self, location: Location, listing: BlockListing) {
        let _ = self.messages.send(Message::Listing(location, listing));
    }

    /// Returns for each key the stores that hold its block according to the index. The list is
    /// empty if the worker does not reply.
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

    /// Sets whether blocks may be imported over the link of a server or store.
    pub(crate) fn set_link_usable(&self, holder: Holder, usable: bool) {
        // If the channel is full, the next poll repeats the message.
        let _ = self.messages.send(Message::SetLinkUsable(holder, usable));
    }

    /// Sets the fraction of each link's rate that this daemon may use, from 0 to 1.
    pub(crate) fn set_link_share(&self, share: f64) {
        send_until_accepted(&self.messages, Message::SetLinkShare(share));
    }

    /// Sets the failure domains and backend servers that are out of service. All others are in
    /// service.
    pub(crate) fn set_out_of_service(
        &self,
        domains_out: Vec<DomainId>,
        servers_out: Vec<ServerId>,
    ) {
        let message = Message::SetOutOfService {
            domains_out,
            servers_out,
        };
        send_until_accepted(&self.messages, message);
    }

    /// Returns the state of all backend servers. The list is empty if the worker does not reply.
    pub(crate) async fn status(&self) -> Vec<ServerStatus> {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::Status(reply)).is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}
