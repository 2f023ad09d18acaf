//! The `automatic` command, which turns automatic actions on and off.

use lavenderhollow_node::FleetAction;
use lavenderhollow_node::FleetSwitches;
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
availability budgets are enforced, no further drain or move is started, and those in progress
complete.

Usage: lavenderhollow automatic list [--json] [OPTIONS]
       lavenderhollow automatic on|off [ACTION] [OPTIONS]

Without an ACTION the switch of all actions is set; the switches of the single actions stay as they
are.
Actions: drains, moves

Options:
  --json               print JSON
";

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut operands = Vec::new();
    let mut json = false;
    let mut client = ClientOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(&format!("{HELP}{OPTIONS_HELP}")),
            Arg::Long("json") => json = true,
            Arg::Value(value) if operands.len() < 2 => operands.push(value.string()?),
            Arg::Long(name) => {
                let name = name.to_owned();
                client.parse_option(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let mut operands = operands.into_iter();
    let command = required(operands.next(), "on, off or list")?;
    let action = operands
        .next()
        .map(|name| parse_action(&name))
        .transpose()?;
    match command.as_str() {
        "list" => print_switches(&client.into_client()?, json),
        "on" => set_switch(&client.into_client()?, SwitchUpdate { action, on: true }),
        "off" => set_switch(&client.into_client()?, SwitchUpdate { action, on: false }),
        other => {
            let message = format!("automatic: {other:?} is not on, off or list");
            Err(Failure::new(Code::Usage, message).into())
        }
    }
}

fn parse_action(name: &str) -> eyre::Result<FleetAction> {
    name.parse().map_err(|_| {
        let message = format!("unknown automatic action {name:?}; see 'automatic list'");
        Failure::new(Code::Usage, message).into()
    })
}

fn on_or_off(on: bool) -> &'static str {
    if on { "on" } else { "off" }
}

fn set_switch(client: &Client, switch: SwitchUpdate) -> eyre::Result<Code> {
    client.set_automatic(switch)?;
    let action = switch.action.map(|action| action.to_string());
    let subject = action.unwrap_or_else(|| "all actions".to_owned());
    println!("{subject}: {}", on_or_off(switch.on));
    Ok(Code::Success)
}

fn print_switches(client: &Client, json: bool) -> eyre::Result<Code> {
    let Some(fleet) = client.status()?.fleet else {
        let message = "the owner of the fleet shard can't be reached; try again";
        return Err(Failure::new(Code::Failed, message).into());
    };
    if json {
        println!("{}", serde_json::to_string(&fleet.automatic)?);
        return Ok(Code::Success);
    }
    for line in format_switches(&fleet.automatic) {
        println!("{line}");
    }
    Ok(Code::Success)
}

/// Formats one line for each action with its effective state: on, or off by either switch.
fn format_switches(automatic: &FleetSwitches) -> Vec<String> {
    let actions = FleetAction::ALL.into_iter();
    let line = |action| format!("{action}: {}", on_or_off(automatic.is_enabled(action)));
    actions.map(line).collect()
}
