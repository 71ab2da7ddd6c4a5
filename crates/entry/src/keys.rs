//! Bearer keys of workspaces and operators.

use blake3::Hash;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// Hashes of the bearer keys and the index of the holder of each.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyTable {
    entries: Vec<(Hash, u32)>,
}

impl KeyTable {
    /// Builds the table from pairs of key hash and holder.
    pub(crate) fn new(entries: impl IntoIterator<Item = (Hash, u32)>) -> Self {
        Self {
            entries: entries.into_iter().collect(),
        }
    }

    /// Finds the holder of the key in the `authorization` header.
    ///
    /// Every entry is compared, and each in constant time, so that the time taken does not reveal
    /// which entry was near.
    pub(crate) fn holder(&self, headers: &HeaderMap) -> Option<u32> {
        let key = bearer(headers)?;
        let hash = blake3::hash(key.as_bytes());
        let mut found = Choice::from(0);
        let mut holder = 0_u32;
        for (entry, index) in &self.entries {
            let equal = entry.as_bytes().ct_eq(hash.as_bytes());
            holder.conditional_assign(index, equal);
            found |= equal;
        }
        bool::from(found).then_some(holder)
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
