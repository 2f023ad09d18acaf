//! The configuration of a deployment: its format, its validation, the description of differences
//! and the questionnaire that generates it.

mod diff;
mod key;
mod model;
mod parse;
mod problem;
mod questionnaire;
mod validate;

pub use diff::Difference;
pub use diff::Safety;
pub use diff::diff;
pub use key::Key;
pub use key::KeyHash;
pub use model::AutomaticAction;
pub use model::AutomaticSwitches;
pub use model::Config;
pub use model::CostWeights;
pub use model::KeyName;
pub use model::Pool;
pub use model::Queue;
pub use model::Resources;
pub use model::Team;
pub use model::Zone;
pub use parse::ParseError;
pub use parse::parse;
pub use parse::parse_config;
pub use parse::to_text;
pub use problem::Problem;
pub use questionnaire::Answers;
pub use questionnaire::Organisation;
pub use questionnaire::Priority;
pub use questionnaire::Service;
pub use questionnaire::TeamKeys;
pub use validate::validate;
