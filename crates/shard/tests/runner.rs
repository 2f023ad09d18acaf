//! Tests of the shard.
