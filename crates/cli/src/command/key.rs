//! `key`: adds and withdraws keys of teams.

use lavenderhollow_config::Key;
use lavenderhollow_core::configuration::ConfigChange;
use lavenderhollow_entry::api::operator::Command;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use super::help;
use super::required;
use crate::client::ClientOptions;
use crate::client::OPTIONS_HELP;
use crate::exit::Code;
use crate::exit::Failure;

const HELP: &str = "\
Adds and withdraws keys of teams. A new key is drawn here and printed once; the entries get only
its hash. A withdrawn key stops working within seconds.

Usage: lavenderhollow key add|withdraw TEAM KEY [OPTIONS]

Options:
  --id ID              the id of the command, to repeat it after a lost answer
  --json               print JSON
";

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut words = Vec::new();
    let mut id = None;
    let mut json = false;
    let mut client = ClientOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(&format!("{HELP}{OPTIONS_HELP}")),
            Arg::Long("id") => id = Some(parser.value()?.parse::<RecordId>()?),
            Arg::Long("json") => json = true,
            Arg::Value(value) if words.len() < 3 => words.push(value.string()?),
            Arg::Long(name) => {
                let name = name.to_owned();
                client.take(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let mut words = words.into_iter();
    let word = required(words.next(), "add or withdraw")?;
    let team = required(words.next(), "TEAM")?.parse::<TeamName>();
    let team = team.map_err(|e| Failure::new(Code::Usage, format!("TEAM: {e}")))?;
    let key = required(words.next(), "KEY")?;
    let drawn = Key::random();
    let change = match word.as_str() {
        "add" => ConfigChange::AddKey {
            team,
            key,
            hash: drawn.hash(),
        },
        "withdraw" => ConfigChange::WithdrawKey { team, key },
        other => {
            let message = format!("key: {other:?} is not add or withdraw");
            return Err(Failure::new(Code::Usage, message).into());
        }
    };
    let secret = matches!(change, ConfigChange::AddKey { .. }).then(|| drawn.reveal().to_owned());
    let command = Command {
        id: id.unwrap_or_else(RecordId::random),
        expected: None,
        change,
    };
    let version = client.connect()?.change_config(&command)?;
    print_result(json, version.get(), secret)?;
    Ok(Code::Done)
}

fn print_result(json: bool, version: u64, secret: Option<String>) -> eyre::Result<()> {
    if json {
        let document = serde_json::json!({ "version": version, "key": secret });
        println!("{}", serde_json::to_string(&document)?);
        return Ok(());
    }
    println!("accepted as version {version}");
    if let Some(secret) = secret {
        println!("key (shown only now): {secret}");
    }
    Ok(())
}
