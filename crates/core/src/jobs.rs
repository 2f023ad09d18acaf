//! Durable jobs and their attempts.
