//! One integration test binary, so that linking happens once.

mod claims;
mod configuration;
mod epochs;
mod http;
mod kernel;
mod retries;
mod routing;
mod whole_path;
