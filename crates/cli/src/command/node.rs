//! The `node` command, which runs the node process of a VM on the platform.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use lavenderhollow_adapter::Endpoints;
use lavenderhollow_adapter::Ingress;
use lavenderhollow_adapter::SETTINGS_ENV;
use lavenderhollow_adapter::Settings;
use lavenderhollow_adapter::build_platform;
use lavenderhollow_config::KeyHash;
use lavenderhollow_node::BootClock;
use lavenderhollow_node::Node;
use lexopt::Arg;
use lexopt::Parser;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::record::Level;
use logforth::record::LevelFilter;
use serde::Deserialize;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;

use super::help;
use super::required;
use crate::exit::Code;
use crate::exit::Failure;
use crate::input::read_text;
use crate::logging::NonBlockingStdout;

const HELP: &str = "\
Runs the node process of a VM until SIGTERM or SIGINT. Then it hands its shards over to other nodes
and exits after the open requests have completed.

Usage: lavenderhollow node [--settings FILE] [--own-settings FILE]

Options:
  --settings FILE      the platform's settings file (default: LAVENDERHOLLOW_SETTINGS)
  --own-settings FILE  a JSON file with two optional fields: operator_token, the SHA-256 hash of the
                       operator token in hex, without which the process accepts no operator
                       commands; and traces, true to write the spans of requests to the log

The settings file is reloaded on SIGHUP, and within seconds after a change without a signal. Logs go
to standard output, one JSON object per line.
";

/// How often the settings file is read to detect a change.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// How long requests are still accepted after SIGTERM: the load balancer needs two readiness
/// checks, one per second, to stop sending requests to this VM.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// The part of the shutdown grace period that is reserved for the exit of the process before
/// SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// The settings of a process that the platform's settings file has no fields for.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnSettings {
    /// The SHA-256 hash of the operator token. Without it, operator commands are rejected.
    operator_token: Option<KeyHash>,
    /// Whether spans of requests are written to the log.
    #[serde(default)]
    traces: bool,
}

impl OwnSettings {
    fn read(settings_file: &Path) -> eyre::Result<Self> {
        serde_json::from_str(&read_text(settings_file)?).map_err(|error| {
            let message = format!("{}: {error}", settings_file.display());
            Failure::new(Code::Rejected, message).into()
        })
    }
}

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut settings_file: Option<PathBuf> = std::env::var_os(SETTINGS_ENV).map(PathBuf::from);
    let mut own = OwnSettings::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(HELP),
            Arg::Long("settings") => settings_file = Some(parser.value()?.into()),
            Arg::Long("own-settings") => own = OwnSettings::read(&PathBuf::from(parser.value()?))?,
            other => return Err(other.unexpected().into()),
        }
    }
    let settings_file = required(settings_file, "--settings")?;
    let mut settings = Settings::from_toml(&read_text(&settings_file)?).map_err(|error| {
        Failure::new(
            Code::Rejected,
            format!("{}: {error}", settings_file.display()),
        )
    })?;
    settings.node.operator_token = own.operator_token;
    init_logging(own.traces)?;
    // One thread, since the VMs have a fraction of one core: more threads would only compete for
    // it.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")?;
    runtime.block_on(run_node(&settings_file, settings))?;
    Ok(Code::Success)
}

fn init_logging(traces: bool) -> eyre::Result<()> {
    // tarpc logs several lines for each call, which were hundreds per second with nine entry VMs.
    let filter = RustLogFilterBuilder::from_spec("warn,lavenderhollow=info")
        .filter_module("tarpc", LevelFilter::MoreSevereEqual(Level::Error))
        .build();
    let stdout = NonBlockingStdout::start().wrap_err("can't start the log writer thread")?;
    if traces {
        lavenderhollow_trace::set_sink(Box::new(stdout.clone()));
    }
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stdout))
        .apply();
    // Libraries skip the spans of each call only if their level is disabled here.
    log::set_max_level(log::LevelFilter::Info);
    Ok(())
}

async fn run_node(settings_file: &Path, settings: Settings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let metrics = lavenderhollow_exposition::install_recorder()?;
    let (platform, endpoints) = build_platform(&settings);
    let clock = Arc::new(BootClock::new());
    let node = Node::start(settings.node.clone(), platform, clock, Some(metrics)).await?;
    let node = Arc::new(node);
    let ingress = Ingress::start(
        settings.caller_address,
        settings.readiness_address,
        &node,
        settings.ingress,
    )
    .await
    .wrap_err("can't listen for callers")?;
    log::info!(
        vm = &*settings.node.vm, callers:display = settings.caller_address,
        cpu_limit = settings.node.cpu_limit, version = env!("CARGO_PKG_VERSION"); "process_started"
    );
    tokio::spawn(watch_settings(settings_file.to_owned(), endpoints, hangup));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let stop_started = Instant::now();
    log::info!(vm = &*settings.node.vm; "process_stopping");
    node.release_shards(settings.shutdown_grace.saturating_sub(EXIT_MARGIN * 2))
        .await;
    tokio::time::sleep_until(stop_started + LOAD_BALANCER_DELAY.min(settings.shutdown_grace / 2))
        .await;
    let remaining = settings.shutdown_grace.saturating_sub(EXIT_MARGIN);
    ingress
        .close(remaining.saturating_sub(stop_started.elapsed()))
        .await;
    log::info!(
        vm = &*settings.node.vm, taken_ms = stop_started.elapsed().as_millis() as u64;
        "process_stopped"
    );
    Ok(())
}

/// Reloads the settings file on SIGHUP and when a periodic read finds that it changed. If the file
/// can't be read or is invalid, logs the error and keeps the settings in use.
async fn watch_settings(settings_file: PathBuf, endpoints: Endpoints, mut hangup: Signal) {
    let mut last_text = read_text(&settings_file).ok();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let text = match read_text(&settings_file) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(error:display; "settings_read_failed");
                continue;
            }
        };
        if !signalled && last_text.as_ref() == Some(&text) {
            continue;
        }
        match Settings::from_toml(&text) {
            Ok(settings) => {
                endpoints.update(&settings);
                log::info!(signalled; "settings_reloaded");
            }
            Err(error) => log::error!(error:display; "settings_invalid"),
        }
        last_text = Some(text);
    }
}
