//! `entry`: runs an entry process.

use std::io::Write;
use std::path::PathBuf;

use eyre::WrapErr;
use lavenderhollow_entry::Entry;
use lavenderhollow_entry::EntryBuilder;
use lavenderhollow_entry::Settings;
use lavenderhollow_entry::install_metrics;
use lavenderhollow_entry::install_traces;
use lexopt::Arg;
use lexopt::Parser;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::help;
use super::required;
use crate::exit::Code;
use crate::input::read_text;
use crate::input::refused;

const HELP: &str = "\
Runs an entry process until SIGTERM or SIGINT, then stops it without cutting a request.

Usage: lavenderhollow entry --settings FILE

Prints one line for each address it listens on: 'callers', 'operators', 'peers', 'metrics'.
Logs go to standard error as lines of JSON.
";

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut file: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(HELP),
            Arg::Long("settings") => file = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = required(file, "--settings")?;
    let settings = Settings::from_text(&read_text(&file)?).map_err(|e| refused(&file, &e))?;
    start_logs();
    install_traces(&settings.traces).wrap_err("can't open the file for traces")?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("can't start the runtime")?;
    runtime.block_on(serve(settings))?;
    Ok(Code::Done)
}

/// Starts the logs. The library for calls between entries logs several lines for each call, of
/// which only warnings are of use.
fn start_logs() {
    use logforth::append::Stderr;
    use logforth::filter::rustlog::RustLogFilterBuilder;
    use logforth::layout::JsonLayout;
    use logforth::record::Level;
    use logforth::record::LevelFilter;

    let filter = RustLogFilterBuilder::from_spec("info")
        .filter_module("tarpc", LevelFilter::MoreSevereEqual(Level::Warn))
        .build();
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(filter)
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}

/// Prints where the entry listens. A closed standard output must not end the entry.
fn print_addresses(entry: &Entry) {
    let mut lines = format!(
        "callers {}\noperators {}\npeers {}\n",
        entry.callers(),
        entry.operators(),
        entry.peers()
    );
    if let Some(address) = entry.metrics() {
        lines.push_str(&format!("metrics {address}\n"));
    }
    let _ = std::io::stdout().write_all(lines.as_bytes());
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let metrics = install_metrics()?;
    let mut entry = EntryBuilder::new(settings).metrics(metrics).start().await?;
    print_addresses(&entry);
    log::info!("entry started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        report = entry.failed() => return Err(report),
    }
    log::info!("entry stops");
    entry.shut_down().await?;
    log::info!("entry stopped");
    Ok(())
}
