//! Sections and keys of the operators' lists.

use super::Kind::*;
use super::{Keys, Occurrence, SectionSpec, keys};

/// The plans list.
///
/// The fold of the configuration stream applies the rules of both lists. Daemons of two versions decide
/// alike only if the rules stay the same, so a stricter or looser rule needs a new record format.
pub(crate) const PLANS: &[SectionSpec] = &[SectionSpec {
    kind: "workspace",
    occurrence: Occurrence::Named,
    keys: Keys::Fixed(PLAN),
    about: "Plan of one workspace.",
}];

/// The entitlements list.
pub(crate) const ENTITLEMENTS: &[SectionSpec] = &[SectionSpec {
    kind: "workspace",
    occurrence: Occurrence::Named,
    keys: Keys::Fixed(ENTITLEMENT),
    about: "What the plan of one workspace may use.",
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
