//! Memory that the process holds for one connection of a client.

use super::closing::WaitingConnection;
use super::{BodyReservation, GroupKey, Shared};
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Bytes that an open connection takes up: its socket, its task and the first read buffer.
pub(super) const CONNECTION_BYTES: u64 = 12 * 1024;
/// Size of the first read buffer. A request that is longer makes the buffer grow.
const FIRST_BUFFER_BYTES: u64 = 8 * 1024;
/// Bytes that a grown read buffer takes up beyond the first one.
const GROWN_BUFFER_BYTES: u64 = 24 * 1024;

/// Why a connection was closed before its client did so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Other requests needed its memory.
    Memory,
    /// The bound on connections was reached, and another client needed one.
    Room,
    /// The client read nothing of its answer for too long.
    Unread,
}

/// Whether the daemon waits for the client of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The head or the body of a request is awaited.
    Receiving,
    /// A request is being served.
    Serving,
}

/// Usage of one connection. Times are those of the last [`super::BodyMemory::tick`].
#[derive(Debug)]
pub(super) struct Usage {
    pub(super) address: IpAddr,
    pub(super) held_bytes: Cell<u64>,
    pub(super) close_reason: Cell<Option<CloseReason>>,
    pub(super) close: Notify,
    /// Reservations of answers that are complete but not sent completely.
    unsent: RefCell<Vec<BodyReservation>>,
    is_open: Cell<bool>,
    group: Cell<GroupKey>,
    phase: Cell<Phase>,
    is_write_blocked: Cell<bool>,
    /// Whether something was sent since the last request was received.
    has_answer: Cell<bool>,
    moved_bytes: Cell<u64>,
    request_bytes: Cell<u64>,
    has_grown_buffer: Cell<bool>,
    phase_at: Cell<Duration>,
    moved_before_phase: Cell<u64>,
    moved_at_tick: Cell<u64>,
    progress_at: Cell<Duration>,
}

impl Usage {
    pub(super) fn new(address: IpAddr, now: Duration) -> Self {
        Self {
            address,
            held_bytes: Cell::new(CONNECTION_BYTES),
            close_reason: Cell::default(),
            close: Notify::new(),
            unsent: RefCell::default(),
            is_open: Cell::new(true),
            group: Cell::new(GroupKey::of_address(address)),
            phase: Cell::new(Phase::Receiving),
            is_write_blocked: Cell::default(),
            has_answer: Cell::default(),
            moved_bytes: Cell::default(),
            request_bytes: Cell::default(),
            has_grown_buffer: Cell::default(),
            phase_at: Cell::new(now),
            moved_before_phase: Cell::default(),
            moved_at_tick: Cell::default(),
            progress_at: Cell::new(now),
        }
    }

    /// Returns the state of the connection if the daemon waits for its client and has not closed it.
    pub(super) fn waiting(&self, now: Duration) -> Option<WaitingConnection> {
        let is_waiting = self.phase.get() == Phase::Receiving || self.is_write_blocked.get();
        let is_open = self.close_reason.get().is_none();
        (is_waiting && is_open).then(|| WaitingConnection {
            held_bytes: self.held_bytes.get(),
            age: now.saturating_sub(self.phase_at.get()),
            idle: now.saturating_sub(self.progress_at.get()),
            moved_bytes: self.moved_bytes.get() - self.moved_before_phase.get(),
        })
    }

    /// Returns the time for which the client has read nothing although there is something to read.
    pub(super) fn unread_for(&self, now: Duration) -> Duration {
        if self.is_write_blocked.get() {
            now.saturating_sub(self.progress_at.get())
        } else {
            Duration::ZERO
        }
    }

    /// Records whether bytes were received or sent since the last tick.
    pub(super) fn tick(&self, now: Duration) {
        let moved = self.moved_bytes.get();
        if self.moved_at_tick.replace(moved) != moved {
            self.progress_at.set(now);
        }
    }

