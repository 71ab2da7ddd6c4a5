//! Micro-kernel of the daemon.
//!
//! Services register under a name and find each other by it, so a service depends on interfaces and
//! not on how the daemon is assembled. Each duty runs on a named thread of its own; duties exchange
//! messages over bounded rings. Events worth explaining go to the bounded [`Journal`].

mod duty;
mod journal;
mod registry;
mod ring;

pub use duty::{Duty, Stop};
pub use journal::{Event, EventKind, Journal};
pub use registry::{Registry, RegistryError, Service};
pub use ring::{Receiver, RecvTimeoutError, RingFull, Sender, TryRecvError, ring};
