//! Planted faults.

use anvilgw_claims::Flaw;

/// A fault that a model plants in itself or in the decision code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Requests are sent without a claim.
    ClaimSkipped,
    /// Requests are sent first and claimed afterwards.
    ClaimAfterSend,
    /// The last claim in offset order wins.
    LastClaimWins,
    /// Keys are granted whatever their age.
    RetentionIgnored,
    /// A claim is granted on the append's answer, before the records in front of it are folded.
    GrantBeforeFold,
    /// A claim is abandoned although its request was sent.
    AbandonAfterSend,
    /// A failure after sending is reported at the stage before it.
    StageSetLate,
    /// The outcome is recorded with the answer of another attempt.
    WrongAnswerRecorded,
    /// Open claims never expire.
    NoExpiry,
    /// The lease is not checked again before an order is sent.
    LeaseNotRechecked,
    /// A new lease holder does not wait for the previous holder's orders.
    NoWaitOut,
}

impl Mutant {
    /// Mutants of the claim protocol.
    pub const CLAIMS: &'static [Self] = &[
        Self::ClaimSkipped,
        Self::ClaimAfterSend,
        Self::LastClaimWins,
        Self::RetentionIgnored,
        Self::GrantBeforeFold,
        Self::AbandonAfterSend,
        Self::StageSetLate,
        Self::WrongAnswerRecorded,
        Self::NoExpiry,
    ];

    /// Mutants of the order protocol.
    pub const ORDERS: &'static [Self] = &[Self::LeaseNotRechecked, Self::NoWaitOut];

    /// The fault in the decision code, if the mutant is one.
    pub(crate) fn flaw(self) -> Option<Flaw> {
        match self {
            Self::LastClaimWins => Some(Flaw::LastClaimWins),
            Self::RetentionIgnored => Some(Flaw::AgeIgnored),
            Self::GrantBeforeFold => Some(Flaw::GrantBeforeFold),
            Self::LeaseNotRechecked => Some(Flaw::LeaseNotRechecked),
            Self::NoWaitOut => Some(Flaw::NoWaitOut),
            Self::ClaimSkipped
            | Self::ClaimAfterSend
            | Self::AbandonAfterSend
            | Self::StageSetLate
            | Self::WrongAnswerRecorded
            | Self::NoExpiry => None,
        }
    }
}
