//! Tests of the core crate.

mod fleet_world;
mod fuzz;
mod target_world;
mod test_admission_machine;
mod test_config_machine;
mod test_dispatch_machine;
mod test_drain_machine;
mod test_escrow_machine;
mod test_exchange_machine;
mod test_jobs;
mod test_jobs_machine;
mod test_maintenance_machine;
mod test_membership_machine;
mod test_once;
mod test_once_machine;
mod test_placement;
mod test_planner;
mod test_queue;
mod test_retry;
mod test_share;
