//! Stand-ins for the platform's log, VM list and workers: HTTP servers with faults.
//!
//! Each has a service address and a control address. `GET /settings` and `PATCH /settings` on the
//! control address read and change its settings; fields that a patch doesn't name stay.

mod client;
mod command;
mod lagging;
mod log;
mod server;
mod vms;
mod worker;
mod worker_api;
mod worker_control;
mod worker_run;
mod worker_state;

pub use client::ControlClient;
pub use command::Command;
pub use command::wait_for_end;
pub use lagging::Lagging;
pub use log::LogSettings;
pub use log::LogStandIn;
pub use server::patched;
pub use vms::StateBody;
pub use vms::VmListSettings;
pub use vms::VmListStandIn;
pub use worker::WorkerStandIn;

pub use worker_control::BodyFault;
pub use worker_control::Runs;
pub use worker_control::WorkerSettings;
pub use worker_run::answer_body;
pub use worker_state::WorkerState;
