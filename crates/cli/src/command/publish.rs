//! `publish`: publishes a configuration.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_config::Safety;
use lavenderhollow_config::diff;
use lavenderhollow_core::configuration::ConfigChange;
use lavenderhollow_entry::api::operator::Command;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
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
use crate::input::read_config;

const HELP: &str = "\
Publishes a configuration. Publishing the present configuration again changes nothing.

Usage: lavenderhollow publish [OPTIONS] FILE

Options:
  --expected VERSION   publish only if this version is in force (default: the present one)
  --id ID              the id of the command, to repeat it after a lost answer
  --wait STATE         'accepted' (default): the log has it and it won;
                       'in-force': every entry on the VM list has it
  --limit SECONDS      how long to wait for 'in-force' (default: 20)
";

/// How often the wait for `in-force` asks.
const POLL: Duration = Duration::from_millis(200);

const DEFAULT_LIMIT: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Options {
    file: Option<PathBuf>,
    expected: Option<Version>,
    id: Option<RecordId>,
    in_force: bool,
    limit: Option<Duration>,
}

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut options = Options::default();
    let mut client = ClientOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(&format!("{HELP}{OPTIONS_HELP}")),
            Arg::Long("expected") => options.expected = Some(parser.value()?.parse()?),
            Arg::Long("id") => options.id = Some(parser.value()?.parse()?),
            Arg::Long("limit") => {
                options.limit = Some(Duration::from_secs(parser.value()?.parse()?));
            }
            Arg::Long("wait") => options.in_force = wait_for_force(&parser.value()?.string()?)?,
            Arg::Value(value) if options.file.is_none() => options.file = Some(value.into()),
            Arg::Long(name) => {
                let name = name.to_owned();
                client.take(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    publish(&options, &client.connect()?)
}

fn wait_for_force(state: &str) -> eyre::Result<bool> {
    match state {
        "accepted" => Ok(false),
        "in-force" => Ok(true),
        other => {
            let message = format!("--wait: {other:?} is not 'accepted' or 'in-force'");
            Err(Failure::new(Code::Usage, message).into())
        }
    }
}

fn publish(options: &Options, client: &Client) -> eyre::Result<Code> {
    let config = read_config(&required(options.file.as_ref(), "FILE")?.clone())?;
    let present = client.config()?;
    let differences = diff(&present.config, &config);
    // With an id the command may be a repeat, whose first try the entries still have to confirm.
    if differences.is_empty() && present.version.get() > 0 && options.id.is_none() {
        println!(
            "nothing changes: version {} has this configuration",
            present.version
        );
        return wait(options, client, present.version);
    }
    for difference in &differences {
        println!("{difference}");
    }
    if differences.iter().any(|d| d.safety == Safety::Refused) && present.version.get() > 0 {
        return Err(Failure::new(Code::Refused, "the configuration would be refused").into());
    }
    let command = Command {
        id: options.id.unwrap_or_else(RecordId::random),
        expected: Some(options.expected.unwrap_or(present.version)),
        change: ConfigChange::Publish(Arc::new(config)),
    };
    println!("publishing with id {}", command.id);
    let version = client.change_config(&command)?;
    println!("accepted: version {version}");
    wait(options, client, version)
}

/// Waits until a version is in force, if asked to.
fn wait(options: &Options, client: &Client, version: Version) -> eyre::Result<Code> {
    if !options.in_force {
        return Ok(Code::Done);
    }
    let started = Instant::now();
    let limit = options.limit.unwrap_or(DEFAULT_LIMIT);
    loop {
        let view = client.in_force(version)?;
        let took = started.elapsed();
        if view.everywhere {
            println!("in force everywhere after {:.1} s", took.as_secs_f64());
            return Ok(Code::Done);
        }
        if took >= limit {
            let zones: Vec<_> = view.unconfirmed.iter().map(ToString::to_string).collect();
            println!("not confirmed by zones: {}", zones.join(", "));
            return Ok(Code::NotConfirmed);
        }
        std::thread::sleep(POLL);
    }
}
