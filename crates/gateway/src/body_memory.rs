//! Account of the memory that clients make the process hold.

pub mod closing;
mod connection;

use closing::{costliest, first_to_close};
use connection::{CONNECTION_BYTES, Usage};
pub use connection::{CloseReason, ConnectionMemory};
use indexmap::IndexMap;
use slotmap::{SlotMap, new_key_type};
use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Bodies may take up the process's memory limit divided by this.
const BODIES_DIVISOR: u64 = 3;
/// Part of the process's memory limit that bodies, buffers and connections may take up together. The
/// rest is for the daemon's state and for memory that the allocator cannot return.
const TOTAL_NUMERATOR: u64 = 5;
const TOTAL_DENOMINATOR: u64 = 12;
/// Part of the memory for bodies that the requests of one workspace or address may take up.
const GROUP_NUMERATOR: u64 = 3;
const GROUP_DENOMINATOR: u64 = 4;
/// Connections may take up the total divided by this, so that they leave room for bodies.
const CONNECTIONS_DIVISOR: u64 = 2;
/// Smallest memory of a connection that is closed for its memory. Connections without a body hold
/// less, so closing them would free too little.
const CLOSED_MIN_BYTES: u64 = 64 * 1024;
/// Largest number of connections that are closed for one reservation, or in one tick.
const CLOSED_MAX: usize = 4;
/// Longest wait until a closed connection has released its memory.
const RELEASE_MAX: Duration = Duration::from_millis(200);

new_key_type! {
    /// Key of an open connection.
    struct ConnectionKey;
}

/// Owner of requests that share a bound: a workspace, or the address of clients without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GroupKey(u64);

impl GroupKey {
    /// Returns the group of a workspace.
    #[must_use]
    pub fn of_workspace(name: &str) -> Self {
        Self::of(name)
    }

    /// Returns the group of a client address.
    #[must_use]
    pub fn of_address(address: IpAddr) -> Self {
        Self::of(address)
    }

    fn of(value: impl Hash) -> Self {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// What clients make the process hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldMemory {
    /// Bytes of bodies of requests and answers.
    pub bodies_bytes: u64,
    /// Bytes of bodies, buffers and connections.
    pub total_bytes: u64,
    /// Bound on `total_bytes`.
    pub total_max_bytes: u64,
}

#[derive(Debug)]
struct Shared {
    bodies_max_bytes: u64,
    total_max_bytes: u64,
    bodies_bytes: Cell<u64>,
    total_bytes: Cell<u64>,
    by_group: RefCell<IndexMap<GroupKey, u64>>,
    connections: RefCell<SlotMap<ConnectionKey, Rc<Usage>>>,
    /// Time of the last tick.
    now: Cell<Duration>,
    /// Notified when memory was released.
    released: Notify,
}

impl Shared {
    fn add_total(&self, bytes: u64) {
        self.total_bytes
            .set(self.total_bytes.get().saturating_add(bytes));
    }

    fn release_total(&self, bytes: u64) {
        self.total_bytes
            .set(self.total_bytes.get().saturating_sub(bytes));
        self.released.notify_waiters();
    }

    /// Reserves bytes of a body, and returns whether the bounds allowed it.
    fn try_reserve(&self, group: GroupKey, bytes: u64) -> bool {
        let bodies = self.bodies_bytes.get().saturating_add(bytes);
        let total = self.total_bytes.get().saturating_add(bytes);
        let group_max = self.bodies_max_bytes / GROUP_DENOMINATOR * GROUP_NUMERATOR;
        let mut by_group = self.by_group.borrow_mut();
        let held = by_group.get(&group).copied().unwrap_or(0);
        let of_group = held.saturating_add(bytes);
        if bodies > self.bodies_max_bytes || total > self.total_max_bytes || of_group > group_max {
            return false;
        }
        self.bodies_bytes.set(bodies);
        self.total_bytes.set(total);
        by_group.insert(group, of_group);
        true
    }

    fn release(&self, group: GroupKey, bytes: u64) {
        let bodies = self.bodies_bytes.get().saturating_sub(bytes);
        self.bodies_bytes.set(bodies);
        let mut by_group = self.by_group.borrow_mut();
        if let Some(held) = by_group.get_mut(&group) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                by_group.swap_remove(&group);
            }
        }
        self.release_total(bytes);
    }

    /// Closes the connection that holds most for longest with the least progress. Closes none if all
    /// make progress, unless one group takes more than half and the connection in need is of
    /// another group. Returns whether it has closed one.
    fn close_one(&self, for_connection: Option<&Rc<Usage>>, reason: CloseReason) -> bool {
        let held_min_bytes = for_connection.map_or(0, |_| CLOSED_MIN_BYTES);
        let now = self.now.get();
        let connections = self.connections.borrow();
        let waiting = || {
            connections
                .values()
                .filter(|usage| for_connection.is_none_or(|other| !Rc::ptr_eq(usage, other)))
                .filter(|usage| usage.held_bytes.get() >= held_min_bytes)
                .filter_map(|usage| Some((usage, usage.waiting(now)?)))
        };
        let chosen = first_to_close(waiting()).or_else(|| {
            let group = self.dominant_group(for_connection?.group())?;
            costliest(waiting().filter(|(usage, _)| usage.group() == group))
        });
        let Some(usage) = chosen else {
            return false;
        };
        usage.close(reason);
        true
    }

    /// Returns the group that takes more than half of the memory for bodies, if it is not `of`.
    fn dominant_group(&self, of: GroupKey) -> Option<GroupKey> {
        let by_group = self.by_group.borrow();
        let (group, held) = by_group.iter().max_by_key(|(_, held)| **held)?;
        (*group != of && *held > self.bodies_max_bytes / 2).then_some(*group)
    }
}

