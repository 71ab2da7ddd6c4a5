//! Sends requests to backend servers and brings their answers back.

mod attempt;
mod call;
mod plain;
mod progress;
mod retries;
mod stream;
mod target;

pub(crate) use call::Call;
pub(crate) use plain::serve_plain;
pub(crate) use progress::Progress;
pub(crate) use stream::serve_stream;
