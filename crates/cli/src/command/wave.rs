//! `wave`: starts, pauses, resumes and shows maintenance waves.

use std::collections::BTreeSet;

use lavenderhollow_entry::api::operator::Command;
use lavenderhollow_entry::api::operator::WaveCommand;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::WaveId;
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
Starts, pauses, resumes and shows maintenance waves.

Usage: lavenderhollow wave start [--pool POOL]... [OPTIONS]
       lavenderhollow wave pause|resume WAVE [OPTIONS]
       lavenderhollow wave status [--json] [OPTIONS]

Options:
  --pool POOL          a pool to maintain; may be repeated (default: all pools)
  --wave WAVE          the id of the wave to start, to repeat the command after a lost answer
  --id ID              the id of the command, to repeat it after a lost answer
  --json               print JSON
";

#[derive(Default)]
struct Options {
    action: Option<String>,
    wave: Option<WaveId>,
    pools: BTreeSet<PoolName>,
    id: Option<RecordId>,
    json: bool,
}

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut options = Options::default();
    let mut client = ClientOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(&format!("{HELP}{OPTIONS_HELP}")),
            Arg::Long("pool") => {
                options.pools.insert(parser.value()?.parse()?);
            }
            Arg::Long("wave") => options.wave = Some(parser.value()?.parse()?),
            Arg::Long("id") => options.id = Some(parser.value()?.parse()?),
            Arg::Long("json") => options.json = true,
            Arg::Value(value) if options.action.is_none() => {
                options.action = Some(value.string()?);
            }
            Arg::Value(value) if options.wave.is_none() => options.wave = Some(value.parse()?),
            Arg::Long(name) => {
                let name = name.to_owned();
                client.take(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    act(&options, client)
}

fn act(options: &Options, client: ClientOptions) -> eyre::Result<Code> {
    let action = required(options.action.clone(), "start, pause, resume or status")?;
    match action.as_str() {
        "start" => {
            let wave = options.wave.unwrap_or_else(WaveId::random);
            let change = WaveCommand::Start {
                pools: options.pools.clone(),
            };
            send(&client.connect()?, options, wave, change, "started")
        }
        "pause" | "resume" => {
            let wave = required(options.wave, "WAVE")?;
            let (change, done) = if action == "pause" {
                (WaveCommand::Pause, "paused")
            } else {
                (WaveCommand::Resume, "resumed")
            };
            send(&client.connect()?, options, wave, change, done)
        }
        "status" => show(&client.connect()?, options.json),
        other => {
            let message = format!("wave: {other:?} is not start, pause, resume or status");
            Err(Failure::new(Code::Usage, message).into())
        }
    }
}

fn send(
    client: &Client,
    options: &Options,
    wave: WaveId,
    change: WaveCommand,
    done: &str,
) -> eyre::Result<Code> {
    let command = Command {
        id: options.id.unwrap_or_else(RecordId::random),
        expected: None,
        change,
    };
    println!("wave {wave}, command id {}", command.id);
    client.command_wave(wave, &command)?;
    println!("{done}");
    Ok(Code::Done)
}

fn show(client: &Client, json: bool) -> eyre::Result<Code> {
    let status = client.status()?;
    if json {
        println!("{}", serde_json::to_string(&status.waves)?);
        return Ok(Code::Done);
    }
    if status.waves.is_empty() {
        println!("no open wave");
    }
    for (id, wave) in &status.waves {
        println!(
            "wave {id}: {}, {} touched, {} failed, {} left",
            wave.status, wave.touched, wave.failed, wave.left
        );
    }
    Ok(Code::Done)
}
