//! Interfaces to the platform. The gateway makes all decisions; implementations only translate
//! between its types and the platform's protocols.

use crate::caches::{CacheEvents, CachedPart};
use crate::configuration::Configuration;
use crate::groups::Member;
use crate::log_position::{LogPosition, StoreEpoch};
use crate::request::{AnswerMeta, ForwardMeta, RequestMeta, ServerNotice};
use crate::request_limit::RequestRate;
use crate::rollout::{OrderId, RolloutStatus};
use crate::server::{ServedModel, ServerEntry};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, HeaderName, StatusCode};
use quick_error::quick_error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A value contains characters that a header cannot carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidHeader(pub HeaderName);

impl fmt::Display for InvalidHeader {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the value of the header {} is not valid", self.0)
    }
}

/// Translates between the gateway's request metadata and the platform's HTTP headers.
pub trait Codec {
    /// Parses the headers of a client's request. Headers that are missing or cannot be parsed count
    /// as absent.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMeta;

    /// Returns the headers of the request to a backend server: the client's headers that are
    /// forwarded, and those that the gateway sets from `forward`.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidHeader`] if a value cannot be sent. The request would have another meaning
    /// without it.
    fn forward_headers(
        &self,
        client: &HeaderMap,
        forward: &ForwardMeta<'_>,
    ) -> Result<HeaderMap, InvalidHeader>;

    /// Parses the status and headers of a backend server's answer.
    fn parse_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;

    /// Returns the headers of a backend server's answer that are forwarded to the client.
    fn answer_headers(&self, server: &HeaderMap) -> HeaderMap;

    /// Adds the request's identifier to the headers of an answer that the gateway generates itself.
    fn set_request_id(&self, request_id: &str, headers: &mut HeaderMap);
}

/// A table of the platform's metadata.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// Configuration, failure domains and model weights, written by operators.
    Operators,
    /// Entries of backend servers, written by the servers themselves.
    Servers,
}

/// A log in the metadata store that daemons follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Changes of a table, in order.
    Table(Table),
    /// Leases for weight switches.
    Leases,
    /// Evidence on prompt parts under which backend servers end.
    Evidence,
    /// States of rollouts.
    Statuses,
}

impl Topic {
    /// All logs that daemons follow.
    pub const ALL: [Self; 5] = [
        Self::Table(Table::Operators),
        Self::Table(Table::Servers),
        Self::Leases,
        Self::Evidence,
        Self::Statuses,
    ];

    /// Returns the name in logs, metrics and requests between daemons.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Table(Table::Operators) => "operators",
            Self::Table(Table::Servers) => "servers",
            Self::Leases => "leases",
            Self::Evidence => "evidence",
            Self::Statuses => "statuses",
        }
    }
}

/// Order of operators to move the traffic of a service to servers of another software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRequest {
    /// Name of the service.
    pub service: String,
    /// Version to which the traffic is to be moved.
    pub target: String,
    /// Time after the order within which the rollout has to be completed or rolled back.
    pub step: Duration,
    /// Identifier of the order.
    pub id: OrderId,
}

/// A change of a table in the metadata store.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new configuration was published.
    Configuration(Arc<Configuration>),
    /// A failure domain was taken out of service.
    DomainOut(String),
    /// A failure domain was returned to service.
    DomainIn(String),
    /// Operators published a new version of a model's weights, which its servers have to load.
    Weights {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: u64,
    },
    /// Operators ordered a rollout of a service's software version.
    RolloutOrdered(RolloutRequest),
    /// The order of a rollout of this service was removed.
    RolloutWithdrawn(String),
    /// The order of a rollout could not be decoded and changes nothing.
    RolloutMalformed {
        /// Name of the service.
        service: String,
        /// Why it could not be decoded.
        reason: String,
    },
    /// A backend server published its entry.
    ServerUpdated(ServerEntry),
    /// The entry of a backend server was removed.
    ServerRemoved(String),
    /// A record could not be decoded. It is logged and otherwise ignored.
    Malformed {
        /// Key of the record.
        key: String,
        /// Why it could not be decoded.
        reason: String,
    },
}

/// Decoded records of a table.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Position after the last record, from which to read on.
    pub next: LogPosition,
}

