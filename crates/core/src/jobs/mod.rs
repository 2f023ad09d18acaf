//! Durable jobs and their attempts.

mod change;
mod index;
mod job;
mod pending;
mod state;
mod transition;

pub use change::JobChange;
pub use change::JobRejection;
pub use job::Attempt;
pub use job::Job;
pub use job::JobOutcome;
pub use job::JobSpec;
pub use job::Stage;
pub use job::job_time;
pub use job::new_job;
pub use pending::PendingStart;
pub use pending::RecordedStart;
pub use state::FINISHED_RETENTION;
pub use state::Jobs;
pub use state::LEASE_MARGIN;
pub use state::MAX_LEASE;
pub use state::MAX_RESULT;
