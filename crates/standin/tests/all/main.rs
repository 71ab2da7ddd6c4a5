//! Tests of the stand-ins' own behaviour.

mod binary;
mod memory_log;
mod server;
