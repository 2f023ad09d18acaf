//! One process of the world.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use eyre::WrapErr;
use rustix::process::Pid;
pub(super) use rustix::process::Signal;
use rustix::process::kill_process;

/// How long a process may take to print its addresses. Debug builds on a busy machine need seconds.
const START_LIMIT: Duration = Duration::from_secs(20);

/// How often the end of a process is looked for.
const POLL: Duration = Duration::from_millis(20);

/// How many lines of the log are shown after a failure.
const TAIL_LINES: usize = 15;

/// What lines about single calls between entries contain; they would fill the shown lines.
const CALL_LOG: &str = r#""target":"tarpc"#;

/// A running process, which is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    addresses: BTreeMap<String, SocketAddr>,
    log: PathBuf,
    // The pipe stays open so that a later line on standard output doesn't end the process.
    _output: BufReader<ChildStdout>,
}

impl Process {
    /// Starts a program and reads one address line for each of `words`. Standard error is appended
    /// to `<name>.log` in `folder`.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or doesn't print its addresses in time.
    pub async fn start(
        name: &str,
        mut command: Command,
        words: &'static [&'static str],
        folder: &Path,
    ) -> eyre::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let errors = File::options().create(true).append(true).open(&log)?;
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors);
        let mut child = command
            .spawn()
            .wrap_err_with(|| format!("can't start {}", command.get_program().display()))?;
        let output = child.stdout.take().ok_or_eyre("no standard output")?;
        let reading = tokio::task::spawn_blocking(move || read_addresses(output, words));
        let read = match tokio::time::timeout(START_LIMIT, reading).await {
            Ok(read) => read?,
            Err(_) => Err(eyre::eyre!("no addresses within {START_LIMIT:?}")),
        };
        match read {
            Ok((output, addresses)) => Ok(Self {
                name: name.to_owned(),
                child,
                addresses,
                log,
                _output: output,
            }),
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(error.wrap_err(format!("{name} did not start:\n{}", tail(&log))))
            }
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the process printed after a word.
    ///
    /// # Errors
    ///
    /// Fails when it printed no such word.
    pub fn address(&self, word: &str) -> eyre::Result<SocketAddr> {
        let address = self.addresses.get(word).copied();
        address.ok_or_else(|| eyre::eyre!("{} has no address {word:?}", self.name))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub(super) fn signal(&mut self, signal: Signal) -> eyre::Result<()> {
        if let Some(status) = self.child.try_wait()? {
            eyre::bail!("{} ended already: {status}", self.name);
        }
        let id = i32::try_from(self.id()).ok().and_then(Pid::from_raw);
        kill_process(id.ok_or_eyre("no process id")?, signal)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when its end can't be waited for.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    ///
    /// Fails when it has not ended within `limit`.
    pub async fn ended(&mut self, limit: Duration) -> eyre::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            eyre::ensure!(
                started.elapsed() < limit,
                "{} did not end within {limit:?}",
                self.name
            );
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        tail(&self.log)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn read_addresses(
    output: ChildStdout,
    words: &[&str],
) -> eyre::Result<(BufReader<ChildStdout>, BTreeMap<String, SocketAddr>)> {
    let mut output = BufReader::new(output);
    let mut addresses = BTreeMap::new();
    while !words.iter().all(|word| addresses.contains_key(*word)) {
        let mut line = String::new();
        eyre::ensure!(
            output.read_line(&mut line)? > 0,
            "ended without its addresses"
        );
        if let Some((word, address)) = line.trim().split_once(' ') {
            addresses.insert(word.to_owned(), address.parse()?);
        }
    }
    Ok((output, addresses))
}

fn tail(path: &Path) -> String {
    let text = fs::read_to_string(path).unwrap_or_default();
    let lines = text.lines().filter(|line| !line.contains(CALL_LOG));
    let lines: Vec<_> = lines.collect();
    lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
}
