//! The entry process: caller and operator API, log follower, peers and placement.

mod allotments;
pub mod api;
mod context;
mod dispatch;
mod drive;
mod forward;
mod jobs;
mod message;
mod meters;
mod metric;
mod observers;
mod peer_server;
mod peers;
mod plan;
mod pools;
mod process;
mod seal;
mod serve;
mod settings;
mod stream;
mod submitted;
mod summary;
mod targets;
mod trace;

pub use lavenderhollow_exposition::install as install_metrics;
pub use process::Entry;
pub use process::EntryBuilder;
pub use settings::Listen;
pub use settings::Platform;
pub use settings::Settings;
pub use settings::Traces;
pub use trace::install as install_traces;
