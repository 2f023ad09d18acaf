//! Stand-ins for the prepared platform: its store, its workers and its machines, written from the
//! published protocol and served over HTTP on loopback.

mod http;
mod machines;
mod platform;
mod store;
mod store_state;
mod worker;

pub use machines::STANDBY_POOL;
pub use platform::FakePlatform;
pub use platform::POOL;
pub use platform::ROUTE_HOST;
pub use platform::ROUTE_PREFIX;
pub use platform::TEAM_KEY;
pub use store::StoreFaults;
pub use worker::WorkerFaults;
