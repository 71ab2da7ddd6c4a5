//! The socket of the membership protocol.

use anvilgw_kernel::{StopSignal, WorkerThread};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Sleep after which the receiving thread notices a stop.
const WAIT: Duration = Duration::from_millis(100);
/// Larger datagrams are not part of the protocol; one byte more shows that they were cut.
const BUFFER_BYTES: usize = anvilgw_fleet::MAX_DATAGRAM_BYTES + 1;

/// Starts the receiving thread.
///
/// # Errors
///
/// Fails if the socket cannot be shared or the operating system refuses a thread.
pub(crate) fn receive(
    socket: &UdpSocket,
    stop: &StopSignal,
    mut deliver: impl FnMut(SocketAddr, Vec<u8>) + Send + 'static,
) -> io::Result<WorkerThread> {
    let socket = socket.try_clone()?;
    socket.set_read_timeout(Some(WAIT))?;
    WorkerThread::spawn("datagrams", stop.clone(), move |stop| {
        let mut buffer = [0_u8; BUFFER_BYTES];
        while !stop.is_raised() {
            match socket.recv_from(&mut buffer) {
                Ok((length, source)) if length < BUFFER_BYTES => {
                    deliver(source, buffer[..length].to_vec());
                }
                // Timeouts, oversized datagrams and errors about unreachable peers.
                Ok(_) | Err(_) => {}
            }
        }
    })
}
