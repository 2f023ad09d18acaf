//! `automatic`: turns automatic actions on and off.

use lavenderhollow_config::Automatic;
use lavenderhollow_core::configuration::ConfigChange;
use lavenderhollow_entry::api::operator::Command;
use lavenderhollow_types::RecordId;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use super::help;
use super::required;
use crate::client::Client;
use crate::client::ClientOptions;
use crate::client::OPTIONS_HELP;
use crate::exit::Code;
use crate::exit::Failure;

const HELP: &str = "\
Turns automatic actions on and off. With all of them off the fleet stays safe: limits, keys,
verdicts and budgets hold, nothing new is drained or moved, running drains finish.

Usage: lavenderhollow automatic list [--json] [OPTIONS]
       lavenderhollow automatic on|off [ACTION] [OPTIONS]

Without an ACTION the switch of all actions is turned; each action keeps its own switch.
Actions: drains, moves, buffers, quarantine, transfers, reclaims, restarts

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
            Arg::Long("id") => id = Some(parser.value()?.parse()?),
            Arg::Long("json") => json = true,
            Arg::Value(value) if words.len() < 2 => words.push(value.string()?),
            Arg::Long(name) => {
                let name = name.to_owned();
                client.take(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let mut words = words.into_iter();
    let word = required(words.next(), "on, off or list")?;
    let action = words.next().map(|name| action_named(&name)).transpose()?;
    match word.as_str() {
        "list" => list(&client.connect()?, json),
        "on" => set(&client.connect()?, action, true, id),
        "off" => set(&client.connect()?, action, false, id),
        other => {
            let message = format!("automatic: {other:?} is not on, off or list");
            Err(Failure::new(Code::Usage, message).into())
        }
    }
}

fn action_named(name: &str) -> eyre::Result<Automatic> {
    let found = Automatic::ALL
        .into_iter()
        .find(|action| action.to_string() == name);
    found.ok_or_else(|| {
        let message = format!("no automatic action is called {name:?}; see 'automatic list'");
        Failure::new(Code::Usage, message).into()
    })
}

fn set(
    client: &Client,
    action: Option<Automatic>,
    on: bool,
    id: Option<RecordId>,
) -> eyre::Result<Code> {
    let command = Command {
        id: id.unwrap_or_else(RecordId::random),
        expected: None,
        change: ConfigChange::SetAutomatic { action, on },
    };
    let version = client.change_config(&command)?;
    let what = action.map_or_else(|| "all actions".to_owned(), |action| action.to_string());
    let word = if on { "on" } else { "off" };
    println!("{what} {word}: accepted as version {version}");
    Ok(Code::Done)
}

fn list(client: &Client, json: bool) -> eyre::Result<Code> {
    let automatic = client.status()?.automatic;
    if json {
        println!("{}", serde_json::to_string(&automatic)?);
        return Ok(Code::Done);
    }
    for (action, on) in automatic {
        println!("{action}: {}", if on { "on" } else { "off" });
    }
    Ok(Code::Done)
}
