//! Micro-kernel of the daemon.
//!
//! Services register under a name and find each other by it, so a service depends on interfaces and
//! not on how the daemon is assembled. Each duty runs on a named thread of its own; duties exchange
//! messages over bounded rings. Events worth explaining go to the bounded [`Journal`].

mod channel;
mod journal;
mod registry;
mod worker_thread;

pub use channel::{Receiver, RecvTimeoutError, SendError, Sender, TryRecvError, bounded_channel};
pub use journal::{Event, EventKind, Journal};
pub use registry::{Registry, RegistryError, Service};
pub use worker_thread::{StopSignal, WorkerThread};
