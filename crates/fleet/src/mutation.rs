//! Faults that the model checker injects.

/// Fault that the model checker injects to show that it would find it. It is never set in a running
/// daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// Counts the majority among the peers heard from recently instead of the members of the last
    /// epoch.
    MajorityOfHeard,
    /// Uses a share that grew with an epoch at once.
    GrowthAtOnce,
}
