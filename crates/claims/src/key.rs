//! Idempotency keys: hashing, partitions and the time of a key.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;
use uuid::{Uuid, Version};

/// Length in bytes of the longest idempotency key that is accepted.
pub const MAX_KEY_BYTES: usize = 255;

/// Context string of the BLAKE3 key derivation, which separates claim keys from other hashes.
const KEY_CONTEXT: &str = "anvilgw claim key v1";

/// 128-bit hash of workspace, service and the caller's idempotency key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Hashes workspace, service and idempotency key. The workspace is identified by its name,
    /// since its index changes with the plans list while claims stay in the log.
    #[must_use]
    pub fn new(workspace: &str, service: &str, idempotency_key: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        for part in [workspace, service, idempotency_key] {
            // The length keeps ("ab", "c") apart from ("a", "bc").
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut hash = [0; 16];
        hasher.finalize_xof().fill(&mut hash);
        Self(u128::from_le_bytes(hash))
    }

    /// Returns the number of the partition, and so of the log stream, that holds the claims on this
    /// key: a number below `partitions`.
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

/// Digest of a request. A request that repeats an idempotency key must have the same digest as the
/// first request with that key.
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
            display("an idempotency key must have 1 to {} visible ASCII characters", MAX_KEY_BYTES)
        }
        /// The key is not a UUIDv7 and the request has no `idempotency-key-time` header.
        Undated {
            display("the key is not a UUIDv7 and the idempotency-key-time header is missing")
        }
        /// The `idempotency-key-time` header is not a number of milliseconds.
        InvalidTime(text: String) {
            display("idempotency-key-time {:?} is not a number of milliseconds since 1970", text)
        }
        /// The key is a UUIDv7 and the header has another time than the key.
        TimesDiffer(key_ms: u64, header_ms: u64) {
            display("the key has the time {} but the idempotency-key-time header {}", key_ms, header_ms)
        }
    }
}

/// Time at which the caller created a key, in milliseconds since 1970 by the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyTime(pub u64);

impl KeyTime {
    /// Reads the time from a UUIDv7 key or from the value of the `idempotency-key-time` header.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] if the key is malformed, the header is not a number, neither has a
    /// time, or their times differ.
    pub fn parse(idempotency_key: &str, header: Option<&str>) -> Result<Self, KeyError> {
        let visible = idempotency_key.bytes().all(|byte| byte.is_ascii_graphic());
        if idempotency_key.is_empty() || idempotency_key.len() > MAX_KEY_BYTES || !visible {
            return Err(KeyError::Malformed);
        }
        let header_ms = header.map(parse_ms).transpose()?;
        match (uuid_ms(idempotency_key), header_ms) {
            // With a header that differs from the key's own time, the key's age could change
            // between the requests that repeat it.
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
