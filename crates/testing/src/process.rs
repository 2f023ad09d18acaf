//! Processes of the program on a deployment of stand-ins.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use eyre::WrapErr;
use eyre::ensure;
use eyre::eyre;

use crate::fakes::FakePlatform;
use crate::ports::free_ports;

/// The operators' token of the processes.
pub const OPERATOR_TOKEN: &str = "operator";

/// The processes' own settings, with the hash of [`OPERATOR_TOKEN`].
const OWN_SETTINGS: &str = r#"{
  "operator_token": "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"
}"#;

/// A process that is killed when it is dropped.
pub struct NodeProcess {
    child: Child,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Where it takes operators.
    pub operator_address: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // A process that has ended already can't be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    /// Starts `program` as a VM of the deployment. Its settings and its log go into `folder`.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or the program can't be started.
    pub fn start(
        program: &Path,
        deployment: &FakePlatform,
        folder: &Path,
        vm: &str,
    ) -> eyre::Result<Self> {
        let ports: [u16; 4] = free_ports();
        let file = folder.join(format!("{vm}.toml"));
        std::fs::write(&file, deployment.settings_toml(vm, ports))?;
        let own = folder.join("own.json");
        std::fs::write(&own, OWN_SETTINGS)?;
        let log = std::fs::File::create(folder.join(format!("{vm}.log")))?;
        let child = Command::new(program)
            .arg("node")
            .arg("--settings")
            .arg(&file)
            .arg("--own-settings")
            .arg(&own)
            .stdout(Stdio::from(log))
            .spawn()
            .wrap_err_with(|| format!("can't start {}", program.display()))?;
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Ok(Self {
            child,
            caller_address: local(ports[0]),
            operator_address: local(ports[3]),
        })
    }

    /// Stops the process with SIGTERM and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when it ends with an error.
    pub fn stop(mut self) -> eyre::Result<()> {
        let id = i32::try_from(self.child.id()).ok();
        let id = id.and_then(rustix::process::Pid::from_raw);
        let id = id.ok_or_else(|| eyre!("no process id"))?;
        rustix::process::kill_process(id, rustix::process::Signal::TERM)?;
        let status = self.child.wait()?;
        ensure!(status.success(), "a stopped process ended with {status}");
        Ok(())
    }
}

/// Returns the program that was built together with the running one.
///
/// # Errors
///
/// Fails when the running program has no folder.
pub fn node_binary() -> eyre::Result<PathBuf> {
    let folder = std::env::current_exe()?;
    let folder = folder.parent().ok_or_else(|| eyre!("no folder"))?;
    Ok(folder.join("lavenderhollow"))
}
