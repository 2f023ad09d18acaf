//! Fakes of the services of the platform: the store, the workers and the machines. They implement
//! the published protocol and serve it over HTTP on the loopback interface.

mod http;
mod machines;
mod platform;
mod store;
mod store_state;
mod worker;

pub use machines::STANDBY_POOL;
pub use platform::FakePlatform;
pub use platform::OTHER_TEAM_KEY;
pub use platform::POOL;
pub use platform::ROUTE_HOST;
pub use platform::ROUTE_PREFIX;
pub use platform::TEAM_KEY;
pub use platform::idle_prefix;
pub use store::StoreFaults;
pub use worker::WorkerFaults;
