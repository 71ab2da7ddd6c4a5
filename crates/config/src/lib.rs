//! Settings file, plans, entitlements and the fold of the configuration stream.
