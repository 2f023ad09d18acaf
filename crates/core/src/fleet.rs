//! The state of the `fleet` stream: VMs, drains, waves and zone allotments.
