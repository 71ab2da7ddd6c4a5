//! Plan limits, fair queueing and early refusal.
