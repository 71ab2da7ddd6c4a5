//! Thread that receives the datagrams of the membership protocol.

use anvilgw_kernel::{StopSignal, WorkerThread};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Longest wait for a datagram, after which the thread checks whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Size of the receive buffer. It is one byte larger than the largest datagram of the protocol, so
/// that larger ones are recognised although the socket truncates them.
const BUFFER_BYTES: usize = anvilgw_fleet::MAX_DATAGRAM_BYTES + 1;

/// Starts the thread, which calls `on_datagram` with the source and content of each datagram.
///
/// # Errors
///
/// Fails if the socket cannot be shared or the operating system refuses a thread.
pub(crate) fn receive(
    socket: &UdpSocket,
    stop: &StopSignal,
    mut on_datagram: impl FnMut(SocketAddr, Vec<u8>) + Send + 'static,
) -> io::Result<WorkerThread> {
    let socket = socket.try_clone()?;
    socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
    WorkerThread::spawn("datagrams", stop.clone(), move |stop| {
        let mut buffer = [0_u8; BUFFER_BYTES];
        while !stop.is_raised() {
            match socket.recv_from(&mut buffer) {
                Ok((length, source)) if length < BUFFER_BYTES => {
                    on_datagram(source, buffer[..length].to_vec());
                }
                // Ignore timeouts, oversized datagrams and errors about unreachable peers.
                Ok(_) | Err(_) => {}
            }
        }
    })
}
