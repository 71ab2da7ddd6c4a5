//! A server that answers requests with fixed bytes.

use crate::loopback;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread;

/// Starts a server that sends `answer` after the first bytes of a request and then closes.
pub(crate) fn scripted(answer: impl Into<Vec<u8>>) -> SocketAddr {
    scripted_series(vec![answer.into()])
}

/// Starts a server that gives one of the answers on each connection, in order.
pub(crate) fn scripted_series(answers: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = vec![0; 4096];
            let _ = stream.read(&mut request).unwrap();
            stream.write_all(&answer).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            // Closing with unread bytes would reset the connection and could destroy the answer.
            let _ = stream.read_to_end(&mut request);
        }
    });
    addr
}

/// A complete answer with a body.
pub(crate) fn answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} Scripted\r\ncontent-length: {length}\r\n\r\n{body}")
}
