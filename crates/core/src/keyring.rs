//! Admission of requests by key.
