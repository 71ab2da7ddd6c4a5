//! Patterns of method and path, which declare calls of a service idempotent or not.

use serde::{Deserialize, Serialize};

/// A pattern that matches calls of a service by method and path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathRule {
    /// Method in upper case, or `*` for every method.
    pub method: String,
    /// Path within the service. With a `*` at its end it matches every path with that prefix,
    /// otherwise only the same path.
    pub path: String,
}

impl PathRule {
    /// Parses `METHOD /path`, without a check of either part. Returns `None` if the text has no
    /// space between two parts.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (method, path) = text.trim().split_once(char::is_whitespace)?;
        Some(Self {
            method: method.to_owned(),
            path: path.trim().to_owned(),
        })
    }

    /// Returns whether the rule matches a call. The query string of `path` is ignored.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        path_matches && (self.method == "*" || self.method == method)
    }
}