/// A record of a keyed log that the daemons write themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedBytes {
    /// Key of the record. The newest record of each key is retained.
    pub key: String,
    /// Content; empty if the key was removed.
    pub value: Bytes,
}

/// Newest records of a keyed log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyedListing {
    /// The newest record of each key that has one, with its offset.
    pub records: Vec<(KeyedBytes, u64)>,
    /// Position from which to read on.
    pub next: LogPosition,
}

/// Newest statuses of all rollouts.
#[derive(Clone, Debug, Default)]
pub struct StatusListing {
    /// Newest status of each service that has one, with its offset.
    pub statuses: Vec<(RolloutStatus, u64)>,
    /// Position from which to read on.
    pub next: LogPosition,
}

/// Outcome of a conditional append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was stored at this position.
    Stored(LogPosition),
    /// The record was not stored, because the log ends at this other position.
    Conflict(LogPosition),
}

/// Records of a topic after an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// Undecoded records, oldest first.
    pub records: Vec<Bytes>,
    /// Position after the last record, from which to read on. Its epoch is that of the answer.
    pub next: LogPosition,
    /// Whether the log ended after the last record. Otherwise there are newer ones.
    pub is_complete: bool,
}

/// This daemon's share of the fleet's budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare {
    /// Epoch of the answer. Generations are comparable only within one epoch.
    pub epoch: StoreEpoch,
    /// Generation of the membership, which changes when members join or leave.
    pub generation: u64,
    /// Fraction of the fleet's shared budgets that this daemon may use, 0 to 1.
    pub share: f64,
}

quick_error! {
    /// Why a call to the metadata store has no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The log has no records at the requested offset; the payload is the first position that
        /// is left.
        Expired(first: LogPosition) {
            display("records before offset {} of epoch {} were deleted", first.offset, first.epoch)
        }
        /// The store was restored from an older copy since the position was read, and has this epoch
        /// now. The log has to be listed again.
        Restored(epoch: StoreEpoch) {
            display("the store was restored from a copy, epoch {}", epoch)
        }
        /// The store rejected the call with this HTTP status. The call had no effect.
        Refused(status: u16) {
            display("the store answered status {}", status)
        }
        /// No answer came. The call may have taken effect.
        NoAnswer(reason: String) {
            display("no answer from the store: {}", reason)
        }
        /// The answer cannot be decoded.
        BadAnswer(reason: String) {
            display("unreadable answer from the store: {}", reason)
        }
    }
}

/// The platform's metadata store, a linearizable log.
pub trait MetadataStore {
    /// Reads the newest record of every key, and the offset from which to follow the table.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the table cannot be read.
    fn snapshot(&self, table: Table) -> LocalBoxFuture<'_, Result<Changes, StoreError>>;

