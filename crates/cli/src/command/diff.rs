//! The `diff` command, which describes the differences between two configurations.

use std::path::PathBuf;

use lavenderhollow_config::Safety;
use lavenderhollow_config::diff;
use lexopt::Arg;
use lexopt::Parser;

use super::help;
use super::required;
use crate::exit::Code;
use crate::input::read_config;

const HELP: &str = "\
Describes the differences between two configurations, one sentence each: who is affected and whether
the change is safe.

Usage: lavenderhollow diff [--json] OLD NEW

Options:
  --json   print the differences as JSON

Exit codes: 0 may be published, 3 a change would be rejected
";

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut files = Vec::new();
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(HELP),
            Arg::Long("json") => json = true,
            Arg::Value(value) if files.len() < 2 => files.push(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    let mut files = files.into_iter();
    let old = read_config(&required(files.next(), "OLD")?)?;
    let new = read_config(&required(files.next(), "NEW")?)?;
    let differences = diff(&old, &new);
    if json {
        println!("{}", serde_json::to_string(&differences)?);
    } else if differences.is_empty() {
        println!("nothing changes");
    } else {
        for difference in &differences {
            println!("{difference}");
        }
    }
    let refused = differences.iter().any(|d| d.safety == Safety::Refused);
    Ok(if refused {
        Code::Rejected
    } else {
        Code::Success
    })
}
