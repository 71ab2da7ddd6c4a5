//! Idle connections to one address.

use crate::connection::{Connection, OpenCount, SendError};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time for which an idle connection is kept if its peer states none.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// Time before the peer's idle timeout at which a connection is no longer used, so that a request
/// does not cross its close.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

struct Idle {
    connection: Connection,
    use_until: Duration,
}

/// Kept connections that are tried before a new one is opened.
const REUSED_TRIES: usize = 2;

/// Connections to one address.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
    open: Rc<Cell<usize>>,
}

/// A connection, and whether it served a request before.
pub struct Checkout {
    /// The connection.
    pub connection: Connection,
    /// It was kept from an earlier request. The peer may have closed it meanwhile.
    pub is_reused: bool,
}

/// Limits for a new connection.
#[derive(Clone, Copy, Debug)]
pub struct OpenLimits {
    /// Longest time to open it.
    pub timeout: Duration,
    /// Most open connections to the address.
    pub open_max: usize,
}

/// The connections of one request, in the order in which they are tried: kept ones, then a new one.
pub struct Checkouts<'a> {
    pool: &'a Pool,
    address: SocketAddr,
    reused: usize,
}

impl Checkouts<'_> {
    /// The next connection. Another one is needed only if the request was not sent on a kept one,
    /// because the peer had closed it.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] or [`SendError::NoConnection`] if no connection can be opened.
    pub async fn next(&mut self, limits: OpenLimits, now: Duration) -> Result<Checkout, SendError> {
        if self.reused < REUSED_TRIES {
            self.reused += 1;
            if let Some(checkout) = self.pool.take_idle(now) {
                return Ok(checkout);
            }
        }
        self.pool.open(self.address, limits).await
    }
}

impl Pool {
    /// The connections for one request.
    #[must_use]
    pub fn checkouts(&self, address: SocketAddr) -> Checkouts<'_> {
        Checkouts {
            pool: self,
            address,
            reused: 0,
        }
    }

    /// The connection that was used last, if one can be used.
    fn take_idle(&self, now: Duration) -> Option<Checkout> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| !idle.connection.is_closed() && now < idle.use_until);
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

    /// Keeps a connection whose last answer was read to its end.
    pub fn keep(&self, connection: Connection, stated_idle: Option<Duration>, now: Duration) {
        if connection.is_closed() {
            return;
        }
        let idle_for = stated_idle.unwrap_or(IDLE_DEFAULT);
        let use_until = now + idle_for.saturating_sub(IDLE_MARGIN);
        self.idle.borrow_mut().push(Idle {
            connection,
            use_until,
        });
    }

    /// Closes connections that are idle for too long.
    pub fn sweep(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| !idle.connection.is_closed() && now < idle.use_until);
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.get()
    }
}
