//! Tests of the shard.

mod support;
mod test_job;
mod test_lease;
mod test_shard;
mod test_world;
