//! Small stand-ins for the outside systems, with seeded faults, for tests and the demo.
