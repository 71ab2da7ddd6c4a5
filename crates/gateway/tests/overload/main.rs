//! Server selection, learned speeds and admission under load, without a network.

mod admission;
mod engines;
mod speed;
mod start;
mod workspaces;
