//! Building blocks of the daemon.
//!
//! Services register under a name in the [`Registry`] and find each other by it, so that a service
//! does not depend on how the daemon is assembled. Each duty of the daemon runs on a
//! [`WorkerThread`]; these threads exchange messages over bounded channels. The bounded [`Journal`]
//! records events that operators may need to have explained.

mod channel;
mod journal;
mod registry;
mod worker_thread;

pub use channel::{Receiver, RecvTimeoutError, SendError, Sender, TryRecvError, bounded_channel};
pub use journal::{Event, EventKind, Journal};
pub use registry::{Registry, RegistryError, Service};
pub use worker_thread::{StopSignal, WorkerThread};
