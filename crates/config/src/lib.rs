//! Settings file, plans, entitlements and the fold of the configuration stream.
//!
//! Everything here is pure: texts, records and states go in, typed values and typed errors come out.

mod admin;
mod fault;
mod ini;
mod lists;
mod settings;
mod spec;
mod stream;

pub use admin::{
    ChangeAnswer, ChangeRequest, ConfigReport, DutyStatus, EpochForced, EventReport, InForce,
    MemberStatus, PartitionStatus, ServerStatus, StatusReport, Verdict, WorkspaceStatus,
};
pub use fault::{Fault, Faults};
pub use lists::{
    Difference, Entitlement, Entitlements, ListRow, ListValue, OperatorList, Plan, Plans, Priority,
    contradictions,
};
pub use settings::{
    BackendServer, BudgetSettings, ClaimSettings, DaemonSettings, DomainSettings,
    InstanceListSettings, KeyHash, LimitSettings, LogSettings, LoggingSettings, MetricsSettings,
    ModelSettings, Output, PathRule, ServerSettings, ServiceServer, ServiceSettings, Settings,
    StoreSettings, TraceSettings, UndatedKeys, WeightSettings,
};
pub use spec::reference_markdown;
#[doc(hidden)]
pub use stream::Flaw;
pub use stream::{
    AcceptedChange, Bootstrap, BootstrapError, ConfigChange, ConfigDigest, ConfigFold,
    ConfigRecord, ConfigState, FoldError, Folded, Outcome, PeerError, PeerUpdate, RecordError,
    RecordId, RecordOutcome, Rejection, Snapshot, SnapshotError,
};
