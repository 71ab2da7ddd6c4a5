//! Identifiers that are small and `Copy`.
//!
//! Names of workspaces, models and servers are used only at the boundaries of the system.
//! Internally, each is represented by its index in a table built from the current configuration.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

macro_rules! id {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

id!(
    /// Index of a workspace in the plans list.
    WorkspaceId(u32)
);
id!(
    /// Index of a model in the settings.
    ModelId(u16)
);
id!(
    /// Index of a backend server in the settings.
    ServerId(u32)
);
id!(
    /// Index of a store instance in the settings.
    StoreId(u16)
);
id!(
    /// Index of a failure domain in the settings.
    DomainId(u16)
);
id!(
    /// Position of a record in a stream of the log service.
    Offset(u64)
);
id!(
    /// Number of one attempt to execute a request, unique within a daemon incarnation.
    AttemptId(u64)
);

/// Identifier of one caller request, shown as 32 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Identifier of a daemon process. The incarnation distinguishes it from earlier processes with the
/// same number in the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DaemonId {
    /// Number of the daemon in the settings.
    pub index: u32,
    /// Wall clock time of the start of the process in milliseconds since 1970.
    pub incarnation: u64,
}

impl fmt::Display for DaemonId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.index, self.incarnation)
    }
}
