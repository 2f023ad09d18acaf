//! The HTTP interfaces.

pub(crate) mod caller;
mod header;
pub mod operator;
pub(crate) mod reply;
mod server;

pub(crate) use server::serve;
