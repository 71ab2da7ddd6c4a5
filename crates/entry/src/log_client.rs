//! Client of a log service that has several addresses.

use anvilgw_config::LogSettings;
use anvilgw_core::{LogError, LogService, LogSlice, Offset};
use anvilgw_platform::{ConnectionSettings, HttpLogService, LogClientSettings};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::runtime::Handle;

/// A [`LogService`] that uses one address of the service as long as it is available and then fails
/// over to the next.
pub(crate) struct FailoverLog {
    clients: Vec<HttpLogService>,
    current: AtomicUsize,
}

impl FailoverLog {
    /// Creates a client for each address in the settings. The clients run their I/O on `handle`.
    pub(crate) fn new(settings: &LogSettings, handle: &Handle) -> Self {
        let client_settings = LogClientSettings {
            connection: ConnectionSettings {
                connect_ms: settings.request_ms,
                silence_ms: settings.request_ms,
                ..ConnectionSettings::default()
            },
            answer_ms: settings.request_ms,
        };
        let clients = settings
            .addresses
            .iter()
            .map(|address| HttpLogService::with_handle(*address, client_settings, handle.clone()))
            .collect();
        Self {
            clients,
            current: AtomicUsize::new(0),
        }
    }

    /// Calls the addresses in turn, starting with the last one that worked, until one accepts the
    /// call. A call whose answer was lost is not repeated here, because only the caller knows
    /// whether a repetition is harmless.
    ///
    /// # Errors
    ///
    /// [`LogError::Unavailable`] with the detail of the last address if no address is available;
    /// otherwise the error of the call.
    fn with_failover<T>(
        &self,
        call: impl Fn(&HttpLogService) -> Result<T, LogError>,
    ) -> Result<T, LogError> {
        let start = self.current.load(Ordering::Relaxed);
        let mut last_error =
            LogError::Unavailable("no address of the log service is configured".to_owned());
        for offset in 0..self.clients.len() {
            let index = (start + offset) % self.clients.len();
            match call(&self.clients[index]) {
                Err(LogError::Unavailable(detail)) => last_error = LogError::Unavailable(detail),
                other => {
                    self.current.store(index, Ordering::Relaxed);
                    return other;
                }
            }
        }
        Err(last_error)
    }
}

impl LogService for FailoverLog {
    fn append(&self, stream: &str, payload: &[u8]) -> Result<Offset, LogError> {
        self.with_failover(|client| client.append(stream, payload))
    }

    fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogSlice, LogError> {
        self.with_failover(|client| client.read(stream, from, max, wait))
    }
}
