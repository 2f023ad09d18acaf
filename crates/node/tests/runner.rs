//! Tests of the process's decisions.

mod test_assignment;
mod test_automatic;
mod test_rebalancer;
mod test_recent_commands;
mod test_shard_quotas;
mod test_wave;
