//! The view of targets: list, probes, leases and drains.
