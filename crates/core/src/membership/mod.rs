//! Which targets an entry may start work on, and which targets it leases.

mod assign;
mod gate;
mod target;
mod view;

pub use assign::Holder;
pub use assign::LeaseAction;
pub use assign::TAKEOVER_STEP;
pub use assign::lease_action;
pub use assign::owner;
pub use assign::ranked;
pub use gate::Gate;
pub use gate::Pass;
pub use target::Bounds;
pub use target::Closed;
pub use target::ListedTarget;
pub use target::OpenTarget;
pub use view::Membership;
pub use view::Snapshot;
