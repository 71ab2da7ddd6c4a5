//! Entries that backend servers publish about themselves.

use std::net::SocketAddr;
use std::time::Duration;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server takes new work.
    Ready,
    /// The server finishes its requests before it stops, and takes no new work.
    Draining,
}

/// A model that is loaded on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedModel {
    /// Name of the model.
    pub model: String,
    /// Version of the loaded weights.
    pub version: u64,
}

/// Entry that a backend server publishes about itself in the metadata store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Identifier of the server. A server that restarts may keep it; `started_at_ms` tells
    /// starts apart.
    pub id: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Name of the failure domain in which the server runs.
    pub failure_domain: String,
    /// Whether the server takes new work.
    pub state: ServerState,
    /// Remaining time of the server's cold start, counted from the arrival of the entry.
    pub cold_for: Duration,
    /// Number of requests that the server executes concurrently.
    pub slots: u32,
    /// Models that are loaded on the server.
    pub models: Vec<ServedModel>,
    /// Version of the server's software, if the server publishes it.
    pub version: Option<String>,
    /// Start time of the server process in Unix milliseconds, if the server publishes it.
    pub started_at_ms: Option<u64>,
    /// Number of the heartbeat, counted from the start of the server.
    pub heartbeat: u64,
}

impl ServerEntry {
    /// Returns the version of a model's weights according to the entry, or `None` if the model
    /// is not loaded.
    #[must_use]
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let served = self.models.iter().find(|served| served.model == model)?;
        Some(served.version)
    }
}
