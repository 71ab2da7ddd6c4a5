//! Server that answers requests with fixed bytes.

use crate::loopback;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread;

/// Starts a server for one connection. It sends `answer` after the first bytes of a request and
/// then closes the connection.
pub(crate) fn start_scripted(answer: impl Into<Vec<u8>>) -> SocketAddr {
    start_scripted_series(vec![answer.into()])
}

/// Starts a server that sends the n-th answer on the n-th connection and then closes it.
pub(crate) fn start_scripted_series(answers: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = vec![0; 4096];
            let _ = stream.read(&mut request).unwrap();
            stream.write_all(&answer).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            // Closing a socket with unread bytes resets the connection, and the client could lose
            // the answer.
            let _ = stream.read_to_end(&mut request);
        }
    });
    addr
}

/// Starts a server for one connection. It sends `answer` after the first bytes of a request, ends the
/// answer and resets the connection.
pub(crate) fn start_interrupted(answer: impl Into<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let addr = listener.local_addr().unwrap();
    let answer = answer.into();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 64]).unwrap();
        stream.write_all(&answer).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        // Closing the socket with unread bytes resets the connection.
    });
    addr
}

/// Returns a complete HTTP answer with a body.
pub(crate) fn http_answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} Scripted\r\ncontent-length: {length}\r\n\r\n{body}")
}
