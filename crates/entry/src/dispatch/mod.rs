//! From an authenticated request to its answer.

pub(crate) mod completion;
pub(crate) mod prompt;
pub(crate) mod service;