/// Bounds the memory that the process holds for clients: connections, heads, bodies of requests and
/// answers, and buffers of streams. Without it, clients could exceed the process's memory limit, for
/// which the platform kills the process.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    shared: Rc<Shared>,
}

impl BodyMemory {
    /// Creates the account of a process that may use `memory_max_bytes` in total.
    #[must_use]
    pub fn new(memory_max_bytes: u64) -> Self {
        Self {
            shared: Rc::new(Shared {
                bodies_max_bytes: memory_max_bytes / BODIES_DIVISOR,
                total_max_bytes: memory_max_bytes / TOTAL_DENOMINATOR * TOTAL_NUMERATOR,
                bodies_bytes: Cell::default(),
                total_bytes: Cell::default(),
                by_group: RefCell::default(),
                connections: RefCell::default(),
                now: Cell::default(),
                released: Notify::new(),
            }),
        }
    }

    /// Returns the number of connections for which there is memory.
    #[must_use]
    pub fn connections_max(&self) -> usize {
        let count = self.shared.total_max_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Adds a connection until the returned guard is dropped.
    #[must_use]
    pub fn open(&self, address: IpAddr) -> OpenConnection {
        let usage = Rc::new(Usage::new(address, self.shared.now.get()));
        self.shared.add_total(CONNECTION_BYTES);
        let mut connections = self.shared.connections.borrow_mut();
        let key = connections.insert(Rc::clone(&usage));
        OpenConnection {
            key,
            memory: ConnectionMemory {
                usage,
                shared: Rc::clone(&self.shared),
            },
        }
    }

    /// Closes a connection to make room for another one. Considers only those of the address `of`,
    /// if it is given. Returns `false` if all connections make progress or are being served.
    #[must_use]
    pub fn close_for_room(&self, of: Option<IpAddr>) -> bool {
        let Some(address) = of else {
            return self.shared.close_one(None, CloseReason::Room);
        };
        let now = self.shared.now.get();
        let connections = self.shared.connections.borrow();
        let waiting = connections
            .values()
            .filter(|usage| usage.address == address)
            .filter_map(|usage| Some((usage, usage.waiting(now)?)));
        let chosen = first_to_close(waiting);
        chosen
            .inspect(|usage| usage.close(CloseReason::Room))
            .is_some()
    }

    /// Observes the progress of all connections, about once a second. Closes those that have read
    /// nothing of an answer for `unread_max`, and up to `CLOSED_MAX` slow ones if the total is
    /// exceeded.
    pub fn tick(&self, now: Duration, unread_max: Duration) {
        self.shared.now.set(now);
        for usage in self.shared.connections.borrow().values() {
            usage.tick(now);
            if usage.unread_for(now) >= unread_max && usage.close_reason.get().is_none() {
                usage.close(CloseReason::Unread);
            }
        }
        let excess = |shared: &Shared| shared.total_bytes.get() > shared.total_max_bytes;
        if excess(&self.shared) {
            for _ in 0..CLOSED_MAX {
                self.shared.close_one(None, CloseReason::Memory);
            }
        }
    }

    /// Returns what is held now.
    #[must_use]
    pub fn held(&self) -> HeldMemory {
        HeldMemory {
            bodies_bytes: self.shared.bodies_bytes.get(),
            total_bytes: self.shared.total_bytes.get(),
            total_max_bytes: self.shared.total_max_bytes,
        }
    }
}

/// A connection in the account, until this is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    key: ConnectionKey,
    memory: ConnectionMemory,
}

impl Deref for OpenConnection {
    type Target = ConnectionMemory;

    fn deref(&self) -> &ConnectionMemory {
        &self.memory
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let shared = &self.memory.shared;
        shared.connections.borrow_mut().remove(self.key);
        self.memory.usage.end();
        // Reservations release their part themselves when they are dropped.
        shared.release_total(self.memory.usage.own_bytes());
    }
}

/// Memory that is reserved for a body until this is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: ConnectionMemory,
    group: GroupKey,
    bytes: u64,
}

impl BodyReservation {
    fn new(memory: ConnectionMemory) -> Self {
        let group = memory.usage.group();
        Self {
            memory,
            group,
            bytes: 0,
        }
    }

    /// Returns the connection that the memory is held for.
    #[must_use]
    pub fn connection(&self) -> &ConnectionMemory {
        &self.memory
    }

    /// Reserves `bytes` more, and returns whether the bounds allowed it. Reserves nothing otherwise.
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        if !self.memory.shared.try_reserve(self.group, bytes) {
            return false;
        }
        self.bytes += bytes;
        let held = &self.memory.usage.held_bytes;
        held.set(held.get() + bytes);
        true
    }

    /// Reserves `bytes` more. If the bounds do not allow it, closes connections that make no
    /// progress and waits for their memory. Returns whether the memory was reserved.
    pub async fn grow(&mut self, bytes: u64) -> bool {
        for _ in 0..CLOSED_MAX {
            if self.try_grow(bytes) {
                return true;
            }
            let shared = Rc::clone(&self.memory.shared);
            if !shared.close_one(Some(&self.memory.usage), CloseReason::Memory) {
                return false;
            }
            // Whether there is memory now is checked in either case.
            let _ = timeout(RELEASE_MAX, shared.released.notified()).await;
        }
        self.try_grow(bytes)
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let held = &self.memory.usage.held_bytes;
        held.set(held.get().saturating_sub(self.bytes));
        self.memory.shared.release(self.group, self.bytes);
    }
}
