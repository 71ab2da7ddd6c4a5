//! Tests of the fleet crate, in one binary so that they are linked only once.

mod budgets;
mod driver;
mod epoch;
mod freshness;
mod lease;
mod membership;
mod wire;
