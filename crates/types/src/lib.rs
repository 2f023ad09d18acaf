//! Validated names and the clock interface that the crates of the workspace share.

mod clock;
mod name;

pub use clock::Clock;
pub use name::InvalidName;
pub use name::MAX_NAME_BYTES;
pub use name::PoolName;
pub use name::QueueName;
pub use name::RegionName;
pub use name::TeamName;
pub use name::ZoneName;
