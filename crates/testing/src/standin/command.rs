//! The command line that the stand-ins share.

use std::ffi::OsString;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use eyre::WrapErr;
use lexopt::Arg;
use lexopt::ValueExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::oneshot;

use super::patched;

/// The options of a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command<T> {
    /// The service address; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The control address; port 0 takes a free one.
    pub control: SocketAddr,
    /// The settings at the start.
    pub settings: T,
    /// Whether the end of standard input ends the process.
    pub until_eof: bool,
}

impl<T: Default + Serialize + DeserializeOwned> Command<T> {
    /// Parses `[--listen ADDRESS] [--control ADDRESS] [--settings JSON] [--until-eof]`, without
    /// the name of the program.
    ///
    /// # Errors
    ///
    /// Fails when an argument is unknown or its value is not valid.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> eyre::Result<Self> {
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut command = Self {
            listen: local,
            control: local,
            settings: T::default(),
            until_eof: false,
        };
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("listen") => command.listen = parser.value()?.parse()?,
                Arg::Long("control") => command.control = parser.value()?.parse()?,
                Arg::Long("settings") => {
                    let patch = parser.value()?.string()?;
                    let settings = patched(&command.settings, patch.as_bytes());
                    command.settings = settings.wrap_err("--settings")?;
                }
                Arg::Long("until-eof") => command.until_eof = true,
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(command)
    }
}

/// Prints the addresses and waits for SIGTERM, or for the end of standard input if asked to.
///
/// # Errors
///
/// Fails when standard output is closed or the signal can't be handled.
pub async fn wait_for_end(
    listen: SocketAddr,
    control: SocketAddr,
    until_eof: bool,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "listening {listen}\ncontrol {control}")?;
    output.flush()?;
    drop(output);
    let (ended, eof) = oneshot::channel::<()>();
    if until_eof {
        std::thread::spawn(move || {
            let _ = std::io::stdin().read_to_end(&mut Vec::new());
            drop(ended);
        });
        tokio::select! {
            _ = terminate.recv() => {}
            _ = eof => {}
        }
    } else {
        terminate.recv().await;
    }
    Ok(())
}
