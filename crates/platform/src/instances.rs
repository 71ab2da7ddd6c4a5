//! Client of the instance list, which names the processes and the instances that they run on.

use crate::connection::ConnectionSettings;
use crate::exchange::CallOptions;
use crate::json::{JsonClient, PlatformError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of an instance in the instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is in use.
    #[default]
    Live,
    /// The instance will soon be removed and should receive no new work.
    Leaving,
}

/// Entry of the instance list: a process and the instance that it runs on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub name: String,
    /// Kind of process that runs on it: `entry`, `engine`, `store` or `service`, for example.
    pub kind: String,
    /// Address on which the process listens.
    pub addr: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
    /// State. Entries without one are live.
    #[serde(default)]
    pub state: InstanceState,
}

/// Copy of the instance list. It may be out of date when it is received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version, which grows with each change of the list.
    pub version: u64,
    /// Entries of the list.
    pub instances: Vec<InstanceEntry>,
}

/// Client of the instance list.
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

    /// Reads the instance list.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if there is no valid answer.
    pub async fn list(&self) -> Result<InstanceList, PlatformError> {
        self.json.get("/instances", &CallOptions::default()).await
    }
}
