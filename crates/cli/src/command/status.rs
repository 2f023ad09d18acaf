//! `status`: shows pools, teams, waves and freshness.

use lavenderhollow_entry::api::operator::StatusView;
use lexopt::Arg;
use lexopt::Parser;

use super::help;
use crate::client::ClientOptions;
use crate::client::OPTIONS_HELP;
use crate::exit::Code;

const HELP: &str = "\
Shows pools, teams near their limits, waves, zones that are cut off and the freshness of the
configuration, as one entry sees them.

Usage: lavenderhollow status [OPTIONS]

Options:
  --json               print JSON
";

/// The part of its limit from which a team is marked, in percent.
const NEAR_LIMIT_PERCENT: u32 = 80;

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut client = ClientOptions::default();
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(&format!("{HELP}{OPTIONS_HELP}")),
            Arg::Long("json") => json = true,
            Arg::Long(name) => {
                let name = name.to_owned();
                client.take(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let status = client.connect()?.status()?;
    if json {
        println!("{}", serde_json::to_string(&status)?);
    } else {
        print!("{}", text(&status));
    }
    Ok(Code::Done)
}

fn text(status: &StatusView) -> String {
    let mut lines = vec![heading(status)];
    if !status.unconfirmed.is_empty() {
        let zones: Vec<_> = status.unconfirmed.iter().map(ToString::to_string).collect();
        lines.push(format!("zones without this version: {}", zones.join(", ")));
    }
    for (name, pool) in &status.pools {
        lines.push(format!(
            "pool {name}: {} VMs, {} out (budget {}), {} open here",
            pool.vms, pool.out, pool.max_unavailable, pool.open_here
        ));
    }
    for (name, team) in &status.teams {
        let near = team.used_in_zone * 100 >= team.limit * NEAR_LIMIT_PERCENT && team.limit > 0;
        let mark = if near { " (near its limit)" } else { "" };
        lines.push(format!(
            "team {name}: {} of {} slots in use in this zone{mark}, {} waiting here",
            team.used_in_zone, team.limit, team.waiting_here
        ));
    }
    for (id, wave) in &status.waves {
        lines.push(format!(
            "wave {id}: {}, {} touched, {} failed, {} left",
            wave.status, wave.touched, wave.failed, wave.left
        ));
    }
    lines.push(format!("drains: {}", status.drains));
    let off: Vec<_> = status.automatic.iter().filter(|(_, on)| !**on).collect();
    if !off.is_empty() {
        let names: Vec<_> = off.iter().map(|(name, _)| name.as_str()).collect();
        lines.push(format!(
            "automatic actions that are off: {}",
            names.join(", ")
        ));
    }
    lines.join("\n") + "\n"
}

fn heading(status: &StatusView) -> String {
    let age = status.config_age.map_or_else(
        || "never confirmed".to_owned(),
        |age| format!("confirmed {age:.1} s ago"),
    );
    let keyed = if status.takes_keyed {
        "keyed work is taken"
    } else {
        "keyed work is refused"
    };
    format!(
        "entry {} in zone {}: configuration version {}, {age}, {keyed}",
        status.entry, status.zone, status.version
    )
}
