//! Model checker over the decision code, with mutants.
//!
//! Each family of protocols has a module with a small state machine around the decision code that
//! the daemon runs: everything that the network, the log service, crashes and clocks may do is a
//! step. [`search`] explores all of it breadth first, so a trace to a violation is a shortest one.
//! A mutant plants a fault that the invariants have to catch.

mod budgets;
mod claims;
mod config;
mod freshness;
mod keyed;
mod leases;
mod mutant;
mod orders;
pub mod search;
mod shared;

pub use budgets::{BudgetBounds, budgets_model};
pub use claims::{ClaimBounds, claims_model};
pub use config::{ConfigBounds, config_model};
pub use freshness::{FreshnessBounds, freshness_model};
pub use leases::{LeaseBounds, leases_model};
pub use mutant::Mutant;
pub use orders::{OrderBounds, orders_model};
pub use search::{SearchOutcome, Trace};
