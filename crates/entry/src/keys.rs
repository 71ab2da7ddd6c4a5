//! Authentication of workspaces and operators by bearer keys.

use blake3::Hash;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// Hashes of bearer keys, each with the index of the workspace or operator that it belongs to.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyTable {
    entries: Vec<(Hash, u32)>,
}

impl KeyTable {
    /// Builds the table from pairs of a key hash and the index that the key belongs to. Several
    /// keys may have the same index.
    pub(crate) fn new(entries: impl IntoIterator<Item = (Hash, u32)>) -> Self {
        Self {
            entries: entries.into_iter().collect(),
        }
    }

    /// Returns the index that the key in the `authorization` header belongs to, or `None` if the
    /// header is missing, malformed or has an unknown key.
    ///
    /// Compares the key with every entry, and each in constant time, so that the duration does not
    /// reveal how much of an entry matched.
    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Option<u32> {
        let key = bearer_key(headers)?;
        let hash = blake3::hash(key.as_bytes());
        let mut found = Choice::from(0);
        let mut owner_index = 0_u32;
        for (entry, index) in &self.entries {
            let equal = entry.as_bytes().ct_eq(hash.as_bytes());
            owner_index.conditional_assign(index, equal);
            found |= equal;
        }
        bool::from(found).then_some(owner_index)
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
