//! Pool membership, availability budgets, drain grants and waves.

mod apply;
mod change;
mod drain;
mod grant;
mod shutdown;
mod sighting;
mod state;
mod wave;

pub use change::Change;
pub use change::FailureBound;
pub use change::PoolRule;
pub use change::Purpose;
pub use change::Reason;
pub use change::Rejection;
pub use change::Rules;
pub use change::Stage;
pub use drain::Drain;
pub use drain::DrainStep;
pub use drain::TargetView;
pub use drain::Usage;
pub use shutdown::Shutdown;
pub use shutdown::ShutdownStep;
pub use shutdown::ShutdownView;
pub use sighting::ListedVm;
pub use sighting::Sightings;
pub use state::DrainRecord;
pub use state::Maintenance;
pub use state::PoolRecord;
pub use state::VmRecord;
pub use state::WaveRecord;
pub use state::WaveStatus;
pub use wave::FleetView;
pub use wave::VmLoad;
pub use wave::WaveDriver;
