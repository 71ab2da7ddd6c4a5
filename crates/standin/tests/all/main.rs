//! Tests of the stand-ins themselves.

mod binary;
mod memory_log;
mod server;
