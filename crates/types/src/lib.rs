//! Names, ids, clocks and verdicts that every crate of the workspace shares.

mod clock;
mod id;
mod name;
mod verdict;

pub use clock::Clock;
pub use clock::ManualClock;
pub use clock::SystemClock;
pub use id::AttemptId;
pub use id::Incarnation;
pub use id::JobId;
pub use id::Offset;
pub use id::RecordId;
pub use id::RequestId;
pub use id::Version;
pub use id::WaveId;
pub use name::EntryName;
pub use name::InvalidName;
pub use name::MAX_NAME_BYTES;
pub use name::PoolName;
pub use name::QueueName;
pub use name::RackName;
pub use name::RegionName;
pub use name::StreamName;
pub use name::TeamName;
pub use name::VmName;
pub use name::ZoneName;
pub use verdict::Doubt;
pub use verdict::Refusal;
pub use verdict::RefusalKind;
pub use verdict::Verdict;
