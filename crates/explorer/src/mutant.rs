//! Planted faults.

use anvilgw_claims::Flaw;
use anvilgw_config::Flaw as ConfigFlaw;
use anvilgw_fleet::Flaw as FleetFlaw;

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
    /// Of the configuration changes that expect one version the last wins.
    LastChangeWins,
    /// A configuration change is accepted whatever version it expects.
    VersionUnchecked,
    /// Missing records of the configuration are skipped.
    GapSkipped,
    /// A snapshot is used without a check of its digest.
    SnapshotUnchecked,
    /// An update from a peer is applied although it is older.
    OlderUpdateApplied,
    /// The freshness of the view is not checked again before work is sent.
    FreshnessNotRechecked,
    /// The majority without the log is counted among the peers heard recently.
    MajorityOfHeard,
    /// The lease is not checked again before an action of the duty.
    DutyLeaseNotRechecked,
    /// Holder and challenger keep no margin.
    LeaseMarginZero,
    /// A share that grew with an epoch is used at once.
    GrowthAtOnce,
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

    /// Mutants of the configuration.
    pub const CONFIG: &'static [Self] = &[
        Self::LastChangeWins,
        Self::VersionUnchecked,
        Self::GapSkipped,
        Self::SnapshotUnchecked,
        Self::OlderUpdateApplied,
    ];

    /// Mutants of the view's freshness.
    pub const FRESHNESS: &'static [Self] = &[Self::FreshnessNotRechecked, Self::MajorityOfHeard];

    /// Mutants of the leases.
    pub const LEASES: &'static [Self] = &[Self::DutyLeaseNotRechecked, Self::LeaseMarginZero];

    /// Mutants of epochs and budgets.
    pub const BUDGETS: &'static [Self] = &[Self::GrowthAtOnce];

    /// The fault in the claim or order code, if the mutant is one.
    pub(crate) fn flaw(self) -> Option<Flaw> {
        match self {
            Self::LastClaimWins => Some(Flaw::LastClaimWins),
            Self::RetentionIgnored => Some(Flaw::AgeIgnored),
            Self::GrantBeforeFold => Some(Flaw::GrantBeforeFold),
            Self::LeaseNotRechecked => Some(Flaw::LeaseNotRechecked),
            Self::NoWaitOut => Some(Flaw::NoWaitOut),
            _ => None,
        }
    }

    /// The fault in the configuration code, if the mutant is one.
    pub(crate) fn config_flaw(self) -> Option<ConfigFlaw> {
        match self {
            Self::LastChangeWins => Some(ConfigFlaw::LastChangeWins),
            Self::VersionUnchecked => Some(ConfigFlaw::VersionUnchecked),
            Self::GapSkipped => Some(ConfigFlaw::GapSkipped),
            Self::SnapshotUnchecked => Some(ConfigFlaw::SnapshotUnchecked),
            Self::OlderUpdateApplied => Some(ConfigFlaw::OlderUpdateApplied),
            _ => None,
        }
    }

    /// The fault in the fleet code, if the mutant is one.
    pub(crate) fn fleet_flaw(self) -> Option<FleetFlaw> {
        match self {
            Self::MajorityOfHeard => Some(FleetFlaw::MajorityOfHeard),
            Self::GrowthAtOnce => Some(FleetFlaw::GrowthAtOnce),
            _ => None,
        }
    }
}
