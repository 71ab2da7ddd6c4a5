//! Server selection, learned speeds and admission under load, without a network.

mod engines;
mod speed;
mod start;
