//! Deliberate faults for the model checker.

/// A fault that the model checker plants to show that it would be found. Nothing else sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// The last claim in offset order wins instead of the first.
    LastClaimWins,
    /// Keys are granted whatever their age, although their records may have been trimmed.
    AgeIgnored,
    /// A claim counts as granted when its append is answered, before the records in front of it
    /// are folded.
    GrantBeforeFold,
    /// The lease is not checked again directly before an order is sent.
    LeaseNotRechecked,
    /// A new lease holder does not wait for the orders of the previous one.
    NoWaitOut,
}
