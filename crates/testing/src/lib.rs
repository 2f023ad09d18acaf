//! Stand-ins for the platform, and what tests share.

mod ports;
pub mod fakes;
mod process;

pub use ports::free_ports;
pub use process::OPERATOR_TOKEN;
pub use process::NodeProcess;
pub use process::node_binary;
