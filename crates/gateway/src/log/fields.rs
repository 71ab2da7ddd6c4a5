//! Groups of fields that several lines of the log share.

use serde::Serialize;

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
