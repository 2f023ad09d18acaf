//! The entry process: caller and operator API, log follower, peers and placement.

mod metric;
mod settings;
mod stream;
mod trace;

pub use settings::Listen;
pub use settings::Platform;
pub use settings::Settings;
pub use settings::Traces;
