//! Datagrams between members.

use anvilgw_core::{DaemonId, DomainId};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Largest datagram in either direction. It stays far below every path MTU, so no datagram is ever
/// fragmented, and it bounds the traffic of a daemon.
pub const MAX_DATAGRAM_BYTES: usize = 400;

/// Most updates in one datagram. The smallest update has 10 bytes.
const MAX_UPDATES: usize = MAX_DATAGRAM_BYTES / 10;

/// Longest witness list.
pub(crate) const MAX_OUTAGE_AGES_BYTES: usize = 256;

/// Where a daemon is reached and what it fails with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Number and start time of the process.
    pub id: DaemonId,
    /// Address of its datagram socket.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// What a daemon says about itself on every datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Configuration version that the sender has applied.
    pub config_version: u64,
    /// Age of the sender's view in milliseconds; `None` without any evidence.
    pub view_age_ms: Option<u32>,
    /// Whether the last log read of the sender succeeded and began within the freshness limit.
    pub reaches_log: bool,
    /// Epoch that the sender has folded.
    pub epoch: u64,
    /// Uptime of the sender in milliseconds.
    pub uptime_ms: u64,
    /// For each member of the epoch, the age of its last report that it does not reach the log, in a
    /// byte or half a byte. Written and read by [`Freshness`](crate::Freshness).
    #[serde(rename = "witnesses")]
    pub outage_ages: Vec<u8>,
}

/// State of a member in an update. The order is that of precedence within one incarnation and
/// refutation number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum ReportedState {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// One piece of news about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub(crate) contact: Contact,
    pub(crate) refutation: u32,
    #[serde(rename = "claim")]
    pub(crate) state: ReportedState,
}

impl Update {
    /// Later news about the same member number has the larger key.
    pub(crate) fn precedence(&self) -> (u64, u32, ReportedState) {
        (self.contact.id.incarnation, self.refutation, self.state)
    }

    pub(crate) fn encoded_len(&self) -> usize {
        encoded_len(self)
    }
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Ping {
        /// Number of the probe, returned in the answer.
        seq: u32,
    },
    /// Answers a ping.
    Ack {
        /// Number of the probe.
        seq: u32,
    },
    /// Asks the receiver to ping a member on the sender's behalf.
    PingRequest {
        /// Number of the sender's probe.
        seq: u32,
        /// The member to ping.
        target: DaemonId,
    },
    /// Reports that a member answered a ping made on the receiver's behalf.
    RelayedAck {
        /// Number of the receiver's probe.
        seq: u32,
        /// The member that answered.
        target: DaemonId,
    },
    /// Carries only updates.
    Gossip,
    /// Asks for the members with numbers from `from_index` on.
    Sync {
        /// Smallest member number wanted.
        from_index: u32,
    },
    /// Answers a [`Message::Sync`]; the members are in the updates.
    Page {
        /// Number from which to ask next, if the sender knows more members.
        next_index: Option<u32>,
    },
}

/// A complete datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: Contact,
    /// The sender's refutation number.
    pub refutation: u32,
    /// The sender's report about itself.
    #[serde(rename = "vitals")]
    pub daemon_status: DaemonStatus,
    /// What the datagram is for.
    pub message: Message,
    /// News about members.
    pub updates: Vec<Update>,
}

quick_error! {
    /// Why a datagram was dropped.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// The datagram is longer than any that a member sends.
        TooLong(len: usize) {
            display("datagram of {} bytes", len)
        }
        /// The bytes are not a datagram.
        Malformed(detail: String) {
            display("malformed datagram: {}", detail)
        }
        /// Bytes follow the datagram.
        TrailingBytes(count: usize) {
            display("{} bytes after the datagram", count)
        }
        /// A list is longer than any that a member sends.
        ListTooLong(len: usize) {
            display("list of {} entries", len)
        }
    }
}

/// Most memory that decoding may claim. It counts the entries of lists with their size in memory,
/// which is larger than their encoding.
const DECODE_LIMIT: usize = 8 * 1024;

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<DECODE_LIMIT>()
}

fn encoded_len<T: Serialize>(value: &T) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_or(usize::MAX, |b| b.len())
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Panics
    ///
    /// Panics if it is longer than [`MAX_DATAGRAM_BYTES`].
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("a datagram holds only types that bincode encodes");
        assert!(
            bytes.len() <= MAX_DATAGRAM_BYTES,
            "datagram of {} bytes",
            bytes.len()
        );
        bytes
    }

    /// Length of the encoded datagram.
    pub(crate) fn encoded_len(&self) -> usize {
        encoded_len(self)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Any input that [`Datagram::encode`] does not produce is refused with the reason.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        let (datagram, used): (Self, usize) =
            bincode::serde::decode_from_slice(bytes, bincode_config())
                .map_err(|error| DecodeError::Malformed(error.to_string()))?;
        if used != bytes.len() {
            return Err(DecodeError::TrailingBytes(bytes.len() - used));
        }
        for len in [
            datagram.updates.len().saturating_sub(MAX_UPDATES),
            datagram
                .daemon_status
                .outage_ages
                .len()
                .saturating_sub(MAX_OUTAGE_AGES_BYTES),
        ] {
            if len > 0 {
                return Err(DecodeError::ListTooLong(len));
            }
        }
        Ok(datagram)
    }
}
