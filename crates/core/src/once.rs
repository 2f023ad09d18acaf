//! Idempotency claims and execution tickets.
