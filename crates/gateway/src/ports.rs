//! Interfaces to the platform. The gateway decides; an implementation of these translates.

use crate::caches::{CacheEvents, CachedPart};
use crate::configuration::Configuration;
use crate::groups::Member;
use crate::request::{AnswerMeta, ForwardMeta, RequestMeta, ServerNotice};
use crate::server::{ServedModel, ServerEntry};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, StatusCode};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Translates heads of requests and answers.
pub trait Codec {
    /// Reads the head of a client's request.
    fn request(&self, headers: &HeaderMap) -> RequestMeta;

    /// Headers of the request to a backend server: those of the client that pass through, and what
    /// the gateway says itself.
    fn forward(&self, client: &HeaderMap, forward: &ForwardMeta<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;

    /// Headers of a backend server's answer that pass through to the client.
    fn pass_answer(&self, server: &HeaderMap) -> HeaderMap;

    /// Adds the identifier of the request to an answer of the gateway's own.
    fn label(&self, request_id: &str, headers: &mut HeaderMap);
}

/// The part of the platform's metadata that a read concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// What operators publish.
    Operators,
    /// What backend servers publish of themselves.
    Servers,
}

/// A log in the metadata store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Changes of a table.
    Table(Table),
    /// Leases on weight switches.
    Leases,
}

/// A change in the metadata.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration was accepted.
    Configuration(Arc<Configuration>),
    /// A failure domain was taken out of service.
    DomainOut(String),
    /// A failure domain was returned to service.
    DomainIn(String),
    /// New weights of a model were named.
    Weights {
        /// Model.
        model: String,
        /// Version.
        version: u64,
    },
    /// A backend server published its state.
    ServerSeen(ServerEntry),
    /// The entry of a backend server was removed.
    ServerRemoved(String),
    /// A record cannot be used.
    Malformed {
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Records of a table after an offset.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Offset after the last one.
    pub next_offset: u64,
}

/// Outcome of a conditional append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// The record has this offset.
    Stored(u64),
    /// The log ends at another offset, which is given.
    Moved(u64),
}

/// Records of a topic after an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// Contents, oldest first.
    pub records: Vec<Bytes>,
    /// Offset after the last record.
    pub next_offset: u64,
}

/// This daemon's part in the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare {
    /// Generation of the membership.
    pub generation: u64,
    /// Part of the fleet's shared budgets that belongs to this daemon, 0 to 1.
    pub share: f64,
}

quick_error! {
    /// Why a call to the metadata store has no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The records were deleted; the first one left is given.
        Expired(first_offset: u64) {
            display("records before offset {} were deleted", first_offset)
        }
        /// The store refused the call, which had no effect.
        Refused(status: u16) {
            display("the store answered status {}", status)
        }
        /// No answer came. The call may have taken effect.
        NoAnswer(reason: String) {
            display("no answer of the store: {}", reason)
        }
        /// The answer cannot be read.
        BadAnswer(reason: String) {
            display("unreadable answer of the store: {}", reason)
        }
    }
}

/// The platform's metadata store, a linearizable log.
pub trait MetadataStore {
    /// The newest record of every key, and the offset from which to follow the table.
    fn snapshot(&self, table: Table) -> LocalBoxFuture<'_, Result<Changes, StoreError>>;

    /// The records of a topic from an offset on. Waits up to `wait` for one.
    fn read(
        &self,
        topic: Topic,
        from_offset: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<LogPage, StoreError>>;

    /// What a record of a table tells, unless it is of no interest.
    fn decode(&self, table: Table, record: Bytes) -> Option<Change>;

    /// Joins the fleet or stays in it.
    fn join(&self, generation: u64) -> LocalBoxFuture<'_, Result<FleetShare, StoreError>>;

    /// All members of the fleet.
    fn members(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, StoreError>>;

    /// Leaves the fleet.
    fn leave(&self) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Appends to the lease log if it ends at `at`.
    fn append_lease(
        &self,
        at: u64,
        payload: Bytes,
    ) -> LocalBoxFuture<'_, Result<Append, StoreError>>;
}

/// What a backend server answers to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is in progress, or orders were accepted since the state that was expected.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
}

quick_error! {
    /// Why a call to a backend server has no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OrderError {
        /// The server rejected the call.
        Rejected(status: u16, notice: ServerNotice) {
            display("rejected with status {}", status)
        }
        /// No answer came, or one that cannot be read. An order may be carried out, also much later.
        NoAnswer(reason: String) {
            display("{}", reason)
        }
    }
}

/// An order to load another version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    /// Model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Fencing token of the lease.
    pub fencing_token: u64,
    /// Orders that the backend server has accepted when it should carry out this one.
    pub expected_orders: u64,
}

/// What a backend server reports of itself when asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Orders that it has accepted since its start.
    pub orders_accepted: u64,
    /// An order is in progress.
    pub is_busy: bool,
    /// Models that it holds.
    pub models: Vec<ServedModel>,
    /// What it says about further requests.
    pub notice: ServerNotice,
}

quick_error! {
    /// Why a call to a holder of prompts has no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CacheError {
        /// The holder has as many such calls open as it allows.
        Busy {
            display("too many calls at once")
        }
        /// No answer came, or one that cannot be used.
        Failed(reason: String) {
            display("{}", reason)
        }
    }
}

/// Calls the holders of cached prompts: backend servers and stores.
pub trait Caches {
    /// Reads what changed at a holder. Waits up to `wait` for a change.
    fn events(
        &self,
        address: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<CacheEvents, CacheError>>;

    /// Reads all that a holder has.
    fn list(&self, address: SocketAddr) -> LocalBoxFuture<'_, Result<CacheEvents, CacheError>>;

    /// Frees parts of a store.
    fn free<'a>(
        &'a self,
        address: SocketAddr,
        parts: &'a [CachedPart],
    ) -> LocalBoxFuture<'a, Result<(), CacheError>>;
}

/// Gives orders to backend servers.
pub trait Orders {
    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`OrderError`], which says whether the order may be carried out all the same.
    fn load_weights<'a>(
        &'a self,
        server: &'a ServerEntry,
        order: &'a WeightOrder,
    ) -> LocalBoxFuture<'a, Result<OrderAnswer, OrderError>>;

    /// Asks a backend server for its state.
    ///
    /// # Errors
    ///
    /// [`OrderError`].
    fn report<'a>(
        &'a self,
        server: &'a ServerEntry,
    ) -> LocalBoxFuture<'a, Result<ServerReport, OrderError>>;
}
