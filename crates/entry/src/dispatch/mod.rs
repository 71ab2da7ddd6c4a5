//! From an authenticated request to its answer.

mod claimed;
pub(crate) mod completion;
pub(crate) mod prompt;
pub(crate) mod service;
