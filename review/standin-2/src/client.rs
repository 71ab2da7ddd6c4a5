//! Clients.

use crate::http::Connection;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;

pub const HOST: &str = "club.example";

/// A request of a client.
pub struct Request<'a> {
    pub path: &'a str,
    pub attempt: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// Further headers, each with its line end.
    pub headers: &'a str,
    pub body: &'a str,
}

/// Status of an answer, or 0 if the connection ended without a whole one.
pub fn send(record: &Record, daemon: SocketAddr, request: &Request<'_>) -> u16 {
    let exchange = || -> std::io::Result<(u16, usize, bool)> {
        let mut connection = Connection::open(daemon)?;
        let timeout = Duration::from_millis(request.deadline_ms + 1000);
        connection.stream.set_read_timeout(Some(timeout))?;
        connection.write(&format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nX-Api-Key: {}\r\n\
             Deadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n{}",
            request.path,
            request.attempt,
            request.key,
            request.deadline_ms,
            request.headers,
            request.body.len(),
            request.body
        ))?;
        let answer = connection.read()?;
        let is_signed = answer.header("server-stamp").is_some();
        Ok((answer.status(), answer.body.len(), is_signed))
    };
    let attempt = request.attempt;
    match exchange() {
        Ok((status, bytes, is_signed)) => {
            record.line(&format!(
                "client: {attempt} answered {status}, {bytes} bytes, signed {is_signed}"
            ));
            status
        }
        Err(error) => {
            record.line(&format!("client: {attempt} got no whole answer: {error}"));
            0
        }
    }
}
