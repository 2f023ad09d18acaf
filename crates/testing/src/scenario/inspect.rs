//! Questions to the processes of a world.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;

use http::Method;
use serde_json::Value;

use super::process::Process;
use super::submit;
use super::world::Role;
use super::world::TOKEN;
use super::world::World;
use crate::standin::ControlClient;

impl World {
    /// Returns how often each body was started at the workers.
    ///
    /// # Errors
    ///
    /// Fails when a worker does not answer.
    pub async fn runs(&self) -> eyre::Result<BTreeMap<String, u32>> {
        let mut all = self.lost_runs.clone();
        for name in self.workers() {
            for (body, count) in self.control(&name)?.runs().await?.bodies {
                *all.entry(body).or_default() += count;
            }
        }
        Ok(all)
    }

    /// Returns the workers that run.
    pub fn workers(&self) -> Vec<String> {
        let running = self.processes.keys();
        running
            .filter(|name| self.is_worker(name))
            .cloned()
            .collect()
    }

    /// Returns the service addresses of the running workers of a pool, or of all.
    ///
    /// # Errors
    ///
    /// Fails when a worker has no address.
    pub fn worker_addresses(
        &self,
        wanted: Option<&str>,
    ) -> eyre::Result<BTreeMap<String, SocketAddr>> {
        let mut addresses = BTreeMap::new();
        for name in self.workers() {
            if let Role::Worker { pool, .. } = &self.vm(&name)?.role
                && wanted.is_none_or(|wanted| wanted == pool)
            {
                let address = self.process(&name)?.address("listening")?;
                addresses.insert(name, address);
            }
        }
        Ok(addresses)
    }

    /// Returns a free name for a VM of a zone, such as `a-w3`.
    pub fn next_name(&self, zone: &str, kind: char) -> String {
        let names = (1..).map(|number| format!("{zone}-{kind}{number}"));
        let mut free = names.filter(|name| !self.vms.contains_key(name));
        free.next().unwrap_or_default()
    }

    /// Returns the entries that run.
    pub fn entries(&self) -> Vec<String> {
        let running = self.processes.keys();
        let entry = |name: &&String| self.vms.contains_key(*name) && !self.is_worker(name);
        running.filter(entry).cloned().collect()
    }

    /// Returns the client for the control address of a stand-in.
    ///
    /// # Errors
    ///
    /// Fails when no such stand-in runs.
    pub fn control(&self, name: &str) -> eyre::Result<ControlClient> {
        Ok(ControlClient::new(self.process(name)?.address("control")?))
    }

    /// Returns a running process.
    ///
    /// # Errors
    ///
    /// Fails when no such process runs.
    pub fn process(&self, name: &str) -> eyre::Result<&Process> {
        let process = self.processes.get(name);
        process.ok_or_else(|| eyre::eyre!("no process {name:?} runs"))
    }

    /// Asks the operators' interface of an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer with status 200.
    pub async fn ask(&self, entry: &str, path: &str) -> eyre::Result<Value> {
        let address: SocketAddr = self.process(entry)?.address("operators")?;
        let uri = format!("http://{address}{path}");
        let (status, value) = submit::call(&self.client, Method::GET, &uri, Some(TOKEN)).await?;
        eyre::ensure!(status.is_success(), "{entry} answered {status} to {path}");
        Ok(value)
    }

    /// Runs the `lavenderhollow` command against the entries `at`.
    ///
    /// # Errors
    ///
    /// Fails when the command can't be run or does not end with code 0.
    pub async fn command(&self, args: &[&str], at: &[String]) -> eyre::Result<String> {
        let mut command = Command::new(self.programs.join("lavenderhollow"));
        command.args(args);
        command.arg("--token-file").arg(self.folder().join("token"));
        for entry in at {
            let address = self.process(entry)?.address("operators")?;
            command.arg("--entry").arg(address.to_string());
        }
        let output: Output = tokio::task::spawn_blocking(move || command.output()).await??;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr);
        let status = output.status;
        eyre::ensure!(
            status.success(),
            "lavenderhollow {}: {status}: {text}{errors}",
            args.join(" ")
        );
        Ok(text)
    }

    /// Returns the last log lines of every process that wrote any.
    pub fn log_tails(&self) -> String {
        let mut text = String::new();
        for process in self.processes.values() {
            let tail = process.log_tail();
            if !tail.is_empty() {
                text.push_str(&format!("--- {}\n{tail}\n", process.name()));
            }
        }
        text
    }
}
