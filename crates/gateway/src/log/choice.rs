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
    /// Estimated time until servers begin with a request in both, in milliseconds.
    pub start_ms: [u64; 2],
    /// Share of the capacity that is taken in both, in percent.
    pub pressure_percent: [u64; 2],
}
