//! Client for the platform's append-only log service.

mod http_log;
mod memory;
mod service;

pub use http_log::HttpLog;
pub use http_log::HttpLogSettings;
pub use memory::Faults;
pub use memory::MemoryLog;
pub use service::AppendError;
pub use service::Appended;
pub use service::Gone;
pub use service::LogService;
pub use service::LoggedRecord;
pub use service::Page;
pub use service::ReadError;
pub use service::ReadFrom;
pub use service::RecordBatch;
pub use service::RefusedAppend;
