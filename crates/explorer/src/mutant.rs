//! Deliberate faults that the invariants of the models have to detect.

use anvilgw_claims::Flaw;
use anvilgw_config::Flaw as ConfigFlaw;
use anvilgw_fleet::Flaw as FleetFlaw;

/// A fault that is put into a model or into the decision code. A model that is run with it has to
/// report a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Requests are sent without a claim.
    ClaimSkipped,
    /// Requests are sent before they are claimed.
    ClaimAfterSend,
    /// Of several claims to a key the one with the highest offset is granted, and not the first.
    LastClaimWins,
    /// Claims are granted whatever the age of their keys, although records may have been trimmed.
    RetentionIgnored,
    /// A claim is granted when its append is answered, before the records at lower offsets are
    /// folded.
    GrantBeforeFold,
    /// A claim is abandoned, which frees the key, although its request was sent.
    AbandonAfterSend,
    /// A failure after sending is reported as one before sending, hence as not executed.
    StageSetLate,
    /// The recorded outcome contains an answer that the attempt did not get.
    WrongAnswerRecorded,
    /// Open claims never expire.
    NoExpiry,
    /// The lease is not checked again before an order is sent.
    LeaseNotRechecked,
    /// A new lease holder does not wait until the previous holder's orders can no longer take
    /// effect.
    NoWaitOut,
    /// Of several configuration changes that expect the same version the last one is accepted, and
    /// not the first.
    LastChangeWins,
    /// A configuration change is accepted whatever version it expects.
    VersionUnchecked,
    /// A gap in the offsets of the configuration's records is skipped instead of being reported.
    GapSkipped,
    /// A snapshot is used without verifying its digest.
    SnapshotUnchecked,
    /// An update from a peer is applied although its version is older than the daemon's.
    OlderUpdateApplied,
    /// The freshness of the daemon's view is not checked again before work is sent.
    FreshnessNotRechecked,
    /// Without access to the log, the majority is computed from the peers heard recently and not
    /// from all members of the epoch.
    MajorityOfHeard,
    /// The lease of a duty is not checked again before an action that it covers.
    DutyLeaseNotRechecked,
    /// The lease margin is zero: the holder does not stop before the end of the lease, and
    /// challengers do not wait beyond it.
    LeaseMarginZero,
    /// A budget share that grew with a new epoch is used at once, while others may still use the
    /// old epoch's shares.
    GrowthAtOnce,
}

impl Mutant {
    /// Mutants that [`claims_model`](crate::claims_model) has to detect.
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

    /// Mutants that [`orders_model`](crate::orders_model) has to detect.
    pub const ORDERS: &'static [Self] = &[Self::LeaseNotRechecked, Self::NoWaitOut];

    /// Mutants that [`config_model`](crate::config_model) has to detect.
    pub const CONFIG: &'static [Self] = &[
        Self::LastChangeWins,
        Self::VersionUnchecked,
        Self::GapSkipped,
        Self::SnapshotUnchecked,
        Self::OlderUpdateApplied,
    ];

    /// Mutants that [`freshness_model`](crate::freshness_model) has to detect.
    pub const FRESHNESS: &'static [Self] = &[Self::FreshnessNotRechecked, Self::MajorityOfHeard];

    /// Mutants that [`leases_model`](crate::leases_model) has to detect.
    pub const LEASES: &'static [Self] = &[Self::DutyLeaseNotRechecked, Self::LeaseMarginZero];

    /// Mutants that [`budgets_model`](crate::budgets_model) has to detect.
    pub const BUDGETS: &'static [Self] = &[Self::GrowthAtOnce];

    /// Returns the fault to enable in the claim and order code, or `None` if the mutant has its
    /// fault elsewhere.
    pub(crate) fn claims_flaw(self) -> Option<Flaw> {
        match self {
            Self::LastClaimWins => Some(Flaw::LastClaimWins),
            Self::RetentionIgnored => Some(Flaw::AgeIgnored),
            Self::GrantBeforeFold => Some(Flaw::GrantBeforeFold),
            Self::LeaseNotRechecked => Some(Flaw::LeaseNotRechecked),
            Self::NoWaitOut => Some(Flaw::NoWaitOut),
            _ => None,
        }
    }

    /// Returns the fault to enable in the configuration code, or `None` if the mutant has its fault
    /// elsewhere.
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

    /// Returns the fault to enable in the fleet code, or `None` if the mutant has its fault
    /// elsewhere.
    pub(crate) fn fleet_flaw(self) -> Option<FleetFlaw> {
        match self {
            Self::MajorityOfHeard => Some(FleetFlaw::MajorityOfHeard),
            Self::GrowthAtOnce => Some(FleetFlaw::GrowthAtOnce),
            _ => None,
        }
    }
}
