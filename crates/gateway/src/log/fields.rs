//! Fields of log lines about requests.

use anvilgw_quarantine::Suspect;
use serde::{Serialize, Serializer};

/// Hashes of prompt parts, written as hexadecimal texts. The same part has the same hash in the logs
/// of all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoggedParts<'a>(pub &'a [Suspect]);

impl LoggedParts<'_> {
    /// Maximum number of parts in a line.
    const PARTS_MAX: usize = 8;

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for LoggedParts<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let parts = self.0.iter().take(Self::PARTS_MAX);
        serializer.collect_seq(parts.map(|suspect| format!("{:016x}", suspect.part.0)))
    }
}

/// How far a stream of events was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamPosition {
    /// No bytes were received.
    BeforeFirstEvent,
    /// The last event was received completely.
    BetweenEvents,
    /// The last event was received in part.
    WithinEvent,
}

/// How a backend server's answer ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AnswerFields {
    /// Whether the answer has neither a length nor chunks, so that it ends with its connection.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub ends_with_connection: bool,
    /// How far a stream was received when it ended, unless it ended properly after an event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stream_position: Option<StreamPosition>,
    /// Time without an event after which the daemon gave a stream up, in milliseconds. `None` if the
    /// stream ended in another way.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silent_ms: Option<u64>,
}

/// What the daemon knew of a backend server when it selected it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Choice {
    /// Number of requests at the server, as estimated from its last report and this daemon's own
    /// requests.
    pub load: f64,
    /// Age of the server's last load report, in milliseconds. Without a report, `load` counts only
    /// this daemon's own requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_age_ms: Option<u64>,
    /// Estimated time until the server begins with the request, in milliseconds, if servers are
    /// selected by it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub start_ms: Option<u64>,
    /// For a generation request, where the shared parts of its prompt were expected to be cached.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt: Option<PromptChoice>,
}

/// Where shared parts of a prompt that the server does not hold itself were expected, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PromptChoice {
    /// Version of the weights at the server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weights: Option<u64>,
    /// Time for which that version may still serve new requests, in milliseconds. Absent if no
    /// newer one is published.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weights_left_ms: Option<u64>,
    /// Tokens at a cache store or another server, from which the selected server reads them.
    pub fetched_tokens: u32,
    /// Tokens that are cached nowhere, which the server computes.
    pub computed_tokens: u32,
}

/// Outcome of a request and the decisions behind it.
#[derive(Debug, Default, Serialize)]
pub struct RequestLine<'a> {
    /// Identifier of the request, empty if its head could not be parsed.
    pub request: &'a str,
    /// Name of the route, empty if none was found.
    pub route: &'a str,
    /// Name of the workspace, empty if none was needed or found.
    pub workspace: &'a str,
    /// HTTP status of the answer, 0 if the gateway sent none.
    pub status: u16,
    /// `answered`, `broken_off`, `client_gone`, `unreadable` or the code of the failure.
    pub outcome: &'a str,
    /// Why it failed; empty otherwise.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub reason: &'a str,
    /// Why no other backend server continued a stream that broke; empty if none broke.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub not_resumed: &'a str,
    /// Whether it was executed (`yes`, `no` or `unknown`); empty if a backend server's answer was
    /// delivered.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub executed: &'a str,
    /// Identifier of the backend server that answered, or of the last one that was tried.
    pub server: &'a str,
    /// Software version of that server; empty if it publishes none.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub server_version: &'a str,
    /// How the last answer of a backend server ends.
    #[serde(flatten)]
    pub answer: AnswerFields,
    /// Number of attempts in which the request was sent.
    pub attempts: u32,
    /// Time from the arrival to the end of the request, in milliseconds.
    pub elapsed_ms: u64,
    /// Time from the arrival to the first bytes of a stream, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_event_ms: Option<u64>,
    /// What was known of the last backend server when it was selected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub choice: Option<Choice>,
    /// Version of the configuration that the request was served by, 0 if there was none.
    pub configuration: u64,
    /// Age of the daemon's copy of the configuration, in milliseconds; `u64::MAX` if it has none.
    pub configuration_age_ms: u64,
}

/// Requests of a service that begin or cease to leave a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ZoneChoiceFields<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Failure domain that requests leave.
    pub from: &'a str,
    /// Failure domain for which they leave.
    pub to: &'a str,
    /// Whether some leave from now on.
    pub leaves: bool,
    /// Estimated time until servers begin with a request in `from` and in `to`, in milliseconds.
    pub start_ms: [u64; 2],
    /// Share of the capacity that is taken in `from` and in `to`, in percent.
    pub pressure_percent: [u64; 2],
}

/// Where records of the metadata store were read.
#[derive(Debug, Serialize)]
pub struct OriginFields<'a> {
    /// Epoch of the store.
    pub epoch: u64,
    /// Offset after the last record that was read.
    pub offset: u64,
    /// The daemon whose copy was read, or `store`.
    pub source: &'a str,
    /// Age of the read when it was logged. Absent if there were newer records.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}
