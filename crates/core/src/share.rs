//! Weighted max-min shares.
