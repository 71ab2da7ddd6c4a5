//! Datagrams between the daemons of a fleet.

use crate::notice_reports::NoticeReport;
use crate::peers::{DATAGRAM_MAX_BYTES, EngineWork, LoadReport};
use crate::permits::{PermitReply, PermitRequest};
use bincode::{Decode, Encode};
use quick_error::quick_error;

/// First byte of datagrams other than load reports, whose first byte is that of their scope.
const NOTICES_TAG: u8 = 16;
const PERMIT_REQUEST_TAG: u8 = 17;
const PERMIT_REPLY_TAG: u8 = 18;
const NOTICE_QUERY_TAG: u8 = 19;
const EVIDENCE_NEWS_TAG: u8 = 20;
const LOAD_WITH_WORK_TAG: u8 = 23;

/// Limit of the memory that a decoded message claims. Values take more memory than encoded bytes.
const DECODED_MAX_BYTES: usize = 4 * DATAGRAM_MAX_BYTES;

quick_error! {
    /// Error of encoding or decoding a datagram.
    #[derive(Debug)]
    pub enum PeerMessageError {
        /// The bytes are not a message of another daemon.
        Decode(error: bincode::error::DecodeError) {
            display("not a message of another daemon: {}", error)
            from()
        }
        /// The message cannot be encoded.
        Encode(error: bincode::error::EncodeError) {
            display("the message cannot be encoded: {}", error)
            from()
        }
    }
}

/// Message in one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Load that requests put on engines.
    Load(LoadReport),
    /// What backend servers have stated about further requests.
    Notices(NoticeReport),
    /// A question for all such statements, by a daemon that has just started.
    NoticeQuery,
    /// The sender has read new evidence on prompt parts, of which it keeps a copy.
    EvidenceNews,
    /// A request for a permit.
    PermitRequest(PermitRequest),
    /// The reply to such a request.
    PermitReply(PermitReply),
}

impl PeerMessage {
    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, PeerMessageError> {
        match self {
            Self::Load(report) if report.has_work() => {
                let work: Vec<EngineWork> = report.loads.iter().map(|load| load.work()).collect();
                let tagged = encode_after(vec![LOAD_WITH_WORK_TAG], report)?;
                encode_after(tagged, &work)
            }
            Self::Load(report) => encode_after(Vec::new(), report),
            Self::Notices(report) => encode_after(vec![NOTICES_TAG], report),
            Self::NoticeQuery => Ok(vec![NOTICE_QUERY_TAG]),
            Self::EvidenceNews => Ok(vec![EVIDENCE_NEWS_TAG]),
            Self::PermitRequest(request) => encode_after(vec![PERMIT_REQUEST_TAG], request),
            Self::PermitReply(reply) => encode_after(vec![PERMIT_REPLY_TAG], reply),
        }
    }

    /// Decodes a message from a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a message of another daemon.
    pub fn decode(bytes: &[u8]) -> Result<Self, PeerMessageError> {
        let (tag, rest) = match bytes.split_first() {
            Some((tag, rest)) => (*tag, rest),
            None => (0, bytes),
        };
        match tag {
            NOTICES_TAG => Ok(Self::Notices(decode(rest)?)),
            NOTICE_QUERY_TAG => Ok(Self::NoticeQuery),
            EVIDENCE_NEWS_TAG => Ok(Self::EvidenceNews),
            PERMIT_REQUEST_TAG => Ok(Self::PermitRequest(decode(rest)?)),
            PERMIT_REPLY_TAG => Ok(Self::PermitReply(decode(rest)?)),
            LOAD_WITH_WORK_TAG => {
                let (mut report, work): (LoadReport, Vec<EngineWork>) = decode(rest)?;
                for (load, work) in report.loads.iter_mut().zip(work) {
                    load.set_work(work);
                }
                Ok(Self::Load(report))
            }
            _ => Ok(Self::Load(decode(bytes)?)),
        }
    }
}

fn encode_after(mut tag: Vec<u8>, message: &impl Encode) -> Result<Vec<u8>, PeerMessageError> {
    let encoded = bincode::encode_to_vec(message, bincode::config::standard())?;
    tag.extend(encoded);
    Ok(tag)
}

fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, PeerMessageError> {
    let config = bincode::config::standard().with_limit::<DECODED_MAX_BYTES>();
    let (message, _) = bincode::decode_from_slice(bytes, config)?;
    Ok(message)
}
