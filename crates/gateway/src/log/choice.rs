//! What log lines tell about the selection of a backend server.

use serde::Serialize;

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
