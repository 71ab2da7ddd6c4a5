#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The project's program is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
