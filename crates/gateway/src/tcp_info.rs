//! The kernel's view of a TCP connection: what was sent and what the peer has acknowledged.

use nix::sys::socket::sockopt::{GetStruct, SetStruct};
use nix::sys::socket::{getsockopt, setsockopt};
use nix::{getsockopt_impl, setsockopt_impl};
use std::io::{ErrorKind, Result};
use std::os::fd::AsFd;
use std::time::Duration;

/// Socket option that reads the kernel's statistics of a connection.
#[derive(Clone, Copy, Debug)]
struct TcpInfoOption;

getsockopt_impl!(
    TcpInfoOption,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info,
    GetStruct<libc::tcp_info>
);

/// Number of the socket option that limits the time between two retransmissions or window probes, in
/// milliseconds. Linux 6.15 or newer has it.
const TCP_RTO_MAX_MS: libc::c_int = 44;

/// Socket option that sets this limit.
#[derive(Clone, Copy, Debug)]
struct RetransmissionInterval;

setsockopt_impl!(
    RetransmissionInterval,
    libc::IPPROTO_TCP,
    TCP_RTO_MAX_MS,
    libc::c_int,
    SetStruct<'_, libc::c_int>
);

/// Limits the time between two retransmissions or window probes on a connection.
///
/// # Errors
///
/// Returns the error of the kernel, for instance if it has no such limit.
pub fn limit_retransmission_interval(socket: &impl AsFd, limit: Duration) -> Result<()> {
    let limit_ms = limit.as_millis() as libc::c_int;
    Ok(setsockopt(socket, RetransmissionInterval, &limit_ms)?)
}

/// What the kernel knows of the data that was sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpInfo {
    /// Packets that were sent and are not acknowledged.
    pub unacked_packets: u32,
    /// Retransmissions of the oldest of these packets that were not acknowledged.
    pub retransmits: u8,
    /// Window probes that were not acknowledged since the last acknowledgement.
    pub unanswered_probes: u8,
    /// How often the time between two retransmissions or window probes was doubled. Above zero
    /// while data waits for the peer.
    pub backoff: u8,
    /// Time since the last acknowledgement. Each packet that the peer sends carries one.
    pub last_ack_age: Duration,
}

impl TcpInfo {
    /// Reads the statistics of a connected socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the kernel, or [`ErrorKind::Unsupported`] if it keeps no statistics.
    pub fn read(socket: &impl AsFd) -> Result<Self> {
        let info = getsockopt(socket, TcpInfoOption)?;
        // No state has this number, so nothing was filled in.
        if info.tcpi_state == 0 {
            return Err(ErrorKind::Unsupported.into());
        }
        Ok(Self {
            unacked_packets: info.tcpi_unacked,
            retransmits: info.tcpi_retransmits,
            unanswered_probes: info.tcpi_probes,
            backoff: info.tcpi_backoff,
            last_ack_age: Duration::from_millis(info.tcpi_last_ack_recv.into()),
        })
    }
}
