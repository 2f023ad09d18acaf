//! Tests of the shard crate, in one test binary.

mod support;
mod test_admission;
mod test_batches;
mod test_cost;
mod test_drain;
mod test_evacuation;
mod test_interference;
mod test_job;
mod test_job_memory;
mod test_kinds;
mod test_lease;
mod test_lossy_polls;
mod test_occurrences;
mod test_overload;
mod test_queue_policy;
mod test_quota_demand;
mod test_restart_races;
mod test_restarted_worker;
mod test_selection;
mod test_shard;
mod test_simulation;
mod test_withdrawal;
