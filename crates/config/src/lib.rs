//! Settings file, plans, entitlements and the fold of the configuration stream.
//!
//! Everything here is pure: texts, records and states go in, typed values and typed errors come out.

mod fault;
mod ini;
mod settings;
mod spec;

pub use fault::{Fault, Faults};
pub use settings::{
    BackendServer, BudgetSettings, ClaimSettings, DaemonSettings, DomainSettings,
    InstanceListSettings, KeyHash, LimitSettings, LogSettings, LoggingSettings, MetricsSettings,
    ModelSettings, Output, PathRule, ServerSettings, ServiceServer, ServiceSettings, Settings,
    StoreSettings, TraceSettings, UndatedKeys, WeightSettings,
};
pub use spec::reference_markdown;
