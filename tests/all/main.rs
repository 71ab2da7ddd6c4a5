//! One integration test binary, so that linking happens once.

mod claims;
mod configuration;
mod end_to_end;
mod epochs;
mod http;
mod kernel;
mod quarantine;
mod retries;
mod routing;
mod silence;
