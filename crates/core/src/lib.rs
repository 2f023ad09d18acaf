//! Decisions of the fleet manager as pure state machines.
//!
//! Nothing here does I/O. Time is passed in, and randomness where it is needed.

pub mod configuration;
pub mod escrow;
pub mod estimate;
pub mod evidence;
pub mod exchange;
pub mod fleet;
pub mod fold;
pub mod follower;
pub mod freshness;
pub mod jobs;
pub mod keyring;
pub mod maintenance;
pub mod membership;
pub mod once;
pub mod permit;
pub mod placement;
pub mod planner;
pub mod queue;
pub mod record;
pub mod retry;
pub mod share;
pub mod zone;
