//! Membership, view freshness, epochs, leases and shared budgets as pure state machines.
