//! Fakes of the platform, and helpers that the tests of several crates share.

pub mod fakes;
mod ports;
mod process;

pub use ports::free_ports;
pub use process::NodeProcess;
pub use process::OPERATOR_TOKEN;
pub use process::node_binary;
