//! Limits that backend servers name on the requests of all daemons together.

mod fleet;
mod permits;
mod simulation;
mod statements;
