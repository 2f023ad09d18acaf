//! The subcommands, one per file.

mod automatic;
mod check;
mod diff;
mod node;
mod questionnaire;
mod status;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::exit::Code;
use crate::exit::Failure;

const HELP: &str = "\
Manages the capacity and the maintenance of a fleet of VMs.

Usage: lavenderhollow COMMAND [OPTIONS]

Commands:
  questionnaire   generate the configuration of a new deployment
  check           check a configuration and report every problem
  diff            describe the differences between two configurations
  status          show pools, maintenance waves and the age of the configuration
  automatic       turn automatic actions on and off
  node            run the node process of a VM

'lavenderhollow COMMAND --help' describes a command.

Exit codes:
  0  success
  1  failure
  2  invalid command line
  3  rejected; nothing was changed
  4  no response; it is unknown whether the change took effect, repeat the command
";

/// Runs the subcommand that the command line names.
pub(crate) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let name = match parser.next()? {
        Some(Arg::Value(name)) => name.string()?,
        Some(Arg::Short('h') | Arg::Long("help")) => return help(HELP),
        Some(Arg::Short('V') | Arg::Long("version")) => {
            return help(concat!("lavenderhollow ", env!("CARGO_PKG_VERSION"), "\n"));
        }
        Some(other) => return Err(other.unexpected().into()),
        None => return Err(Failure::new(Code::Usage, format!("no command\n\n{HELP}")).into()),
    };
    match name.as_str() {
        "questionnaire" => questionnaire::run(parser),
        "check" => check::run(parser),
        "diff" => diff::run(parser),
        "status" => status::run(parser),
        "automatic" => automatic::run(parser),
        "node" => node::run(parser),
        other => {
            let message = format!("unknown command {other:?}; see 'lavenderhollow --help'");
            Err(Failure::new(Code::Usage, message).into())
        }
    }
}

/// Prints a help text on standard output and succeeds.
fn help(text: &str) -> eyre::Result<Code> {
    print!("{text}");
    Ok(Code::Success)
}

/// Returns a required operand or option, or a usage error that names it.
fn required<T>(operand: Option<T>, name: &str) -> eyre::Result<T> {
    operand.ok_or_else(|| Failure::new(Code::Usage, format!("{name} is missing")).into())
}
