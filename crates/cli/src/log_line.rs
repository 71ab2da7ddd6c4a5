//! Parses the JSON log lines of gateway daemons.

use serde::Deserialize;

/// The fields of a log line that `anvilgw explain` uses. Fields that the line does not have are
/// empty.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LogLine {
    pub(crate) time_ms: u64,
    pub(crate) event: String,
    pub(crate) request: String,
    pub(crate) route: String,
    pub(crate) workspace: String,
    pub(crate) server: String,
    /// Software version of the backend server.
    pub(crate) server_version: String,
    pub(crate) dependency: String,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    pub(crate) executed: String,
    pub(crate) status: u16,
    pub(crate) attempt: u32,
    pub(crate) elapsed_ms: u64,
    pub(crate) first_event_ms: Option<u64>,
    pub(crate) configuration: u64,
    pub(crate) configuration_age_ms: u64,
    pub(crate) choice: Option<ChoiceFields>,
    pub(crate) ends_with_connection: bool,
    pub(crate) stream_position: String,
    /// Time without an event after which a stream was given up.
    pub(crate) silent_ms: Option<u64>,
    /// Why no other backend server continued a stream that broke.
    pub(crate) not_resumed: String,
    /// Hashes of the shared parts of the prompt.
    pub(crate) parts: Vec<String>,
}

/// What the daemon knew about the backend server when it selected it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ChoiceFields {
    pub(crate) load: f64,
    pub(crate) load_age_ms: Option<u64>,
    pub(crate) prompt: Option<PromptFields>,
}

/// Where the selected server gets the shared tokens of the prompt, and the version of its model
/// weights.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PromptFields {
    pub(crate) weights: Option<u64>,
    pub(crate) fetched_tokens: u32,
    pub(crate) computed_tokens: u32,
}

/// Parses a line, or returns `None` if it is not a log line. Text before its first brace, such as
/// the name of a daemon, is skipped.
pub(crate) fn parse(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}
