//! `node`: runs the process of a VM on the prepared platform.

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
Runs the process of a VM until SIGTERM or SIGINT, then hands its work over and stops without cutting
a request.

Usage: lavenderhollow node [--settings FILE] [--own-settings FILE]

Options:
  --settings FILE      the platform's settings file (default: LAVENDERHOLLOW_SETTINGS)
  --own-settings FILE  a JSON file with operator_token, the SHA-256 hash of the operators' token in
                       hex, without which the process takes no commands; and traces, true to write
                       the hops of requests as spans among the lines of the log

SIGHUP reads the platform's file again; a change is also noticed without a signal. Logs go to
standard output as lines of JSON.
";

/// How often the settings file is read to notice a change.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);

/// How long callers are still taken after SIGTERM: the balancer needs two checks, one a second, to
/// stop sending them here.
const TURN_AWAY: Duration = Duration::from_millis(2_600);

/// The time kept for the end of the process before SIGKILL.
const END_MARGIN: Duration = Duration::from_millis(700);

/// The product's own settings of a process.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnSettings {
    /// The hash of the operators' token.
    operator_token: Option<KeyHash>,
    /// Whether the hops of requests are written as spans, among the lines of the log.
    #[serde(default)]
    traces: bool,
}

impl OwnSettings {
    fn read(file: &Path) -> eyre::Result<Self> {
        serde_json::from_str(&read_text(file)?).map_err(|error| {
            let message = format!("{}: {error}", file.display());
            Failure::new(Code::Rejected, message).into()
        })
    }
}

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut file: Option<PathBuf> = std::env::var_os(SETTINGS_ENV).map(PathBuf::from);
    let mut own = OwnSettings::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(HELP),
            Arg::Long("settings") => file = Some(parser.value()?.into()),
            Arg::Long("own-settings") => own = OwnSettings::read(&PathBuf::from(parser.value()?))?,
            other => return Err(other.unexpected().into()),
        }
    }
    let file = required(file, "--settings")?;
    let mut settings = Settings::from_toml(&read_text(&file)?)
        .map_err(|error| Failure::new(Code::Rejected, format!("{}: {error}", file.display())))?;
    settings.node.operator_token = own.operator_token;
    start_logs(own.traces)?;
    // One thread: the VMs have a part of one core, and threads would only take turns on it.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")?;
    runtime.block_on(serve(&file, settings))?;
    Ok(Code::Success)
}

fn start_logs(traces: bool) -> eyre::Result<()> {
    let filter = RustLogFilterBuilder::from_spec("info")
        .filter_module("tarpc", LevelFilter::MoreSevereEqual(Level::Error))
        .build();
    let stdout = NonBlockingStdout::start().wrap_err("can't start the logs")?;
    if traces {
        lavenderhollow_trace::set_sink(Box::new(stdout.clone()));
    }
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stdout))
        .apply();
    Ok(())
}

async fn serve(file: &Path, settings: Settings) -> eyre::Result<()> {
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
        settings.max_fds,
    )
    .await
    .wrap_err("can't listen for callers")?;
    log::info!(
        vm = &*settings.node.vm, callers:display = settings.caller_address,
        version = env!("CARGO_PKG_VERSION"); "started"
    );
    tokio::spawn(watch_settings(file.to_owned(), endpoints, hangup));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let begun = Instant::now();
    log::info!(vm = &*settings.node.vm; "stopping");
    node.release_shards(settings.shutdown_grace.saturating_sub(END_MARGIN * 2))
        .await;
    tokio::time::sleep_until(begun + TURN_AWAY.min(settings.shutdown_grace / 2)).await;
    let left = settings.shutdown_grace.saturating_sub(END_MARGIN);
    ingress.close(left.saturating_sub(begun.elapsed())).await;
    log::info!(vm = &*settings.node.vm, taken_ms = begun.elapsed().as_millis() as u64; "stopped");
    Ok(())
}

/// Reads the settings file again after a signal, and now and then. A file that can't be used is
/// reported and changes nothing.
async fn watch_settings(file: PathBuf, endpoints: Endpoints, mut hangup: Signal) {
    let mut last = read_text(&file).ok();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_EVERY) => false,
        };
        let text = match read_text(&file) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(error:display; "settings_unread");
                continue;
            }
        };
        if !signalled && last.as_ref() == Some(&text) {
            continue;
        }
        match Settings::from_toml(&text) {
            Ok(settings) => {
                endpoints.update(&settings);
                log::info!(signalled; "settings_reloaded");
            }
            Err(error) => log::error!(error:display; "settings_refused"),
        }
        last = Some(text);
    }
}
