//! Client of the list of instances.

use crate::connection::ConnectionSettings;
use crate::exchange::CallOptions;
use crate::json::{JsonClient, PlatformError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// In use.
    #[default]
    Live,
    /// About to be taken away.
    Leaving,
}

/// Entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub name: String,
    /// What runs on it, such as `entry`, `engine`, `store` or `service`.
    pub kind: String,
    /// Address of the process.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// State.
    #[serde(default)]
    pub state: InstanceState,
}

/// The list of instances at some moment in the past.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Number that grows with each change.
    pub version: u64,
    /// The instances.
    pub instances: Vec<InstanceEntry>,
}

/// Client of the list of instances.
#[derive(Clone, Debug)]
pub struct InstanceListClient {
    json: JsonClient,
}

impl InstanceListClient {
    /// Creates a client. Connections are opened on demand.
    #[must_use]
    pub fn new(addr: SocketAddr, settings: ConnectionSettings) -> Self {
        Self {
            json: JsonClient::new(addr, settings),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if there is no valid answer.
    pub async fn list(&self) -> Result<InstanceList, PlatformError> {
        self.json.get("/instances", &CallOptions::default()).await
    }
}
