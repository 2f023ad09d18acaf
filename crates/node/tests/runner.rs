//! Tests of the parts of a node, with a store in memory and without workers or other processes.

mod memory_store;
mod test_assignment;
mod test_attempts;
mod test_automatic;
mod test_caller_budget;
mod test_claim;
mod test_command_budget;
mod test_connection_limit;
mod test_evacuated_zones;
mod test_held_bytes;
mod test_job_budget;
mod test_membership;
mod test_moved_queue;
mod test_operator_topic;
mod test_owner;
mod test_peers;
mod test_quota_demand;
mod test_rebalancer;
mod test_recent_commands;
mod test_refusal_scenarios;
mod test_refusals;
mod test_shard_quotas;
mod test_silent_peer;
mod test_wave;
