//! Limits that backend servers name on the requests of all daemons together.

mod fleet;
mod notice_reports;
mod permits;
mod simulation;
mod statements;
