//! Empty library of the package whose integration test binary is `tests/all`.
