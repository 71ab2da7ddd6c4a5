//! Tasks on the daemon's runtime that bring news to its services.

pub(crate) mod apply;
pub(crate) mod polls;
