//! Parses and checks the settings file, the plans list and the entitlements list, and folds the
//! configuration stream into the configuration that all daemons agree on.
//!
//! Nothing in this crate does I/O or reads a clock, except [`RecordId::generate`]: texts, log
//! records and states go in, typed values and typed errors come out.

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
pub use stream::Flaw;
pub use stream::{
    AcceptedChange, Bootstrap, BootstrapError, ConfigChange, ConfigDigest, ConfigFold,
    ConfigRecord, ConfigState, FoldError, FoldOutcome, Outcome, PeerUpdate, PeerUpdateError,
    RecordError, RecordId, RecordOutcome, Rejection, Snapshot, SnapshotError,
};
