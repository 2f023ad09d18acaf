//! Freshness of the configuration and what it allows.
