//! The `status` command, which shows pools, maintenance waves and the age of the configuration.

use lavenderhollow_node::FleetAction;
use lavenderhollow_node::FleetView;
use lavenderhollow_node::StatusView;
use lexopt::Arg;
use lexopt::Parser;

use super::help;
use crate::client::ClientOptions;
use crate::client::OPTIONS_HELP;
use crate::exit::Code;

const HELP: &str = "\
Shows the pools with their load, the evacuated zones, the maintenance waves, the automatic actions
that are off and the age of the configuration, as one entry VM sees them.

Usage: lavenderhollow status [OPTIONS]

Options:
  --json               print JSON
";

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut client = ClientOptions::default();
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(&format!("{HELP}{OPTIONS_HELP}")),
            Arg::Long("json") => json = true,
            Arg::Long(name) => {
                let name = name.to_owned();
                client.parse_option(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let status = client.into_client()?.status()?;
    if json {
        println!("{}", serde_json::to_string(&status)?);
    } else {
        print!("{}", format_status(&status));
    }
    Ok(Code::Success)
}

fn format_status(status: &StatusView) -> String {
    let mut lines = vec![format_entry(status)];
    let members: Vec<&str> = status.members.iter().map(|vm| &**vm).collect();
    lines.push(format!("live: {}", members.join(", ")));
    if !status.evacuated.is_empty() {
        let zones: Vec<&str> = status.evacuated.iter().map(|zone| &**zone).collect();
        lines.push(format!("evacuated zones: {}", zones.join(", ")));
    }
    for (name, pool) in &status.pools {
        let owner = pool.owner.as_deref().unwrap_or("no owner");
        let load = status.fleet.as_ref().and_then(|f| f.loads.get(name));
        let load = match (pool.standby, load) {
            (true, _) => "stands by".to_owned(),
            (false, None) => "no report".to_owned(),
            (false, Some(load)) => format!(
                "{:.1} cores needed of {:.1}, {} idle workers",
                load.needed as f64 / 1e3,
                load.offered as f64 / 1e3,
                load.idle
            ),
        };
        lines.push(format!("pool {name} ({owner}): {load}"));
    }
    match &status.fleet {
        Some(fleet) => lines.extend(format_fleet(fleet)),
        None => lines.push("the owner of the fleet shard can't be reached".to_owned()),
    }
    lines.join("\n") + "\n"
}

fn format_fleet(fleet: &FleetView) -> Vec<String> {
    let mut lines = Vec::new();
    for (number, wave) in &fleet.waves {
        lines.push(format!(
            "wave {number}: {} of {} machines begun, {} down (at most {})",
            wave.begun, wave.machines, wave.down, wave.at_once
        ));
    }
    lines.push(format!("moving: {}", fleet.moving));
    let actions = FleetAction::ALL.into_iter();
    let off = actions.filter(|action| !fleet.automatic.is_enabled(*action));
    let off: Vec<String> = off.map(|action| action.to_string()).collect();
    if !off.is_empty() {
        lines.push(format!(
            "automatic actions that are off: {}",
            off.join(", ")
        ));
    }
    lines
}

fn format_entry(status: &StatusView) -> String {
    let age = status.config_age.map_or_else(
        || "never confirmed".to_owned(),
        |age| format!("confirmed {age:.1} s ago"),
    );
    let keyed = match status.takes_keyed {
        true => "keyed work is taken",
        false => "keyed work is refused",
    };
    format!(
        "entry {}: configuration version {}, {age}, {keyed}",
        status.vm, status.version
    )
}
