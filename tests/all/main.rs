//! One integration test binary, so that linking happens once.

mod claims;
mod kernel;
mod retries;
