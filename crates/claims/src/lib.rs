//! Idempotency claims and orders to engines as pure state machines over the log.
