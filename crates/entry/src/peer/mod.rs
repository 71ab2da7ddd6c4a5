//! Messages between daemons.

mod transport;
