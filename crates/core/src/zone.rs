//! The state of a `zone/<name>` stream: durable jobs, claims and entry allotments.
