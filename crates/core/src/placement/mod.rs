//! Choice of a target for a request.

mod load;
mod targets;

pub use load::Place;
pub use load::Report;
pub use targets::Target;
pub use targets::Targets;
