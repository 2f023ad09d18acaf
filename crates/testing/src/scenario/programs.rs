//! Where the programs are.

use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use eyre::OptionExt;
use eyre::WrapErr;

/// The programs that a world starts.
const PROGRAMS: [&str; 4] = [
    "standin-log",
    "standin-vms",
    "standin-worker",
    "lavenderhollow",
];

/// Returns the folder that holds the programs: that of the running program, or the one above it
/// for a test. Under cargo they are built first, since `cargo run` and `cargo test` build only the
/// programs of one package.
///
/// # Errors
///
/// Fails when the build fails or a program is missing.
pub(super) fn find() -> eyre::Result<PathBuf> {
    let running = std::env::current_exe()?;
    let mut folder = running.parent().ok_or_eyre("no folder")?.to_owned();
    if folder.ends_with("deps") {
        folder.pop();
    }
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(&cargo, folder.ends_with("release"))?;
    }
    for program in PROGRAMS {
        let path = folder.join(program);
        eyre::ensure!(
            path.is_file(),
            "{} is missing: run 'cargo build --workspace --bins'",
            path.display()
        );
    }
    Ok(folder)
}

fn build(cargo: &std::ffi::OsStr, release: bool) -> eyre::Result<()> {
    let mut command = Command::new(cargo);
    command
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .stdin(Stdio::null());
    command.args(["build", "--quiet", "-j", "3", "--workspace", "--bins"]);
    if release {
        command.arg("--release");
    }
    let status = command.status().wrap_err("can't run cargo")?;
    eyre::ensure!(status.success(), "the programs can't be built: {status}");
    Ok(())
}
