//! Forwards requests to backend servers, retries failed attempts and returns the answers to
//! clients.

mod attempt;
mod attempt_state;
mod buffered;
mod in_flight;
mod overlap;
mod progress;
mod quarantine;
mod retries;
mod rollouts;
mod routed_request;
mod stream;
mod stream_buffer;
mod stream_relay;
mod target;
mod zones;

pub(crate) use buffered::serve_buffered;
pub(crate) use progress::Progress;
pub(crate) use quarantine::{encode_record, may_repeat_after_end};
pub(crate) use routed_request::RoutedRequest;
pub(crate) use stream::serve_stream;
