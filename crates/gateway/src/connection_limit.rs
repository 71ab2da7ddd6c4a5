//! Bound on the connections of clients, in total and from one address.

use indexmap::IndexMap;
use std::net::IpAddr;

/// Descriptors that are left for files, listeners and the like.
const FILES_RESERVED: usize = 200;
/// Part of the other descriptors that connections of clients may take up. The rest is for servers,
/// other daemons, the metadata store and metrics.
const CLIENTS_NUMERATOR: usize = 3;
const CLIENTS_DENOMINATOR: usize = 5;
/// Connections to an address for internal use may be this part of the other descriptors.
const INTERNAL_DIVISOR: usize = 16;
/// Least number of connections of either kind, for processes with few descriptors.
const CONNECTIONS_MIN: usize = 16;
/// Part of the bound from which on connections from one address are bounded, too. Below it, a load
/// balancer with a single address may use all of it.
const SCARCE_NUMERATOR: usize = 3;
const SCARCE_DENOMINATOR: usize = 4;
/// Connections from one address may then be the bound divided by this.
const ADDRESS_DIVISOR: usize = 2;
/// While others are being closed, the bound divided by this may be open beyond the bound.
const CLOSING_DIVISOR: usize = 16;

/// Returns how many connections of clients a process with so many descriptors may have.
#[must_use]
pub fn client_connections_max(descriptors_max: usize) -> usize {
    let free = descriptors_max.saturating_sub(FILES_RESERVED);
    (free / CLIENTS_DENOMINATOR * CLIENTS_NUMERATOR).max(CONNECTIONS_MIN)
}

/// Returns how many connections may be open at an address for readiness checks, metrics or other
/// daemons.
#[must_use]
pub fn internal_connections_max(descriptors_max: usize) -> usize {
    let free = descriptors_max.saturating_sub(FILES_RESERVED);
    (free / INTERNAL_DIVISOR).max(CONNECTIONS_MIN)
}

/// What has to happen before a connection is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is room.
    Accept,
    /// Another connection has to be closed.
    CloseOther,
    /// Another connection from the same address has to be closed.
    CloseOtherOfAddress,
    /// The connections that were closed for others are still open.
    Refuse,
}

/// Counts the connections of clients.
#[derive(Debug)]
pub struct ConnectionLimit {
    count_max: usize,
    open_count: usize,
    by_address: IndexMap<IpAddr, usize>,
}

impl ConnectionLimit {
    /// Creates a bound of `count_max` connections.
    #[must_use]
    pub fn new(count_max: usize) -> Self {
        Self {
            count_max,
            open_count: 0,
            by_address: IndexMap::new(),
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns what has to happen before a new connection from an address is served.
    #[must_use]
    pub fn admission(&self, address: IpAddr) -> Admission {
        let of_address = self.by_address.get(&address).copied().unwrap_or(0);
        let is_scarce = self.open_count >= self.count_max * SCARCE_NUMERATOR / SCARCE_DENOMINATOR;
        if self.open_count >= self.count_max + self.count_max / CLOSING_DIVISOR {
            Admission::Refuse
        } else if is_scarce && of_address >= self.count_max / ADDRESS_DIVISOR {
            Admission::CloseOtherOfAddress
        } else if self.open_count >= self.count_max {
            Admission::CloseOther
        } else {
            Admission::Accept
        }
    }

    /// Counts a new connection.
    pub fn on_open(&mut self, address: IpAddr) {
        self.open_count += 1;
        *self.by_address.entry(address).or_default() += 1;
    }

    /// Uncounts a connection that was closed.
    pub fn on_closed(&mut self, address: IpAddr) {
        self.open_count = self.open_count.saturating_sub(1);
        if let Some(count) = self.by_address.get_mut(&address) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.by_address.swap_remove(&address);
            }
        }
    }
}
