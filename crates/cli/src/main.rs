//! The `anvilgw` command line.

fn main() {}
