//! Following a stream: rebuild, pending records and snapshots.

mod pace;
mod page;
mod pending;
mod rebuild;
mod snapshots;
mod stream;

pub use pace::APPENDS_PER_SECOND;
pub use pace::Pace;
pub use page::Event;
pub use page::Page;
pub use page::Placed;
pub use page::Status;
pub use pending::Batch;
pub use pending::MAX_BATCH;
pub use pending::RETRY;
pub use pending::Urgency;
pub use stream::Follower;
