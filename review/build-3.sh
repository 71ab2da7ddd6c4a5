#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start. They need nothing but the standard library.
set -e
here=$(cd "$(dirname "$0")" && pwd)
cargo build --release --offline --locked --manifest-path "$here/standin-3/Cargo.toml" --target-dir "$here/standin-3/target"
