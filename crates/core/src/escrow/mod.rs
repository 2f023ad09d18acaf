//! Escrow of upper limits: allotments that sum to at most the limit.

mod account;
mod change;
mod meter;
mod rebalance;
mod state;

pub use account::Account;
pub use change::Change;
pub use change::Evidence;
pub use change::Holder;
pub use change::Rejection;
pub use meter::Gift;
pub use meter::Meter;
pub use meter::Slot;
pub use rebalance::HALF_LIFE;
pub use rebalance::HolderDemand;
pub use rebalance::Rebalancer;
pub use rebalance::Step;
pub use state::CLOCK_MARGIN;
pub use state::Escrow;
pub use state::TeamEscrow;
