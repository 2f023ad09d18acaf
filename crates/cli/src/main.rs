//! The `lavenderhollow` command, which runs a node process and the commands of operators.

mod client;
mod command;
mod exit;
mod input;
mod logging;

use std::process::ExitCode;

fn main() -> ExitCode {
    let parser = lexopt::Parser::from_env();
    match command::run(parser) {
        Ok(code) => code.into(),
        Err(report) => {
            eprintln!("error: {report:#}");
            exit::exit_code(&report).into()
        }
    }
}
