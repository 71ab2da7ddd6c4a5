//! Pool of the connections to one server.

use crate::connection::{Connection, ConnectionSettings};
use crate::error::{TransportCause, TransportError};
use anvilgw_core::Stage;
use futures_util::FutureExt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Counters of the connections to one server since the client was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounters {
    /// Connections opened.
    pub opened: u64,
    /// Times that an idle connection was taken from the pool instead of opening one.
    pub reused: u64,
    /// Times that no byte was sent or received in an exchange for too long.
    pub silent: u64,
}

/// Connection in the pool and the time since which it has been idle.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Pool of idle connections to one server. The most recently used one is last.
#[derive(Debug)]
pub(crate) struct Pool {
    addr: SocketAddr,
    settings: ConnectionSettings,
    idle: Mutex<Vec<IdleConnection>>,
    opened: AtomicU64,
    reused: AtomicU64,
    silent: AtomicU64,
}

impl Pool {
    pub(crate) fn new(addr: SocketAddr, settings: ConnectionSettings) -> Self {
        Self {
            addr,
            settings,
            idle: Mutex::default(),
            opened: AtomicU64::new(0),
            reused: AtomicU64::new(0),
            silent: AtomicU64::new(0),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn settings(&self) -> &ConnectionSettings {
        &self.settings
    }

    pub(crate) fn counters(&self) -> PoolCounters {
        PoolCounters {
            opened: self.opened.load(Ordering::Relaxed),
            reused: self.reused.load(Ordering::Relaxed),
            silent: self.silent.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn idle_connections(&self) -> usize {
        self.idle.lock().expect("pool lock").len()
    }

    /// Takes the most recently used idle connection that is still usable. Opens a new one if there
    /// is none or if `fresh` is set.
    pub(crate) async fn take_or_open(&self, fresh: bool) -> Result<Connection, TransportError> {
        if !fresh && let Some(connection) = self.take_idle() {
            self.reused.fetch_add(1, Ordering::Relaxed);
            return Ok(connection);
        }
        let connect_timeout = Duration::from_millis(self.settings.connect_ms);
        let connection = Connection::open(self.addr, connect_timeout)
            .await
            .map_err(|error| {
                TransportError::Failed(
                    TransportCause::Connect(error.to_string()),
                    Stage::Connecting,
                )
            })?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        Ok(connection)
    }

    /// Returns a connection whose exchange is complete to the pool. It is closed if the pool is
    /// full.
    pub(crate) fn return_connection(&self, connection: Connection) {
        let mut idle = self.idle.lock().expect("pool lock");
        if idle.len() < self.settings.max_idle && !connection.sender.is_closed() {
            idle.push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Counts a connection that fell silent and closes all idle connections, since they use the same
    /// network path and are probably dead too.
    pub(crate) fn record_silent_connection(&self) {
        self.silent.fetch_add(1, Ordering::Relaxed);
        self.idle.lock().expect("pool lock").clear();
    }

    fn take_idle(&self) -> Option<Connection> {
        let idle_timeout = Duration::from_millis(self.settings.idle_ms);
        let mut idle = self.idle.lock().expect("pool lock");
        while let Some(IdleConnection {
            mut connection,
            since,
        }) = idle.pop()
        {
            if since.elapsed() > idle_timeout {
                // All others have been idle for longer.
                idle.clear();
                return None;
            }
            let is_ready = matches!(connection.sender.ready().now_or_never(), Some(Ok(())));
            if is_ready && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}
