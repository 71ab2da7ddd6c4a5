//! Encodes, decodes and fetches the pages that daemons read from each other.

use crate::http_client::HttpClients;
use bincode::{Decode, Encode};
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use quick_error::quick_error;
use std::net::SocketAddr;
use std::time::Duration;

quick_error! {
    /// Error of encoding or decoding a page.
    #[derive(Debug)]
    pub enum PageError {
        /// The bytes are not a page of the expected type.
        Decode(error: bincode::error::DecodeError) {
            display("not a page of the expected type: {}", error)
            from()
        }
        /// The page cannot be encoded.
        Encode(error: bincode::error::EncodeError) {
            display("the page cannot be encoded: {}", error)
            from()
        }
    }
}

/// Encodes a page.
///
/// # Errors
///
/// Returns an error if the page cannot be encoded.
pub fn encode(page: &impl Encode) -> Result<Vec<u8>, PageError> {
    Ok(bincode::encode_to_vec(page, bincode::config::standard())?)
}

/// Decodes a page.
///
/// # Errors
///
/// Returns an error if the bytes are not a page of the expected type.
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, PageError> {
    let (page, _) = bincode::decode_from_slice(bytes, bincode::config::standard())?;
    Ok(page)
}

/// Fetches a page from another daemon over HTTP, at most for the time `timeout`.
/// Errors are returned as text for logs.
pub(crate) async fn fetch<T: Decode<()>>(
    clients: &HttpClients,
    daemon: SocketAddr,
    target: &str,
    timeout: Duration,
) -> Result<T, String> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = target
        .parse()
        .map_err(|error: http::uri::InvalidUri| error.to_string())?;
    let host = HeaderValue::from_str(&daemon.to_string()).map_err(|error| error.to_string())?;
    request.headers_mut().insert(HOST, host);
    let result = clients.client(daemon).call(request, timeout).await;
    let answer = result.map_err(|error| error.to_string())?;
    if answer.status != StatusCode::OK {
        return Err(format!("answered with status {}", answer.status.as_u16()));
    }
    decode(&answer.body).map_err(|error| error.to_string())
}
