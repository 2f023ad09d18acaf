//! Stand-ins for the platform, the scenario runner and builders that tests share.

mod fake_log;
mod ports;
pub mod prepared;
pub mod scenario;
pub mod standin;

pub use fake_log::AppendError;
pub use fake_log::FakeLog;
pub use fake_log::Fault;
pub use fake_log::ReadError;
pub use ports::free_ports;
