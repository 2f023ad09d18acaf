//! The decisions of a shard's owner, without I/O: which jobs are taken in, where and when their
//! tasks start, when a run is over for certain, and when a machine may go down.

mod active;
mod admission;
mod dispatch;
mod interference;
mod job;
mod lease;
mod looks;
mod orders;
mod recovery;
mod shard;
mod stored;
mod tuning;
mod upkeep;
mod worker;

pub use job::*;
pub use lease::Lease;
pub use looks::LookFailure;
pub use orders::StartAnswer;
pub use shard::Answer;
pub use shard::Effect;
pub use shard::LookOrder;
pub use shard::Moment;
pub use shard::Note;
pub use shard::Shard;
pub use shard::StartOrder;
pub use shard::TeamUse;
pub use shard::Ticket;
pub use stored::InvalidRecord;
pub use stored::Progress;
pub use stored::Record;
pub use stored::Stored;
pub use stored::StoredRun;
pub use stored::StoredTask;
pub use stored::decode;
pub use stored::job_record;
pub use stored::progress_record;
pub use tuning::Tuning;
pub use upkeep::Vacancy;
pub use worker::EndKind;
pub use worker::EndRow;
pub use worker::Listing;
pub use worker::Look;
pub use worker::RunId;
pub use worker::RunningRow;
