//! Stand-ins for the platform, and what tests share.

mod ports;
pub mod prepared;

pub use ports::free_ports;
