//! Buffers of pools and moves of VMs from and to the spare pool, by weighted cost.

mod cost;
mod demand;
mod plan;
mod weights;

pub use cost::Outlook;
pub use cost::cost;
pub use demand::Demand;
pub use plan::Plan;
pub use plan::PlannedMove;
pub use plan::Planner;
pub use plan::PoolView;
pub use plan::Tuning;
pub use plan::grants;
pub use weights::BOARD;
pub use weights::HAMAKAZE;
