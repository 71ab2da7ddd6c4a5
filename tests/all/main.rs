//! One integration test binary, so that linking happens once.

mod configuration;
mod http;
mod kernel;
mod routing;
mod whole_path;
