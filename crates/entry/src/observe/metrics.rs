//! Counters and timers, sent as statsd datagrams.

use anvilgw_config::MetricsSettings;
use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use std::io;
use std::net::{Ipv4Addr, UdpSocket};
use std::time::Duration;

/// Number of metrics that may wait for the sending thread. Further ones are dropped, so that
/// metrics never delay requests.
const QUEUE_CAPACITY: usize = 8192;

/// Client for the statsd server that collects the daemon's metrics.
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates a client that sends to the configured statsd address. Without an address it drops
    /// all metrics.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
    pub(crate) fn new(settings: &MetricsSettings, daemon_index: u32) -> io::Result<Self> {
        let prefix = &settings.prefix;
        let builder = match settings.statsd_address {
            Some(address) => {
                let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
                let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
                StatsdClient::builder(prefix, sink)
            }
            None => StatsdClient::builder(prefix, NopMetricSink),
        };
        let client = builder.with_tag("daemon", daemon_index.to_string()).build();
        Ok(Self { client })
    }

    /// Adds `by` to a counter. `tag` is the value of its `kind` tag. A metric that cannot be sent
    /// is dropped.
    pub(crate) fn count(&self, name: &str, by: u64, tag: &str) {
        let _ = self
            .client
            .count_with_tags(name, by)
            .with_tag("kind", tag)
            .try_send();
    }

    /// Records a duration in a timer. `tag` is the value of its `kind` tag. A metric that cannot be
    /// sent is dropped.
    pub(crate) fn time(&self, name: &str, duration: Duration, tag: &str) {
        let _ = self
            .client
            .time_with_tags(name, duration)
            .with_tag("kind", tag)
            .try_send();
    }
}