    /// Reads the records of a topic from an offset on. Waits up to `wait` for a record if there is
    /// none yet.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Expired`] if the records at the offset were deleted, and another
    /// [`StoreError`] if the store cannot be read.
    fn read(
        &self,
        topic: Topic,
        from_offset: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<LogPage, StoreError>>;

    /// Decodes the record at an offset of a table. Returns `None` for records that do not concern the
    /// gateway.
    fn decode(&self, table: Table, offset: u64, record: Bytes) -> Option<Change>;

    /// Joins the fleet, or renews the membership. `generation` is the last one that this daemon
    /// knows.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the membership was not confirmed.
    fn join(&self, generation: u64) -> LocalBoxFuture<'_, Result<FleetShare, StoreError>>;

    /// Lists the members of the fleet.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the list cannot be read.
    fn members(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, StoreError>>;

    /// Leaves the fleet, so that its budgets are shared among the remaining members.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store did not confirm it.
    fn leave(&self) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Appends a record to the lease log if the log ends at the offset `at`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the outcome is unknown or the store rejected the call.
    fn append_lease(
        &self,
        at: u64,
        payload: Bytes,
    ) -> LocalBoxFuture<'_, Result<AppendOutcome, StoreError>>;

    /// Reads the newest evidence record of every key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the records cannot be read.
    fn list_evidence(&self) -> LocalBoxFuture<'_, Result<KeyedListing, StoreError>>;

    /// Decodes a record that was read from the evidence log. Returns `None` if it has no key.
    fn decode_evidence(&self, record: Bytes) -> Option<KeyedBytes>;

    /// Appends evidence records, all or none. With `at`, only if the log ends at that offset.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the outcome is unknown or the store rejected the call.
    fn append_evidence(
        &self,
        at: Option<u64>,
        records: Vec<KeyedBytes>,
    ) -> LocalBoxFuture<'_, Result<AppendOutcome, StoreError>>;

    /// Reads the newest status of every rollout.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the statuses cannot be read.
    fn list_statuses(&self) -> LocalBoxFuture<'_, Result<StatusListing, StoreError>>;

    /// Decodes a record that was read from the log of statuses. Returns `None` for records that are
    /// not the status of a rollout.
    fn decode_status(&self, record: Bytes) -> Option<RolloutStatus>;

    /// Appends the status of a rollout if the log ends at the offset `at`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the outcome is unknown or the store rejected the call.
    fn append_status(
        &self,
        at: u64,
        status: &RolloutStatus,
    ) -> LocalBoxFuture<'_, Result<AppendOutcome, StoreError>>;
}

/// A backend server's answer to a [`WeightOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The server carries the order out.
    Accepted,
    /// The server already has the requested weights.
    Holds,
    /// Another order is in progress, or the server has accepted other orders than
    /// [`WeightOrder::expected_orders`] states.
    Conflict,
    /// The server has seen a higher fencing token, so the sender no longer holds the lease.
    Fenced,
}

quick_error! {
    /// Why a call to a backend server has no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OrderError {
        /// The server rejected the call with this HTTP status, and may have sent a notice with the
        /// answer.
        Rejected(status: u16, notice: ServerNotice) {
            display("rejected with status {}", status)
        }
        /// No answer came, or one that cannot be decoded. An order may still be carried out, even
        /// much later.
        NoAnswer(reason: String) {
            display("{}", reason)
        }
    }
}

/// An order to load another version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    /// Name of the model.
    pub model: String,
    /// Version of the weights to load.
    pub version: u64,
    /// Fencing token of the lease under which the order is given.
    pub fencing_token: u64,
    /// Number of orders that the backend server must have accepted before this one. It answers with
    /// a conflict otherwise.
    pub expected_orders: u64,
}

/// State of a backend server as it reports it on request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Number of orders that it has accepted since its start.
    pub orders_accepted: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Models that it has loaded.
    pub models: Vec<ServedModel>,
    /// Whether it is leaving or asks for a pause of requests.
    pub notice: ServerNotice,
}

quick_error! {
    /// Why a call to a cache store has no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CacheError {
        /// The cache store has as many such calls open as it allows.
        Busy {
            display("too many calls at once")
        }
        /// No answer came, or one that cannot be decoded.
        Failed(reason: String) {
            display("{}", reason)
        }
    }
}

/// Outcome of a call to a cache store.
#[derive(Clone, Debug)]
pub struct CacheAnswer<T> {
    /// Result of the call.
    pub result: Result<T, CacheError>,
    /// Requests per second that the cache store takes from all daemons together, if it names a
    /// limit.
    pub request_limit: Option<RequestRate>,
}

/// Client of the cache stores, which hold cached parts of prompts.
pub trait CacheClient {
    /// Reads the changes at a cache store since an event number. Waits up to `wait` for a change.
    fn events(
        &self,
        address: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, CacheAnswer<CacheEvents>>;

    /// Lists all prompt parts that a cache store has.
    fn list(&self, address: SocketAddr) -> LocalBoxFuture<'_, CacheAnswer<CacheEvents>>;

    /// Frees prompt parts of a cache store. The result is an error if the store did not confirm it.
    fn free<'a>(
        &'a self,
        address: SocketAddr,
        parts: &'a [CachedPart],
    ) -> LocalBoxFuture<'a, CacheAnswer<()>>;
}

/// Client of the control interface of backend servers.
pub trait OrderClient {
    /// Orders a backend server to load other weights.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError`], whose variant tells whether the order may still be carried out.
    fn load_weights<'a>(
        &'a self,
        server: &'a ServerEntry,
        order: &'a WeightOrder,
    ) -> LocalBoxFuture<'a, Result<OrderAnswer, OrderError>>;

    /// Asks a backend server for its state.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError`] if the server rejected the call or did not answer.
    fn report<'a>(
        &'a self,
        server: &'a ServerEntry,
    ) -> LocalBoxFuture<'a, Result<ServerReport, OrderError>>;
}
