//! Holder of the integration test binary `tests/all`.
