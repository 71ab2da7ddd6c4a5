//! Errors of the start of the daemon.

use crate::observe::LoggingError;
use anvilgw_kernel::RegistryError;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// Why a daemon did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// The daemon cannot listen on one of its addresses.
        Listen(address: SocketAddr, source: io::Error) {
            display("cannot listen on {}: {}", address, source)
            source(source)
        }
        /// The operating system refused a thread or socket.
        Io(source: io::Error) {
            display("cannot start: {}", source)
            source(source)
            from()
        }
        /// The log file cannot be opened.
        Logging(source: LoggingError) {
            display("{}", source)
            source(source)
            from()
        }
        /// Two services were registered under the same name.
        Registry(source: RegistryError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The settings contain an unknown log level.
        LogLevel(name: String) { display("unknown log level {:?}", name) }
    }
}
