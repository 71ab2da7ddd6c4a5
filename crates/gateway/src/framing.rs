//! How an HTTP/1.1 answer marks the end of its body.

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
        } else if is_chunked(headers) {
            Self::Chunks
        } else {
            Self::ConnectionEnd
        }
    }
}

/// Returns whether the last transfer coding is `chunked`. A body with another last coding ends with
/// its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last_value = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last_value.and_then(|value| value.to_str().ok());
    let last_coding = codings.and_then(|codings| codings.rsplit(',').next());
    last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
