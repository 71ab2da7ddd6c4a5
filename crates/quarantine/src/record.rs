//! Records of the evidence that the daemons of a fleet share, and their keys.

use crate::{PartKey, ServerStart, Suspect};
use anvilgw_core::log_position::{LogPosition, StoreEpoch};
use bincode::{Decode, Encode};
use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;

/// Maximum number of suspects in a report. A report of more is cut.
pub const SUSPECTS_MAX: usize = 512;
/// Limit of the memory that a decoded record claims, in bytes.
const DECODED_MAX_BYTES: usize = 64 * SUSPECTS_MAX;

const END_PREFIX: &str = "end";
const CLEARED_PREFIX: &str = "cleared";
const TRIAL_PREFIX: &str = "trial";

quick_error! {
    /// Why a record is not used.
    #[derive(Debug)]
    pub enum RecordError {
        /// The key does not name a record of this version.
        UnknownKey {
            display("unknown key")
        }
        /// The value is not a record.
        Decode(error: bincode::error::DecodeError) {
            display("not a record: {}", error)
            from()
        }
        /// The record cannot be encoded.
        Encode(error: bincode::error::EncodeError) {
            display("the record cannot be encoded: {}", error)
            from()
        }
    }
}

/// The end of a backend server as one daemon saw it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EndReport {
    /// The start of the server that ended.
    pub server: ServerStart,
    /// When the daemon noticed the end, in Unix milliseconds.
    pub seen_at_ms: u64,
    /// Number of requests with prompts that the daemon lost at the server.
    pub lost: u32,
    /// Number of whole answers to prompts that the daemon got since its previous report, in the last
    /// minute at most.
    pub completed: u32,
    /// Shared parts of the prompts that the daemon had in flight at the server.
    pub suspects: Vec<Suspect>,
}

/// Statement that a part is sound: a request with it got a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Clearance {
    /// Offset before which reports do not count against the part, in the epoch of `issued`.
    pub before_offset: u64,
    /// When it was issued, or `None` if an earlier release did.
    pub issued: Option<Issued>,
}

/// When a clearance was issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Issued {
    /// Epoch in which the daemon that issued it had read the log.
    pub epoch: StoreEpoch,
    /// Time in Unix milliseconds.
    pub at_ms: u64,
}

/// A clearance as earlier releases write it.
#[derive(Decode)]
struct UndatedClearance {
    before_offset: u64,
}

impl Clearance {
    /// Returns whether a report no longer counts against the part. `stored` is the position of the
    /// clearance, `report` that of the report, which was seen at `seen_at_ms`.
    ///
    /// Offsets decide within one epoch. A store that was restored may contain a clearance of an
    /// earlier epoch, which was retained or appended late, so time decides between epochs.
    #[must_use]
    pub fn covers(&self, stored: LogPosition, report: LogPosition, seen_at_ms: u64) -> bool {
        match self.issued {
            Some(issued) if issued.epoch == report.epoch => report.offset < self.before_offset,
            Some(issued) => seen_at_ms <= issued.at_ms,
            // Its epoch is unknown, but it can only concern reports that were stored before it.
            None => {
                let before_offset = self.before_offset.min(stored.offset);
                report.epoch <= stored.epoch && report.offset < before_offset
            }
        }
    }

    fn decode(value: &[u8]) -> Result<Self, RecordError> {
        decode(value).or_else(|_| {
            let UndatedClearance { before_offset } = decode(value)?;
            Ok(Self {
                before_offset,
                issued: None,
            })
        })
    }
}

/// The last trial of a quarantined part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Trial {
    /// Number of trials so far, at least 1.
    pub count: u32,
    /// Time of the trial, in Unix milliseconds.
    pub at_ms: u64,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A server ended.
    End(EndReport),
    /// A part is sound.
    Cleared(Clearance),
    /// A quarantined part was tried.
    Trial(Trial),
}

