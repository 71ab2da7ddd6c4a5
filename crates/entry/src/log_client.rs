//! The log service behind several addresses.

use anvilgw_config::LogSettings;
use anvilgw_core::{LogError, LogService, LogSlice, Offset};
use anvilgw_platform::{ConnectionSettings, HttpLogService, LogClientSettings};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::runtime::Handle;

/// Uses one address until it does not answer, then the next.
pub(crate) struct FailoverLog {
    clients: Vec<HttpLogService>,
    current: AtomicUsize,
}

impl FailoverLog {
    /// Creates the clients.
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

    /// Calls the addresses in turn until one takes the call. A call whose answer was lost is not
    /// repeated here, because only the caller knows whether that is harmless.
    fn try_each<T>(
        &self,
        call: impl Fn(&HttpLogService) -> Result<T, LogError>,
    ) -> Result<T, LogError> {
        let start = self.current.load(Ordering::Relaxed);
        let mut last = LogError::Unavailable("no address of the log service is known".to_owned());
        for turn in 0..self.clients.len() {
            let at = (start + turn) % self.clients.len();
            match call(&self.clients[at]) {
                Err(LogError::Unavailable(detail)) => last = LogError::Unavailable(detail),
                other => {
                    self.current.store(at, Ordering::Relaxed);
                    return other;
                }
            }
        }
        Err(last)
    }
}

impl LogService for FailoverLog {
    fn append(&self, stream: &str, payload: &[u8]) -> Result<Offset, LogError> {
        self.try_each(|client| client.append(stream, payload))
    }

    fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogSlice, LogError> {
        self.try_each(|client| client.read(stream, from, max, wait))
    }
}
