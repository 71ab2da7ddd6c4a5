//! Events of the log.

use super::{AnswerFields, Choice, LoggedParts, OriginFields, RequestLine, ZoneChoiceFields};
use crate::rollout::RolloutState;
use serde::Serialize;

/// A line of the log. `anvilgw explain` reads the event and field names.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The daemon started.
    Started {
        /// Name of the instance.
        instance: &'a str,
        /// Failure domain of the instance.
        failure_domain: &'a str,
    },
    /// The daemon began to shut down.
    Stopping {
        /// Number of requests in progress.
        in_flight: usize,
    },
    /// The daemon exits.
    Stopped {
        /// Number of requests in progress, which are cut off.
        in_flight: usize,
    },
    /// The settings were read again after SIGHUP.
    Reloaded {
        /// Whether the settings are valid, and otherwise why not.
        outcome: &'a str,
    },
    /// The daemon's readiness changed.
    Readiness {
        /// Whether it takes new connections.
        ready: bool,
        /// Why it is ready or not.
        reason: &'a str,
    },
    /// A dependency stopped answering.
    DependencyLost {
        /// Name of the dependency.
        dependency: &'a str,
        /// Error that was observed.
        reason: &'a str,
    },
    /// A dependency answers again.
    DependencyRegained {
        /// Name of the dependency.
        dependency: &'a str,
        /// Duration of the outage, in milliseconds.
        away_ms: u64,
    },
    /// A configuration took effect.
    ConfigurationApplied {
        /// Version of the new configuration.
        version: u64,
        /// Version of the configuration before it.
        replaced: u64,
        /// Number of routes.
        routes: usize,
        /// Where it was read.
        #[serde(flatten)]
        origin: OriginFields<'a>,
    },
    /// Another daemon stated the operators' orders that it knows, as the store was restored from a copy.
    FleetOrders {
        /// Address of the other daemon.
        source: &'a str,
        /// Version of its configuration.
        configuration: u64,
        /// Number of failure domains that are out of service.
        domains_out: usize,
    },
    /// All records of a log of the metadata store were listed.
    LogListed {
        /// Name of the log.
        log: &'a str,
        /// Number of records.
        records: usize,
        /// Where they were read.
        #[serde(flatten)]
        origin: OriginFields<'a>,
    },
    /// A log was read in another epoch than before: the metadata store was restored from a copy.
    EpochChanged {
        /// Name of the log.
        log: &'a str,
        /// Epoch of the answer.
        epoch: u64,
        /// Epoch in which the log was read before.
        known_epoch: u64,
        /// Offset from which it was to be read on.
        from_offset: u64,
        /// The daemon whose copy was read, or `store`.
        source: &'a str,
    },
    /// Another daemon told whether the metadata store was available while this one could not read the
    /// servers' table.
    StoreServed {
        /// Address of the other daemon.
        source: &'a str,
        /// Time since this daemon knew the table before, in milliseconds.
        unknown_since_ms: u64,
        /// Time for which the store has served reads, as far as the fleet knows, in milliseconds.
        served_for_ms: u64,
        /// Time for which servers without an entry are still used, in milliseconds.
        grace_ms: u64,
    },
    /// A failure domain was taken out of service or returned.
    FailureDomain {
        /// Name of the failure domain.
        domain: &'a str,
        /// Whether it is in service now.
        in_service: bool,
    },
    /// Operators published new weights of a model.
    WeightsNamed {
        /// Name of the model.
        model: &'a str,
        /// Version of the weights.
        version: u64,
    },
    /// A backend server was added, changed or removed, or its answer carried a notice.
    Server {
        /// Identifier of the backend server.
        server: &'a str,
        /// Kind of the change.
        change: &'a str,
        /// Service that the backend server belongs to.
        service: &'a str,
        /// Address of the backend server.
        address: &'a str,
    },
    /// The limit that a backend server names on the requests of all daemons changed, or this daemon
    /// has sent requests under it since the last such line.
    RequestLimit {
        /// Identifier of the backend server.
        server: &'a str,
        /// Requests per second of all daemons together, absent if the server names no limit now.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_per_s: Option<f64>,
        /// Requests that this daemon has sent to the server since the last such line, or, if there
        /// was none, since it knows the server.
        sent: u32,
    },
    /// A request was rejected because of the load, the first one of its service for two seconds.
    Overload {
        /// Name of the service.
        service: &'a str,
        /// Urgency of the request; 0 is the most urgent.
        urgency: u8,
        /// `start_limit`, `too_late`, `memory` or `full`.
        reason: &'a str,
        /// Estimated time until a server would have begun with the request, in milliseconds.
        start_ms: u64,
        /// Limit of that time, in milliseconds.
        limit_ms: u64,
    },
    /// A backend server ended while requests with prompts were in flight there.
    ServerEnded {
        /// Identifier of the backend server, empty if it is no longer known.
        server: &'a str,
        /// How this daemon knows that it ended, and not only a connection.
        confirmed_by: &'a str,
        /// Number of requests with prompts that this daemon lost there.
        lost: u32,
        /// Number of these whose answers the server had been writing for long.
        lost_long: u32,
        /// Number of prompt parts that the end may be put down to.
        suspects: usize,
    },
    /// A long answer broke off, which is not put down to its prompt.
    BreakNotAttributed {
        /// Identifier of the backend server.
        server: &'a str,
        /// What else may have been the cause.
        reason: &'a str,
        /// Shared parts of the request's prompt.
        parts: LoggedParts<'a>,
    },
    /// Prompt parts under which servers ended were quarantined or released.
    Quarantine {
        /// `quarantined`, `released` or `trial`.
        change: &'a str,
        /// Hashes of the parts. Requests with all of them are refused.
        parts: &'a [String],
        /// Number of servers that ended under them.
        #[serde(skip_serializing_if = "Option::is_none")]
        ends: Option<usize>,
        /// Number of workspaces that are concerned, absent if all are.
        #[serde(skip_serializing_if = "Option::is_none")]
        workspaces: Option<usize>,
    },
    /// A record of the metadata store could not be decoded and is ignored.
    RecordMalformed {
        /// Key of the record.
        key: &'a str,
        /// Why it could not be decoded.
        reason: &'a str,
    },
    /// The daemon's share of the fleet's budgets changed.
    FleetShare {
        /// Generation of the membership.
        generation: u64,
        /// Share of the budgets, 0 to 1.
        share: f64,
    },
    /// The daemon's role in the fleet changed.
    FleetRole {
        /// Name of the role.
        role: &'a str,
        /// Number of members of the fleet.
        members: usize,
    },
    /// The lease for weight switches was acquired or lost.
    Lease {
        /// What happened to the lease.
        change: &'a str,
        /// Fencing token of the lease.
        fencing_token: u64,
    },
    /// A backend server was ordered to load other weights.
    Order {
        /// Identifier of the backend server.
        server: &'a str,
        /// Name of the model.
        model: &'a str,
        /// Version of the weights to load.
        version: u64,
        /// Version of the weights that the server has reported, if there is one.
        #[serde(skip_serializing_if = "Option::is_none")]
        loaded: Option<u64>,
        /// Time for which the loaded version may still serve new requests, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        loaded_left_ms: Option<u64>,
        /// Fencing token of the order.
        fencing_token: u64,
        /// Number of orders that the server must have accepted before this one.
        expected_orders: u64,
        /// Answer of the backend server, or the error.
        outcome: &'a str,
    },
    /// The lease holder's calls of one round took long.
    SlowSwitchRound {
        /// Time of the requests to servers for their progress, in milliseconds.
        polls_ms: u64,
        /// Time of the announcement and the orders, in milliseconds.
        orders_ms: u64,
    },
    /// Requests begin to leave a failure domain for another one, or cease to.
    ZoneChoice(ZoneChoiceFields<'a>),
    /// Replaced weights serve no new requests from now on.
    WeightsExpired {
        /// Name of the model.
        model: &'a str,
        /// Oldest version that may serve new requests.
        oldest_allowed: u64,
        /// Number of servers that hold an allowed version.
        servers_allowed: usize,
        /// Number of servers that hold an older version.
        servers_expired: usize,
    },
    /// Prompt parts that no daemon reads any more were freed at a cache store.
    PartsFreed {
        /// Address of the cache store.
        store: &'a str,
        /// Number of freed parts.
        parts: usize,
    },
    /// Operators ordered a rollout of a service's software version.
    RolloutOrdered {
        /// Name of the service.
        service: &'a str,
        /// Version to which the traffic is to be moved.
        target: &'a str,
        /// Time until the deadline, in milliseconds.
        step_ms: u64,
        /// Why the order changes nothing; empty if a rollout begins.
        #[serde(skip_serializing_if = "str::is_empty")]
        reason: &'a str,
    },
    /// Operators removed the order of a rollout.
    RolloutWithdrawn {
        /// Name of the service.
        service: &'a str,
    },
    /// The order of a rollout could not be decoded and changes nothing.
    RolloutMalformed {
        /// Name of the service.
        service: &'a str,
        /// Why it could not be decoded.
        reason: &'a str,
    },
    /// This daemon, as the decider of a rollout, began a phase or holds it for another reason.
    RolloutDecision {
        /// Name of the service.
        service: &'a str,
        /// Phase of the rollout.
        phase: &'a str,
        /// Share of the requests that go to the target, 0 to 1.
        share: f64,
        /// Why the rollout is in this phase.
        reason: &'a str,
        /// Answers of the target version that all daemons have reported.
        target_answers: u64,
        /// Failures among them.
        target_failures: u64,
        /// Answers of the version in force.
        base_answers: u64,
        /// Failures among them.
        base_failures: u64,
        /// Logarithm of the likelihood ratio that the target fails more often.
        failures_llr: f64,
        /// Logarithm of the likelihood ratio that the target is slower.
        slow_llr: f64,
    },
    /// The stored status of a rollout became known.
    RolloutStatus {
        /// Name of the service.
        service: &'a str,
        /// Version to which the traffic is to be moved.
        target: &'a str,
        /// State of the rollout.
        state: RolloutState,
    },
    /// The status of a rollout could not be written. The write is repeated.
    RolloutWriteFailed {
        /// Name of the service.
        service: &'a str,
        /// State that was to be written.
        state: RolloutState,
        /// Error of the metadata store.
        reason: &'a str,
    },
    /// An attempt of a request failed. Another may follow.
    Attempt {
        /// Identifier of the request.
        request: &'a str,
        /// Number of attempts so far in which the request was sent.
        attempt: u32,
        /// Identifier of the backend server.
        server: &'a str,
        /// Software version of the backend server; empty if it publishes none.
        #[serde(skip_serializing_if = "str::is_empty")]
        server_version: &'a str,
        /// Why the attempt failed.
        reason: &'a str,
        /// How the answer ends, if one was received.
        #[serde(flatten)]
        answer: AnswerFields,
        /// Shared parts of the request's prompt.
        #[serde(skip_serializing_if = "LoggedParts::is_empty")]
        parts: LoggedParts<'a>,
        /// Time since the request arrived, in milliseconds.
        elapsed_ms: u64,
        /// What was known of the backend server when it was selected.
        #[serde(skip_serializing_if = "Option::is_none")]
        choice: Option<Choice>,
    },
    /// A request ended.
    Request(RequestLine<'a>),
    /// Connections or bodies of clients met a limit within the last second.
    ClientLimits {
        /// Number of connections that were closed because others needed their memory.
        closed_for_memory: u64,
        /// Number of connections that were closed because other clients needed their places.
        closed_for_room: u64,
        /// Number of connections that were closed because the clients did not read.
        closed_unread: u64,
        /// Number of connections that were refused because there was no room.
        connections_refused: u64,
        /// Number of bodies that were refused because there was no memory.
        bodies_refused: u64,
        /// Number of open connections of clients.
        connections: usize,
        /// Bytes that are held for clients.
        held_bytes: u64,
    },
    /// Lines were dropped because the log was not read fast enough.
    LinesDropped {
        /// Number of dropped routine lines.
        routine: u64,
        /// Number of other dropped lines.
        notable: u64,
    },
}