impl Record {
    /// Encodes the content. [`RecordKey`] tells its type.
    ///
    /// # Errors
    ///
    /// Returns an error if the record cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let config = bincode::config::standard();
        Ok(match self {
            Self::End(report) => bincode::encode_to_vec(report, config)?,
            Self::Cleared(clearance) => bincode::encode_to_vec(clearance, config)?,
            Self::Trial(trial) => bincode::encode_to_vec(trial, config)?,
        })
    }

    /// Decodes the content of the record under `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no such record.
    pub fn decode(key: RecordKey, value: &[u8]) -> Result<Self, RecordError> {
        Ok(match key {
            RecordKey::End { .. } => Self::End(decode(value)?),
            RecordKey::Cleared(_) => Self::Cleared(Clearance::decode(value)?),
            RecordKey::Trial(_) => Self::Trial(decode(value)?),
        })
    }
}

fn decode<T: Decode<()>>(value: &[u8]) -> Result<T, RecordError> {
    let config = bincode::config::standard().with_limit::<DECODED_MAX_BYTES>();
    let (decoded, _) = bincode::decode_from_slice(value, config)?;
    Ok(decoded)
}

/// Key of a record. Its text form is the key in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordKey {
    /// A report of the end of a server.
    End {
        /// The start of the server that ended.
        server: ServerStart,
        /// Random number of the daemon that reports it.
        reporter: u64,
        /// Number of the report among those of this daemon.
        number: u32,
    },
    /// The clearance of a part.
    Cleared(PartKey),
    /// The last trial of a part.
    Trial(PartKey),
}

impl RecordKey {
    /// Returns a number that differs between most keys.
    pub(crate) fn number(&self) -> u64 {
        /// Tells the keys of clearances and trials of one part apart.
        const TRIAL_BIT: u64 = 1 << 63;
        match self {
            Self::End {
                server,
                reporter,
                number,
            } => server.0 ^ reporter.rotate_left(u64::BITS / 2) ^ u64::from(*number),
            Self::Cleared(part) => part.0,
            Self::Trial(part) => part.0 ^ TRIAL_BIT,
        }
    }
}

impl fmt::Display for RecordKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::End {
                server,
                reporter,
                number,
            } => write!(
                formatter,
                "{END_PREFIX}/{:016x}/{reporter:016x}/{number}",
                server.0
            ),
            Self::Cleared(part) => write!(formatter, "{CLEARED_PREFIX}/{part}"),
            Self::Trial(part) => write!(formatter, "{TRIAL_PREFIX}/{part}"),
        }
    }
}

impl FromStr for RecordKey {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self, RecordError> {
        let fields: Vec<&str> = text.split('/').collect();
        let hex = |text: &str| u64::from_str_radix(text, 16).map_err(|_| RecordError::UnknownKey);
        match fields.as_slice() {
            [END_PREFIX, server, reporter, number] => Ok(Self::End {
                server: ServerStart(hex(server)?),
                reporter: hex(reporter)?,
                number: number.parse().map_err(|_| RecordError::UnknownKey)?,
            }),
            [CLEARED_PREFIX, part] => Ok(Self::Cleared(PartKey(hex(part)?))),
            [TRIAL_PREFIX, part] => Ok(Self::Trial(PartKey(hex(part)?))),
            _ => Err(RecordError::UnknownKey),
        }
    }
}

impl KeyedRecord {
    /// Encodes key and record together, for logs whose records have no key.
    ///
    /// # Errors
    ///
    /// Returns an error if the record cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let content = self.record.as_ref().map(Record::encode).transpose()?;
        let keyed = (self.key.to_string(), content);
        Ok(bincode::encode_to_vec(keyed, bincode::config::standard())?)
    }

    /// Decodes key and record.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a record with its key.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let (key, content): (String, Option<Vec<u8>>) = decode(bytes)?;
        let key: RecordKey = key.parse()?;
        let record = content.map(|content| Record::decode(key, &content));
        Ok(Self {
            key,
            record: record.transpose()?,
        })
    }
}

/// A record with its key, or the removal of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: RecordKey,
    /// Content, or `None` to remove the key.
    pub record: Option<Record>,
}
