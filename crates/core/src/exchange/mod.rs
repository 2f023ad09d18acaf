//! Matching of answers to open attempts.

mod body;
mod table;

pub use body::Body;
pub use body::Digest;
pub use table::Answer;
pub use table::DropCounts;
pub use table::Dropped;
pub use table::Duplicate;
pub use table::Exchange;
pub use table::Expired;
