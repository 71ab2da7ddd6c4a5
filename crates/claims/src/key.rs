//! Idempotency keys: hashing, partitioning and age.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;
use uuid::{Uuid, Version};

/// Longest idempotency key that is accepted.
pub const MAX_KEY_BYTES: usize = 255;

/// Separates claim keys from other uses of the hash function.
const KEY_CONTEXT: &str = "anvilgw claim key v1";

/// Hash of workspace, service and the caller's idempotency key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Hashes the parts. The workspace is given by name, since its index changes with the plans list
    /// while claims stay in the log.
    #[must_use]
    pub fn new(workspace: &str, service: &str, idempotency_key: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        for part in [workspace, service, idempotency_key] {
            // The length keeps ("ab", "c") apart from ("a", "bc").
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut half = [0; 16];
        hasher.finalize_xof().fill(&mut half);
        Self(u128::from_le_bytes(half))
    }

    /// Number of the partition, and so of the log stream, that holds the claims on this key.
    ///
    /// # Panics
    ///
    /// Panics if `partitions` is zero.
    #[must_use]
    pub fn partition(self, partitions: u16) -> u16 {
        assert!(partitions > 0, "at least one partition is needed");
        (self.0 % u128::from(partitions)) as u16
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Digest of a request: two requests with the same key have to agree in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// Hashes method, path with query, and body.
    #[must_use]
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }
}

quick_error! {
    /// Why an idempotency key is not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum KeyError {
        /// The key is empty, too long or has characters other than visible ASCII.
        Malformed {
            display("an idempotency key has 1 to {} visible ASCII characters", MAX_KEY_BYTES)
        }
        /// The key is no UUIDv7 and no time was given.
        Undated {
            display("the key is no UUIDv7 and there is no idempotency-key-time header")
        }
        /// The header is not a number of milliseconds.
        InvalidTime(text: String) {
            display("idempotency-key-time {:?} is not a number of milliseconds since 1970", text)
        }
        /// The key is a UUIDv7 and the header gives another time.
        TimesDiffer(key_ms: u64, header_ms: u64) {
            display("the key carries the time {} but the header says {}", key_ms, header_ms)
        }
    }
}

/// Time at which the caller made a key, in milliseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyTime(pub u64);

impl KeyTime {
    /// Takes the time from a UUIDv7 key or from the value of the `idempotency-key-time` header.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the key is malformed, has no time, or has two different ones.
    pub fn parse(idempotency_key: &str, header: Option<&str>) -> Result<Self, KeyError> {
        let visible = idempotency_key.bytes().all(|byte| byte.is_ascii_graphic());
        if idempotency_key.is_empty() || idempotency_key.len() > MAX_KEY_BYTES || !visible {
            return Err(KeyError::Malformed);
        }
        let header_ms = header.map(parse_ms).transpose()?;
        match (uuid_ms(idempotency_key), header_ms) {
            // A time that differs from the key's own would change the key's age between repeats.
            (Some(key_ms), Some(header_ms)) if key_ms != header_ms => {
                Err(KeyError::TimesDiffer(key_ms, header_ms))
            }
            (Some(ms), _) | (None, Some(ms)) => Ok(Self(ms)),
            (None, None) => Err(KeyError::Undated),
        }
    }
}

fn parse_ms(text: &str) -> Result<u64, KeyError> {
    text.parse()
        .map_err(|_| KeyError::InvalidTime(text.to_owned()))
}

fn uuid_ms(idempotency_key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(idempotency_key).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}
