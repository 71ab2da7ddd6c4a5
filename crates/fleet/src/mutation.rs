//! Deliberate faults for the model checker.

/// A fault that the model checker plants to show that it would be found. Nothing else sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// The majority is counted among the peers last_heard recently instead of the last epoch.
    MajorityOfHeard,
    /// A share that grew with an epoch is used at once.
    GrowthAtOnce,
}
