//! Datagrams between members and their encoding.

use anvilgw_core::{DaemonId, DomainId};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Largest datagram that a daemon sends or accepts, in bytes. It is far below the MTU of any path,
/// so datagrams are never fragmented, and it bounds the traffic of a daemon.
pub const MAX_DATAGRAM_BYTES: usize = 400;

/// Largest number of updates in a datagram. The smallest update has 10 bytes.
const MAX_UPDATES: usize = MAX_DATAGRAM_BYTES / 10;

/// Largest length of the list of outage ages, in bytes.
pub(crate) const MAX_OUTAGE_AGES_BYTES: usize = 256;

/// Identity, address and failure domain of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Member number and start time of the process.
    pub id: DaemonId,
    /// Address of the daemon's datagram socket.
    pub address: SocketAddr,
    /// Failure domain in which the daemon runs.
    pub domain: DomainId,
}

/// Status of a daemon, which it includes in every datagram.
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
    /// For each member of the epoch, the age of its last report that it does not reach the log, in
    /// one byte or half a byte. [`Freshness`](crate::Freshness) writes and reads this list. It is
    /// empty in other datagrams than pings and acks.
    #[serde(rename = "witnesses")]
    pub outage_ages: Vec<u8>,
}

/// State of a member in an update. The order of the variants is their precedence within one
/// incarnation and refutation number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum ReportedState {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// Update about the state of one member. Its content is only accessible to the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub(crate) contact: Contact,
    pub(crate) refutation: u32,
    #[serde(rename = "claim")]
    pub(crate) state: ReportedState,
}

impl Update {
    /// Returns the key by which updates about one member number are ordered: the later update has
    /// the larger key.
    pub(crate) fn precedence(&self) -> (u64, u32, ReportedState) {
        (self.contact.id.incarnation, self.refutation, self.state)
    }

    pub(crate) fn encoded_len(&self) -> usize {
        encoded_len(self)
    }
}

/// Purpose of a datagram, with its parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a [`Message::Ack`].
    Ping {
        /// Sequence number of the probe, returned in the answer.
        seq: u32,
    },
    /// Answers a [`Message::Ping`].
    Ack {
        /// Sequence number of the answered ping.
        seq: u32,
    },
    /// Requests the receiver to ping a member on the sender's behalf.
    PingRequest {
        /// Sequence number of the sender's probe.
        seq: u32,
        /// Member to be pinged.
        target: DaemonId,
    },
    /// Reports that a member answered a ping that the sender made on the receiver's behalf.
    RelayedAck {
        /// Sequence number of the receiver's probe.
        seq: u32,
        /// Member that answered.
        target: DaemonId,
    },
    /// Carries updates and has no other purpose.
    Gossip,
    /// Requests the members with numbers from `from_index` on.
    Sync {
        /// Smallest member number requested.
        from_index: u32,
    },
    /// Answers a [`Message::Sync`] with a page of the member list, which is in the updates of the
    /// datagram.
    Page {
        /// Member number at which the next page starts; `None` if this page is the last.
        next_index: Option<u32>,
    },
}

/// Datagram between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Identity and address of the sender.
    pub from: Contact,
    /// Refutation number of the sender: a member raises it to refute that it failed.
    pub refutation: u32,
    /// Status of the sender.
    #[serde(rename = "vitals")]
    pub daemon_status: DaemonStatus,
    /// Purpose of the datagram.
    pub message: Message,
    /// Updates about members.
    pub updates: Vec<Update>,
}

quick_error! {
    /// Reason why a datagram was dropped.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// The datagram has more than [`MAX_DATAGRAM_BYTES`]; holds its length.
        TooLong(len: usize) {
            display("datagram of {} bytes", len)
        }
        /// The bytes do not decode as a datagram; holds the decoder's message.
        Malformed(detail: String) {
            display("malformed datagram: {}", detail)
        }
        /// Further bytes follow the datagram; holds their number.
        TrailingBytes(count: usize) {
            display("{} bytes after the datagram", count)
        }
        /// The list of updates or of outage ages is too long; holds the number of entries above the
        /// limit.
        ListTooLong(len: usize) {
            display("list is {} entries too long", len)
        }
    }
}

/// Largest amount of memory that decoding may claim, in bytes. The decoder counts entries of lists
/// with their size in memory, which is larger than that of their encoding.
const DECODE_LIMIT: usize = 8 * 1024;

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<DECODE_LIMIT>()
}

fn encoded_len<T: Serialize>(value: &T) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_or(usize::MAX, |b| b.len())
}

impl Datagram {
    /// Returns the encoded datagram.
    ///
    /// # Panics
    ///
    /// Panics if the encoding is longer than [`MAX_DATAGRAM_BYTES`].
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

    /// Returns the length of the encoded datagram in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        encoded_len(self)
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// Returns the reason if [`Datagram::encode`] cannot have produced the input.
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
