//! Connection pool for one server.

use crate::connection::{Connection, OpenCount, SendError};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Idle timeout that is assumed for a peer that states none.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// A connection is no longer used this long before the peer's idle timeout, so that no request is
/// sent while the peer closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

struct IdleConnection {
    connection: Connection,
    use_until: Duration,
}

/// Number of idle connections that a request tries before it opens a new one.
const REUSED_CONNECTIONS_MAX: usize = 2;

/// Connections to one server: the idle ones, and the number of all open ones.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<IdleConnection>>,
    open: Rc<Cell<usize>>,
}

/// A connection taken from the pool.
pub struct Checkout {
    /// The open connection.
    pub connection: Connection,
    /// Whether it was kept from an earlier request, in which case the peer may have closed it
    /// meanwhile.
    pub is_reused: bool,
}

/// Limits for a new connection.
#[derive(Clone, Copy, Debug)]
pub struct OpenLimits {
    /// Longest time to open the connection.
    pub timeout: Duration,
    /// Maximum number of open connections to the address.
    pub open_max: usize,
}

/// The connections of one request in the order in which they are tried: first idle ones, then a new
/// one.
pub struct Checkouts<'a> {
    pool: &'a Pool,
    address: SocketAddr,
    reused_tries: usize,
}

impl Checkouts<'_> {
    /// Returns the next connection. A request needs another one only if the peer had closed an idle
    /// connection before the request was sent on it.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`], [`SendError::Refused`] or [`SendError::NoConnection`] if no
    /// connection can be opened.
    pub async fn next(&mut self, limits: OpenLimits, now: Duration) -> Result<Checkout, SendError> {
        if self.reused_tries < REUSED_CONNECTIONS_MAX {
            self.reused_tries += 1;
            if let Some(checkout) = self.pool.take_idle(self.address, now) {
                return Ok(checkout);
            }
        }
        self.pool.open(self.address, limits).await
    }
}

impl Pool {
    /// Returns the connections that one request may try.
    #[must_use]
    pub fn checkouts(&self, address: SocketAddr) -> Checkouts<'_> {
        Checkouts {
            pool: self,
            address,
            reused_tries: 0,
        }
    }

    /// Takes the most recently used idle connection that is still usable. A server that has started
    /// again may have another address, and its earlier connections are closed.
    fn take_idle(&self, address: SocketAddr, now: Duration) -> Option<Checkout> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| {
            let is_usable = !idle.connection.is_closed() && now < idle.use_until;
            is_usable && idle.connection.address() == address
        });
        let index = idle.iter().rposition(|idle| idle.connection.is_ready())?;
        Some(Checkout {
            connection: idle.remove(index).connection,
            is_reused: true,
        })
    }

    async fn open(&self, address: SocketAddr, limits: OpenLimits) -> Result<Checkout, SendError> {
        if self.open.get() >= limits.open_max {
            self.idle.borrow_mut().clear();
        }
        if self.open.get() >= limits.open_max {
            return Err(SendError::NoConnection);
        }
        let open = OpenCount::new(&self.open);
        let connection = Connection::open(address, limits.timeout, open).await?;
        Ok(Checkout {
            connection,
            is_reused: false,
        })
    }

    /// Opens a connection to find out whether the peer listens, and keeps it for later requests.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] as [`Checkouts::next`] does.
    pub async fn probe(
        &self,
        address: SocketAddr,
        limits: OpenLimits,
        now: Duration,
    ) -> Result<(), SendError> {
        let checkout = self.open(address, limits).await?;
        self.keep(checkout.connection, None, now);
        Ok(())
    }

    /// Returns a connection to the pool. Its last answer must have been read to the end.
    pub fn keep(&self, connection: Connection, peer_idle_timeout: Option<Duration>, now: Duration) {
        if connection.is_closed() {
            return;
        }
        connection.on_answer_read();
        let idle_timeout = peer_idle_timeout.unwrap_or(IDLE_TIMEOUT_DEFAULT);
        let use_until = now.saturating_add(idle_timeout.saturating_sub(IDLE_MARGIN));
        self.idle.borrow_mut().push(IdleConnection {
            connection,
            use_until,
        });
    }

    /// Closes connections that have ended or were idle for too long.
    pub fn sweep(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| !idle.connection.is_closed() && now < idle.use_until);
    }

    /// Returns whether an idle connection is open at the server, too.
    #[must_use]
    pub fn has_idle(&self) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|idle| !idle.connection.is_closed())
    }

    /// Returns the number of open connections, both idle and in use.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.get()
    }
}
