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
    ChangeRequest, ChangeResponse, ChangeVerdict, ConfigReport, DaemonConfigVersion, DutyStatus,
    EventReport, ForceEpochResponse, MemberStatus, PartitionStatus, ServerStatus, StatusReport,
    WorkspaceStatus,
};
pub use fault::{Fault, Faults};
pub use lists::{
    Entitlement, Entitlements, ListDifference, ListRow, ListValue, Plan, Plans, Priority,
    WorkspaceList, find_contradictions,
};
pub use settings::{
    BackendServer, BudgetSettings, ClaimSettings, CostWeightSettings, DaemonSettings,
    DomainSettings, InstanceListSettings, KeyHash, LimitSettings, LogSettings, LoggingSettings,
    MetricsSettings, ModelSettings, Output, PathRule, ServerSettings, ServiceServer,
    ServiceSettings, Settings, StoreSettings, TraceSettings, UndatedKeys,
};
pub use spec::reference_markdown;
#[doc(hidden)]
pub use stream::Mutation;
pub use stream::{
    AcceptedChange, Bootstrap, BootstrapError, ConfigChange, ConfigDigest, ConfigFold,
    ConfigRecord, ConfigState, FoldError, FoldOutcome, Outcome, PeerUpdate, PeerUpdateError,
    RecordError, RecordId, RecordOutcome, Rejection, Snapshot, SnapshotError,
};
