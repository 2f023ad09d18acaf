//! Freshness of the configuration and what it allows.

mod installed;
mod report;
mod tracker;
mod view;
mod zones;

pub use installed::Current;
pub use installed::Installed;
pub use report::Report;
pub use report::ZoneReport;
pub use tracker::Freshness;
pub use tracker::STALENESS_BOUND;
pub use view::InForce;
