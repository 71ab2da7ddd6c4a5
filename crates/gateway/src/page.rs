//! Pages that daemons read from each other.

use crate::http_client::HttpClients;
use bincode::{Decode, Encode};
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use quick_error::quick_error;
use std::net::SocketAddr;
use std::time::Duration;

quick_error! {
    /// Why a page cannot be read or written.
    #[derive(Debug)]
    pub enum PageError {
        /// The bytes are no page of this kind.
        Decode(error: bincode::error::DecodeError) {
            display("not a page: {}", error)
            from()
        }
        /// The page cannot be written.
        Encode(error: bincode::error::EncodeError) {
            display("the page cannot be written: {}", error)
            from()
        }
    }
}

/// Writes a page.
///
/// # Errors
///
/// The encoder refuses the page.
pub fn encode(page: &impl Encode) -> Result<Vec<u8>, PageError> {
    Ok(bincode::encode_to_vec(page, bincode::config::standard())?)
}

/// Reads a page.
///
/// # Errors
///
/// The bytes are no page of this kind.
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, PageError> {
    let (page, _) = bincode::decode_from_slice(bytes, bincode::config::standard())?;
    Ok(page)
}

/// Reads a page from another daemon.
pub(crate) async fn fetch<T: Decode<()>>(
    callers: &HttpClients,
    daemon: SocketAddr,
    target: &str,
    limit: Duration,
) -> Result<T, String> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = target
        .parse()
        .map_err(|error: http::uri::InvalidUri| error.to_string())?;
    let host = HeaderValue::from_str(&daemon.to_string()).map_err(|error| error.to_string())?;
    request.headers_mut().insert(HOST, host);
    let call = callers.client(daemon).call(request, limit).await;
    let answer = call.map_err(|error| error.to_string())?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status.as_u16()));
    }
    decode(&answer.body).map_err(|error| error.to_string())
}
