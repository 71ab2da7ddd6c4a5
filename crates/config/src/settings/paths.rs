//! Rules that say which calls of a service are idempotent.

use serde::{Deserialize, Serialize};

/// A method and a path, either of which may be a pattern.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathRule {
    /// Method in upper case, or `*` for all.
    pub method: String,
    /// Path within the service. With a `*` at its end it stands for all paths that begin with it.
    pub path: String,
}

impl PathRule {
    /// Parses `METHOD /path`. Returns `None` if the text has no path.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (method, path) = text.trim().split_once(char::is_whitespace)?;
        Some(Self {
            method: method.to_owned(),
            path: path.trim().to_owned(),
        })
    }

    /// Whether the rule covers a call. The query string does not count.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let path_covered = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        path_covered && (self.method == "*" || self.method == method)
    }
}
