//! `automatic`: turns automatic actions on and off.

use lavenderhollow_node::AutomaticAction;
use lavenderhollow_node::AutomaticSwitches;
use lavenderhollow_node::SwitchUpdate;
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
Turns automatic actions on and off. With all of them off the fleet stays safe: limits, keys and
budgets hold, no further machine is drained or moved, and those that are on their way arrive.

Usage: lavenderhollow automatic list [--json] [OPTIONS]
       lavenderhollow automatic on|off [ACTION] [OPTIONS]

Without an ACTION the switch of all actions is turned; each action keeps its own switch.
Actions: drains, moves

Options:
  --json               print JSON
";

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut words = Vec::new();
    let mut json = false;
    let mut client = ClientOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(&format!("{HELP}{OPTIONS_HELP}")),
            Arg::Long("json") => json = true,
            Arg::Value(value) if words.len() < 2 => words.push(value.string()?),
            Arg::Long(name) => {
                let name = name.to_owned();
                client.parse_option(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let mut words = words.into_iter();
    let word = required(words.next(), "on, off or list")?;
    let action = words.next().map(|name| action_named(&name)).transpose()?;
    match word.as_str() {
        "list" => list(&client.into_client()?, json),
        "on" => set(&client.into_client()?, SwitchUpdate { action, on: true }),
        "off" => set(&client.into_client()?, SwitchUpdate { action, on: false }),
        other => {
            let message = format!("automatic: {other:?} is not on, off or list");
            Err(Failure::new(Code::Usage, message).into())
        }
    }
}

fn action_named(name: &str) -> eyre::Result<AutomaticAction> {
    name.parse().map_err(|_| {
        let message = format!("no automatic action is called {name:?}; see 'automatic list'");
        Failure::new(Code::Usage, message).into()
    })
}

fn word(on: bool) -> &'static str {
    if on { "on" } else { "off" }
}

fn set(client: &Client, switch: SwitchUpdate) -> eyre::Result<Code> {
    client.set_automatic(switch)?;
    let action = switch.action.map(|action| action.to_string());
    let what = action.unwrap_or_else(|| "all actions".to_owned());
    println!("{what}: {}", word(switch.on));
    Ok(Code::Success)
}

fn list(client: &Client, json: bool) -> eyre::Result<Code> {
    let Some(fleet) = client.status()?.fleet else {
        let message = "the owner of the fleet shard can't be reached; try again";
        return Err(Failure::new(Code::Failed, message).into());
    };
    if json {
        println!("{}", serde_json::to_string(&fleet.automatic)?);
        return Ok(Code::Success);
    }
    for line in lines(&fleet.automatic) {
        println!("{line}");
    }
    Ok(Code::Success)
}

/// Tells of each action whether it is taken.
fn lines(automatic: &AutomaticSwitches) -> Vec<String> {
    let actions = AutomaticAction::ALL.into_iter();
    let line = |action| format!("{action}: {}", word(automatic.is_enabled(action)));
    actions.map(line).collect()
}
