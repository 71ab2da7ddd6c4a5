//! Faults that the model checker injects into this crate.

/// A fault that the model checker injects, to check that it finds the violation that follows.
/// Nothing else sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// The last claim in offset order wins instead of the first.
    LastClaimWins,
    /// Claims are granted whatever the age of their keys, although records may have been trimmed.
    AgeIgnored,
    /// A claim is granted as soon as its append succeeds, before the records at lower offsets are
    /// folded.
    GrantBeforeFold,
    /// The lease is not checked again directly before an order is sent.
    LeaseNotRechecked,
    /// A new lease holder does not wait until orders of the previous one can no longer take effect.
    NoWaitOut,
}
