//! Scenarios against separate processes: stand-ins and entries on loopback addresses.

mod args;
mod carry_out;
mod document;
mod grammar;
mod grammar_faults;
mod inspect;
mod ledger;
mod load;
mod measure;
mod network;
mod process;
mod programs;
mod relay;
mod runner;
mod step;
mod submission;
mod submit;
mod world;

pub use args::ParseError;
pub use ledger::Ledger;
pub use ledger::Outcome;
pub use measure::measure;
pub use process::Process;
pub use relay::Relay;
pub use runner::Runner;
pub use runner::run_text;
pub use step::Script;
pub use step::Step;
pub use world::World;
