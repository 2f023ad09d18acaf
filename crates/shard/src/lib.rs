//! The scheduling logic of a shard's owner, without I/O.
//!
//! A shard is a set of pools with their workers and jobs, and has one owner at a time. The owner's
//! state machine is [`Shard`].
//!
//! It decides which jobs are admitted, on which worker and when their tasks start, when a run is
//! certain to have ended, and when a worker's machine may be taken down for maintenance.

mod admission;
mod arrivals;
mod backlog;
mod batches;
mod colocation;
mod demand;
mod dispatch;
mod drain;
mod evacuation;
mod finished_jobs;
mod image_slowdown;
mod inspect;
mod interference;
mod job;
mod job_memory;
mod lease;
mod occurrence_set;
mod policy;
mod polling;
mod records;
mod recovery;
mod remaining;
mod restart_leases;
mod runs;
mod shard;
mod share_limiter;
mod silent_leases;
mod slowdown_fit;
mod slowdown_record;
mod suitability;
mod timings;
mod tracked_job;
mod waiting;
mod withdrawal;
mod worker;
mod workers;

pub use admission::PoolLoad;
pub use batches::split_batch;
pub use demand::PoolDemand;
pub use dispatch::PlacementStats;
pub use drain::DrainStatus;
pub use inspect::JobView;
pub use inspect::WorkerView;
pub use job::*;
pub use job_memory::JobMemory;
pub use lease::Lease;
pub use policy::StepId;
pub use polling::PollFailure;
pub use records::InvalidRecord;
pub use records::JobProgress;
pub use records::LEASES_KEY;
pub use records::Record;
pub use records::StoredLease;
pub use records::StoredRecord;
pub use records::StoredRun;
pub use records::StoredSlowdown;
pub use records::StoredTask;
pub use records::decode_record;
pub use records::job_record;
pub use records::progress_record;
pub use runs::StartOutcome;
pub use shard::Effect;
pub use shard::LogEvent;
pub use shard::PollRequest;
pub use shard::RequestId;
pub use shard::Response;
pub use shard::Shard;
pub use shard::StartRequest;
pub use shard::TeamUsage;
pub use shard::Timestamp;
pub use timings::Timings;
pub use worker::FinishedRun;
pub use worker::RunId;
pub use worker::RunOutcome;
pub use worker::RunStatus;
pub use worker::WorkerInfo;
pub use worker::WorkerReport;
