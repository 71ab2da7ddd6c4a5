//! Connections to one server.

use crate::connection::{Connection, ConnectionSettings};
use crate::error::{TransportCause, TransportError};
use anvilgw_core::Stage;
use futures_util::FutureExt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Counters of the connections to one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounters {
    /// Connections opened.
    pub opened: u64,
    /// Exchanges on a connection that had been used before.
    pub reused: u64,
    /// Connections closed because they made no progress.
    pub closed_silent: u64,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// Pool of idle connections to one server.
#[derive(Debug)]
pub(crate) struct Pool {
    addr: SocketAddr,
    settings: ConnectionSettings,
    idle: Mutex<Vec<Idle>>,
    opened: AtomicU64,
    reused: AtomicU64,
    closed_silent: AtomicU64,
}

impl Pool {
    pub(crate) fn new(addr: SocketAddr, settings: ConnectionSettings) -> Self {
        Self {
            addr,
            settings,
            idle: Mutex::default(),
            opened: AtomicU64::new(0),
            reused: AtomicU64::new(0),
            closed_silent: AtomicU64::new(0),
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
            closed_silent: self.closed_silent.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn idle_connections(&self) -> usize {
        self.idle.lock().expect("pool lock").len()
    }

    /// Takes the most recently used idle connection that is still usable, or opens one.
    pub(crate) async fn take(&self, fresh: bool) -> Result<Connection, TransportError> {
        if !fresh && let Some(connection) = self.take_idle() {
            self.reused.fetch_add(1, Ordering::Relaxed);
            return Ok(connection);
        }
        let connect = Duration::from_millis(self.settings.connect_ms);
        let connection = Connection::open(self.addr, connect)
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

    /// Gives back a connection whose exchange is complete.
    pub(crate) fn give_back(&self, connection: Connection) {
        let mut idle = self.idle.lock().expect("pool lock");
        if idle.len() < self.settings.max_idle && !connection.sender.is_closed() {
            idle.push(Idle {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Records a silent connection. Idle connections took the same path, so they are closed too.
    pub(crate) fn went_silent(&self) {
        self.closed_silent.fetch_add(1, Ordering::Relaxed);
        self.idle.lock().expect("pool lock").clear();
    }

    fn take_idle(&self) -> Option<Connection> {
        let max_idle = Duration::from_millis(self.settings.idle_ms);
        let mut idle = self.idle.lock().expect("pool lock");
        while let Some(Idle {
            mut connection,
            since,
        }) = idle.pop()
        {
            if since.elapsed() > max_idle {
                // The others have been idle for longer.
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
