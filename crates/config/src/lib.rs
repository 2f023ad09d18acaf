//! The declared configuration of a deployment: its format, checks, differences and questionnaire.

mod key;
mod model;

pub use key::Key;
pub use key::KeyHash;
pub use model::Automatic;
pub use model::Config;
pub use model::KeyName;
pub use model::Pool;
pub use model::Queue;
pub use model::Resources;
pub use model::Switches;
pub use model::Team;
pub use model::Weights;
pub use model::Zone;
