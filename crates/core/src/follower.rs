//! Following a stream: rebuild, pending records and snapshots.
