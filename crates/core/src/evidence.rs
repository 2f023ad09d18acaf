//! Evidence that separates failing jobs from failing workers.
