//! Tests of the `anvilgw` binary on files and with a stand-in for a daemon's operator endpoints.

mod changes;
mod files;
mod gateway;
mod standin;

use std::process::{Command, Output};

/// Runs the binary with the stand-in's operator key and without admin addresses from the
/// environment.
fn anvilgw(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_anvilgw"))
        .args(arguments)
        .env_remove("ANVILGW_ADMIN")
        .env("ANVILGW_OPERATOR_KEY", standin::KEY)
        .output()
        .expect("the binary runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns the path of a file in `examples/`.
fn example_path(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// Writes a file to the directory that Cargo gives to integration tests and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).expect("the test directory is writable");
    path
}
