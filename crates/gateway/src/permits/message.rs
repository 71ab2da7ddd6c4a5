//! Messages between a daemon and the issuer of permits.

use crate::request_limit::RequestRate;
use bincode::{Decode, Encode};

/// What a permit is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PermitPurpose {
    /// A client's request, which another server can take instead.
    Request,
    /// An order or a question about its progress, which concerns this server alone. Permits for it
    /// are issued ahead of time if necessary.
    Control {
        /// Number of calls that are sent together. They get all their permits at once or none:
        /// one by one, a first permit could be spent again and again without a second one.
        calls: u32,
    },
}

/// Request of a daemon for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PermitRequest {
    /// Number by which the sender recognizes the reply.
    pub sequence: u32,
    /// Hash of the server; see
    /// [`Server::incarnation_hash`](crate::server::Server::incarnation_hash).
    pub server_hash: u64,
    /// Rate that the server takes from all daemons together, as far as the sender knows.
    pub limit: RequestRate,
    /// What the permit is for.
    pub purpose: PermitPurpose,
}

/// Reply to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PermitReply {
    /// The sender may send this many requests now.
    Granted {
        /// Number of the request that this replies to.
        sequence: u32,
        /// Number of permits, at least one.
        permits: u32,
    },
    /// The sender may send no request now.
    Denied {
        /// Number of the request that this replies to.
        sequence: u32,
        /// Time in milliseconds after which the sender should ask again.
        pause_ms: u32,
    },
    /// The daemon that was asked does not issue the permits for this server.
    NotIssuer {
        /// Number of the request that this replies to.
        sequence: u32,
    },
}

impl PermitReply {
    /// Returns the number of the request that this replies to.
    #[must_use]
    pub fn sequence(self) -> u32 {
        match self {
            Self::Granted { sequence, .. }
            | Self::Denied { sequence, .. }
            | Self::NotIssuer { sequence } => sequence,
        }
    }
}
