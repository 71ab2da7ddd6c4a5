//! Parameters and results of a simulation.

use std::time::Duration;

/// How daemons share the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// One daemon issues permits for all, as in the gateway.
    Permits,
    /// Each daemon uses its share of the limit, as while the issuer does not answer.
    FixedShares,
}

/// Something that happens to the fleet or the limited server.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Trouble {
    /// The server names another limit from now on, or none.
    Limit(Option<f64>),
    /// The server turns cold for a time, and its entry says so.
    Cold(Duration),
    /// A number of daemons stand still for a time. The issuer is one of them.
    Freeze(usize, Duration),
    /// A number of daemons exchange no messages with others for a time. The issuer is one of them.
    Cut(usize, Duration),
    /// A number of daemons end without leaving the fleet. The issuer is one of them.
    Kill(usize),
    /// A number of daemons start.
    Start(usize),
    /// The list of members cannot be read for a time.
    StoreAway(Duration),
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) daemons: usize,
    pub(crate) servers: u16,
    /// Requests per second of all clients.
    pub(crate) requests_per_s: f64,
    /// Share of lost messages between daemons.
    pub(crate) loss: f64,
    pub(crate) sharing: Sharing,
    pub(crate) seed: u64,
    pub(crate) length: Duration,
}

/// A request that was sent to the limited server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) daemon: usize,
    /// Whether the daemon had itself got an answer that names the limit, half a second before or
    /// earlier.
    pub(crate) was_told: bool,
}

/// What happened in a simulation.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Requests that reached the limited server, in order.
    pub(crate) arrivals: Vec<Arrival>,
    /// Daemons that were cut off from the others.
    pub(crate) cut_off: Vec<usize>,
    /// Times to come back that refused requests were given.
    pub(crate) retry_after: Vec<Duration>,
    /// Number of requests for permits.
    pub(crate) permit_requests: usize,
    pub(crate) requests: usize,
}
