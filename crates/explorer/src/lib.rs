//! Explicit-state model checker for the decision code that the daemons run.
//!
//! Each protocol has a model: a state machine that wraps the protocol's decision code and has a
//! step for everything that the network, the log service, a crash or a clock may do. [`search`]
//! visits the reachable states breadth first, so the trace to a violation is a shortest one. A
//! [`Mutant`] is a deliberate fault in a model or in the decision code; the invariants have to
//! detect it.

mod budgets;
mod claims;
mod config;
mod digested;
mod freshness;
mod interned;
mod leases;
mod mutant;
mod orders;
pub mod search;

pub use budgets::{BudgetBounds, budgets_model};
pub use claims::{ClaimBounds, claims_model};
pub use config::{ConfigBounds, config_model};
pub use freshness::{FreshnessBounds, freshness_model};
pub use leases::{LeaseBounds, leases_model};
pub use mutant::Mutant;
pub use orders::{OrderBounds, orders_model};
pub use search::{SearchOutcome, Trace};
