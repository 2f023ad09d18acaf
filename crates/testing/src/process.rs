//! Node processes of the `lavenderhollow` binary that run on a [`FakePlatform`].

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

/// The operator token that the started processes accept.
pub const OPERATOR_TOKEN: &str = "operator";

/// The content of the `--own-settings` file, with the SHA-256 hash of [`OPERATOR_TOKEN`].
const OWN_SETTINGS: &str = r#"{
  "operator_token": "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"
}"#;

/// A running node process, which is killed when it is dropped.
pub struct NodeProcess {
    child: Child,
    /// The address that the process serves callers on.
    pub caller_address: SocketAddr,
    /// The address that the process serves readiness checks on.
    pub readiness_address: SocketAddr,
    /// The address that the process serves its peers on.
    pub peer_address: SocketAddr,
    /// The address that the process serves operators on.
    pub operator_address: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The call fails when the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    /// Starts `binary` as the node process of `vm`. Its settings files and its log are written to
    /// `dir`.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or the binary can't be started.
    pub fn start(
        binary: &Path,
        platform: &FakePlatform,
        dir: &Path,
        vm: &str,
    ) -> eyre::Result<Self> {
        Self::start_with_limits(binary, platform, dir, vm, "")
    }

    /// Starts `binary` like [`NodeProcess::start`]. `limits` holds the lines of the section `limits`
    /// of the settings file.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or the binary can't be started.
    pub fn start_with_limits(
        binary: &Path,
        platform: &FakePlatform,
        dir: &Path,
        vm: &str,
        limits: &str,
    ) -> eyre::Result<Self> {
        let log = std::fs::File::create(dir.join(format!("{vm}.log")))?;
        Self::start_with_output(binary, platform, dir, vm, limits, Stdio::from(log))
    }

    /// Starts `binary` like [`NodeProcess::start_with_limits`], with its log written to `output`.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or the binary can't be started.
    pub fn start_with_output(
        binary: &Path,
        platform: &FakePlatform,
        dir: &Path,
        vm: &str,
        limits: &str,
        output: Stdio,
    ) -> eyre::Result<Self> {
        let ports: [u16; 4] = free_ports();
        let settings_file = dir.join(format!("{vm}.toml"));
        let settings = platform.settings_toml(vm, ports);
        std::fs::write(&settings_file, format!("{settings}[limits]\n{limits}"))?;
        // Another process may be reading its own file at this time.
        let own_settings_file = dir.join(format!("{vm}.json"));
        std::fs::write(&own_settings_file, OWN_SETTINGS)?;
        let child = Command::new(binary)
            .arg("node")
            .arg("--settings")
            .arg(&settings_file)
            .arg("--own-settings")
            .arg(&own_settings_file)
            .stdout(output)
            .spawn()
            .wrap_err_with(|| format!("can't start {}", binary.display()))?;
        let loopback = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Ok(Self {
            child,
            caller_address: loopback(ports[0]),
            readiness_address: loopback(ports[1]),
            peer_address: loopback(ports[2]),
            operator_address: loopback(ports[3]),
        })
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not exited.
    ///
    /// # Errors
    ///
    /// Fails when the state of the process can't be read.
    pub fn is_running(&mut self) -> eyre::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Stops the process with SIGTERM and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails when the process exits with an error.
    pub fn stop(mut self) -> eyre::Result<()> {
        let id = i32::try_from(self.child.id()).ok();
        let id = id.and_then(rustix::process::Pid::from_raw);
        let id = id.ok_or_else(|| eyre!("the process id is not valid"))?;
        rustix::process::kill_process(id, rustix::process::Signal::TERM)?;
        let status = self.child.wait()?;
        ensure!(
            status.success(),
            "the process exited with {status} after SIGTERM"
        );
        Ok(())
    }
}

/// Returns the path of the `lavenderhollow` binary in the directory of the running binary.
///
/// # Errors
///
/// Fails when the path of the running binary is unknown or has no parent directory.
pub fn node_binary() -> eyre::Result<PathBuf> {
    let dir = std::env::current_exe()?;
    let dir = dir
        .parent()
        .ok_or_else(|| eyre!("the path of the running binary has no parent directory"))?;
    Ok(dir.join("lavenderhollow"))
}
