//! Scopes that keep cached prompt parts apart.
//!
//! Engines and cache stores find a part only under the scope with which it was written, and a store
//! frees all parts with an identifier under a scope. A scope therefore names everything that makes
//! one part different from another with the same identifier.

use percent_encoding::{AsciiSet, CONTROLS, percent_decode_str, utf8_percent_encode};
use std::borrow::Cow;

/// First character of a scope. Scopes of releases that did not name the model begin with another
/// one, so they are never taken for scopes of this format.
const PREFIX: char = 'm';
/// Separates the fields of a scope: the model, the version, and whose requests share the parts.
const SEPARATOR: char = '/';
/// Precedes the version in its field, which contains nothing else if the version is not known.
const VERSION_PREFIX: char = 'w';
/// Precedes the name of an isolated workspace in the last field.
const ISOLATED_PREFIX: char = 'i';
/// Precedes the hash of all isolated workspaces in the last field of the scope that others share.
const SHARED_PREFIX: char = 's';
/// ASCII characters of names that are escaped, so that a name stays within its field.
const ESCAPED: &AsciiSet = &CONTROLS.add(SEPARATOR as u8).add(b'%');

/// Whose requests share cached prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheSharing<'a> {
    /// Those of this isolated workspace alone.
    Isolated(&'a str),
    /// Those of all workspaces that are not isolated.
    Shared {
        /// Hash of the workspaces that are isolated; `None` if there are none. Parts that a
        /// workspace made before it became isolated have another one, so others do not find them.
        isolated_hash: Option<u64>,
    },
}

impl CacheSharing<'_> {
    /// Sharing among all workspaces, while none is isolated.
    pub const ALL: Self = Self::Shared {
        isolated_hash: None,
    };
}

/// Weights by which a part was computed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScopeWeights<'a> {
    /// Name of the model.
    pub model: Cow<'a, str>,
    /// Version of the model's weights.
    pub version: u64,
}

/// Returns the scope that keeps cached prompts apart: the model and the version of the weights that
/// computed them, and whose requests share them.
#[must_use]
pub fn cache_scope(model: &str, version: Option<u64>, sharing: CacheSharing<'_>) -> String {
    let model = utf8_percent_encode(model, ESCAPED);
    let mut scope = format!("{PREFIX}{model}{SEPARATOR}{VERSION_PREFIX}");
    if let Some(version) = version {
        scope.push_str(&version.to_string());
    }
    match sharing {
        CacheSharing::Isolated(workspace) => {
            scope.extend([SEPARATOR, ISOLATED_PREFIX]);
            scope.extend(utf8_percent_encode(workspace, ESCAPED));
        }
        CacheSharing::Shared {
            isolated_hash: Some(hash),
        } => scope.push_str(&format!("{SEPARATOR}{SHARED_PREFIX}{hash:x}")),
        CacheSharing::Shared {
            isolated_hash: None,
        } => {}
    }
    scope
}

/// Returns the weights in a scope, or `None` if it names no version or was not made by
/// [`cache_scope`].
#[must_use]
pub fn scope_weights(scope: &str) -> Option<ScopeWeights<'_>> {
    let mut fields = scope.strip_prefix(PREFIX)?.split(SEPARATOR);
    let model = percent_decode_str(fields.next()?).decode_utf8().ok()?;
    let version = fields.next()?.strip_prefix(VERSION_PREFIX)?.parse().ok()?;
    Some(ScopeWeights { model, version })
}
