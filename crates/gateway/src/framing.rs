//! How an HTTP/1.1 answer marks the end of its body.

use anvilgw_core::is_chunked;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use http_body::Body;

/// How an answer marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The head states the length of the body.
    Length,
    /// The body consists of chunks, the last of which is empty.
    Chunks,
    /// The body ends with its connection. A connection that the server closes early, without a
    /// reset, looks the same.
    ConnectionEnd,
}

impl Framing {
    /// Returns the framing of a body, given the headers that came with it.
    pub(crate) fn of(headers: &HeaderMap, body: &impl Body) -> Self {
        if body.size_hint().exact().is_some() {
            Self::Length
        } else if has_chunks(headers) {
            Self::Chunks
        } else {
            Self::ConnectionEnd
        }
    }
}

fn has_chunks(headers: &HeaderMap) -> bool {
    let last_value = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last_value.and_then(|value| value.to_str().ok());
    codings.is_some_and(is_chunked)
}