    /// Releases what is held for a connection that has ended.
    pub(super) fn end(&self) {
        self.is_open.set(false);
        // A reservation refers to this usage, so the list must not be borrowed while it is dropped.
        drop(self.unsent.take());
    }

    /// Returns the bytes of the connection itself, without its reservations.
    pub(super) fn own_bytes(&self) -> u64 {
        let grown = if self.has_grown_buffer.get() {
            GROWN_BUFFER_BYTES
        } else {
            0
        };
        CONNECTION_BYTES + grown
    }

    pub(super) fn group(&self) -> GroupKey {
        self.group.get()
    }

    pub(super) fn close(&self, reason: CloseReason) {
        self.close_reason.set(Some(reason));
        self.close.notify_one();
    }
}

/// Handle to the memory of one connection.
#[derive(Clone, Debug)]
pub struct ConnectionMemory {
    pub(super) usage: Rc<Usage>,
    pub(super) shared: Rc<Shared>,
}

impl ConnectionMemory {
    /// Returns a reservation of no bytes, which can grow.
    #[must_use]
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation::new(self.clone())
    }

    /// Waits until the connection has to be closed, and returns why.
    pub async fn closed(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.usage.close_reason.get() {
                return reason;
            }
            self.usage.close.notified().await;
        }
    }

    /// Records the owner of the requests on the connection, with whose other requests it shares a
    /// bound.
    pub fn set_group(&self, group: GroupKey) {
        self.usage.group.set(group);
    }

    /// Records that bytes were received.
    pub fn on_read(&self, count: usize) {
        let usage = &self.usage;
        usage
            .moved_bytes
            .set(usage.moved_bytes.get() + count as u64);
        let request_bytes = usage.request_bytes.get() + count as u64;
        usage.request_bytes.set(request_bytes);
        if request_bytes > FIRST_BUFFER_BYTES && !usage.has_grown_buffer.replace(true) {
            let held = usage.held_bytes.get() + GROWN_BUFFER_BYTES;
            usage.held_bytes.set(held);
            self.shared.add_total(GROWN_BUFFER_BYTES);
        }
    }

    /// Records that bytes were sent.
    pub fn on_written(&self, count: usize) {
        let usage = &self.usage;
        if !usage.has_answer.replace(true) {
            self.begin_wait();
        }
        usage
            .moved_bytes
            .set(usage.moved_bytes.get() + count as u64);
        usage.is_write_blocked.set(false);
    }

    /// Records that the client has to read before more can be sent.
    pub fn on_write_blocked(&self) {
        let usage = &self.usage;
        // The wait does not begin anew each time that a slow client has read something.
        if !usage.has_answer.replace(true) {
            self.begin_wait();
        } else if !usage.is_write_blocked.get() {
            usage.progress_at.set(self.shared.now.get());
        }
        usage.is_write_blocked.set(true);
    }

    /// Records that everything was sent that is to be sent so far.
    pub fn on_flushed(&self) {
        if !self.usage.unsent.borrow().is_empty() {
            drop(self.usage.unsent.take());
        }
    }

    /// Keeps the reservation of a complete answer until it was sent.
    pub fn keep_until_sent(&self, reservation: BodyReservation) {
        if self.usage.is_open.get() {
            self.usage.unsent.borrow_mut().push(reservation);
        }
    }

    /// Records that a request was received completely.
    pub fn on_request_received(&self) {
        self.usage.phase.set(Phase::Serving);
        self.usage.has_answer.set(false);
    }

    /// Records that the daemon waits for the next request.
    pub fn on_answer_end(&self) {
        self.usage.phase.set(Phase::Receiving);
        self.usage.request_bytes.set(0);
        self.begin_wait();
    }

    fn begin_wait(&self) {
        let usage = &self.usage;
        usage.phase_at.set(self.shared.now.get());
        usage.progress_at.set(self.shared.now.get());
        usage.moved_before_phase.set(usage.moved_bytes.get());
    }
}
