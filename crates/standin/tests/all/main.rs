//! Tests of the stand-ins' own behaviour.

mod memory_log;
