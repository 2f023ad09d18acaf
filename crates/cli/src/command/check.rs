//! The `check` command, which validates a configuration.

use std::path::PathBuf;

use lavenderhollow_config::parse_config;
use lexopt::Arg;
use lexopt::Parser;

use super::help;
use super::required;
use crate::exit::Code;
use crate::input::parse_failure;
use crate::input::read_text;

const HELP: &str = "\
Checks a configuration and reports every problem with its path, its value and what is allowed.

Usage: lavenderhollow check [--json] FILE

Options:
  --json   print the problems as JSON

Exit codes: 0 valid, 3 not valid
";

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut file = None;
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(HELP),
            Arg::Long("json") => json = true,
            Arg::Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = required(file, "FILE")?;
    let result = parse_config(&read_text(&file)?);
    if json {
        let problems = result.as_ref().err().map_or(&[][..], |e| e.problems());
        let syntax_error = result.as_ref().err().filter(|e| e.problems().is_empty());
        let document = serde_json::json!({
            "valid": result.is_ok(),
            "error": syntax_error.map(ToString::to_string),
            "problems": problems,
        });
        println!("{document}");
        return Ok(if result.is_ok() {
            Code::Success
        } else {
            Code::Rejected
        });
    }
    let config = result.map_err(|error| parse_failure(&file, &error))?;
    println!(
        "valid: {} zones, {} pools, {} queues, {} teams",
        config.zones.len(),
        config.pools.len(),
        config.queues.len(),
        config.teams.len()
    );
    Ok(Code::Success)
}
