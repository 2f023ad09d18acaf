//! The right to send a request once.
