//! Stand-ins for the platform, and what tests share.

mod ports;
pub mod prepared;
mod process;

pub use ports::free_ports;
pub use process::OPERATOR_TOKEN;
pub use process::Process;
pub use process::built_program;
