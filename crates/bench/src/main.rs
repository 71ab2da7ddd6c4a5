//! The `anvilgw-bench` load and experiment tool.
//!
//! Each experiment runs a baseline and the product on the same seeded load and compares the result
//! with its stated target.

mod cli;
mod experiments;
mod plots;
mod report;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
