//! Stand-ins for the prepared platform: its store, its workers and its machines, written from the
//! published protocol and served over HTTP on loopback.

mod deployment;
mod http;
mod log;
mod machines;
mod store;
mod worker;

pub use deployment::Deployment;
pub use deployment::POOL;
pub use deployment::ROUTE_HOST;
pub use deployment::ROUTE_PREFIX;
pub use deployment::TEAM_KEY;
pub use machines::SPARE_POOL;
pub use store::StoreFaults;
pub use worker::WorkerFaults;
