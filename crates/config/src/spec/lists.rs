//! Specification of the sections and keys of the plans list and the entitlements list.

use super::ValueKind::*;
use super::{Occurrence, SectionKeys, SectionSpec, keys};

/// Sections of the plans list.
///
/// The fold of the configuration stream validates both lists with these tables. Daemons of
/// different versions accept the same changes only while the rules are the same, so a stricter or
/// looser rule needs a new format of the configuration record.
pub(crate) const PLANS: &[SectionSpec] = &[SectionSpec {
    kind: "workspace",
    occurrence: Occurrence::Named,
    keys: SectionKeys::Fixed(PLAN),
    description: "Plan of one workspace.",
}];

/// Sections of the entitlements list. A change of its rules needs a new record format, see
/// [`PLANS`].
pub(crate) const ENTITLEMENTS: &[SectionSpec] = &[SectionSpec {
    kind: "workspace",
    occurrence: Occurrence::Named,
    keys: SectionKeys::Fixed(ENTITLEMENT),
    description: "What the plan of one workspace may use.",
}];

keys! { PLAN =>
    required "requests_per_s", Integer(1, 10_000_000), "20", "Requests per second over all daemons.";
    required "tokens_per_s", Integer(1, 1_000_000_000), "20000", "Prompt and generated tokens per second over all daemons.";
    required "burst_requests", Integer(1, 10_000_000), "40", "Requests that may arrive at once.";
    required "burst_tokens", Integer(1, 1_000_000_000), "60000", "Tokens that may be asked for at once.";
    required "concurrency", Integer(1, 1_000_000), "16", "Requests that run at once.";
    default "weight", Integer(1, 10_000), "100", "Share of capacity under contention, relative to other workspaces.";
    default "priority", OneOf(&["interactive", "batch"]), "interactive", "Batch work starts only when no interactive work waits.";
}

keys! { ENTITLEMENT =>
    optional "models", NamesOrNone, "lumen-8b", "Models that the workspace may use.";
    optional "adapters", NamesOrNone, "fixtures", "Adapters that the workspace may use.";
    optional "services", NamesOrNone, "court-control", "Services that the workspace may call.";
}
