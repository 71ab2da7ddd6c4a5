//! Bodies of refused requests.
//!
//! If the body of a request is not read, hyper closes the connection after the answer, and the
//! kernel resets a connection that is closed with unread bytes. The reset may discard the answer
//! before the client has read it.

use crate::body_memory::ConnectionMemory;
use http::header::EXPECT;
use http::request::Parts;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// Most bytes that are read of a refused body. It exceeds the usual limit of a body.
const READ_MAX_BYTES: u64 = 8 * 1024 * 1024;
/// Memory that reading a refused body takes up.
const READ_BUFFER_BYTES: u64 = 32 * 1024;
/// Longest time for which a refused body is read.
const READ_MAX: Duration = Duration::from_secs(10);

/// What is left to read of a refused request.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreadBody {
    /// Whether the client sends the body only after an interim answer.
    is_awaiting_continue: bool,
}

impl UnreadBody {
    pub(super) fn of(head: &Parts) -> Self {
        Self {
            is_awaiting_continue: head.headers.contains_key(EXPECT),
        }
    }

    /// Reads the rest of a body in the background and drops it, within [`READ_MAX_BYTES`] and
    /// [`READ_MAX`]. Returns whether the connection can serve more requests afterwards.
    pub(super) fn discard(self, body: Incoming, connection: &ConnectionMemory) -> bool {
        if body.is_end_stream() {
            return true;
        }
        // Reading the body would request it, and the client may send another request instead.
        if self.is_awaiting_continue || body.size_hint().lower() > READ_MAX_BYTES {
            return false;
        }
        let mut reservation = connection.reserve();
        if !reservation.try_grow(READ_BUFFER_BYTES) {
            return false;
        }
        tokio::task::spawn_local(async move {
            // Both outcomes end the reading.
            let _ = timeout(READ_MAX, read_to_end(body)).await;
            drop(reservation);
        });
        true
    }
}

async fn read_to_end(mut body: Incoming) {
    let mut read_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        if read_bytes > READ_MAX_BYTES {
            return;
        }
    }
}
