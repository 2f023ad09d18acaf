use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Command;
use std::process::Stdio;

use eyre::OptionExt;

/// Guards against stand-ins that outlive the test that started them, or that do not say where they
/// listen.
#[test]
fn binaries_print_their_addresses_and_end_with_standard_input() -> eyre::Result<()> {
    for path in [
        env!("CARGO_BIN_EXE_standin-log"),
        env!("CARGO_BIN_EXE_standin-vms"),
        env!("CARGO_BIN_EXE_standin-worker"),
    ] {
        let mut child = Command::new(path)
            .arg("--until-eof")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or_eyre("no standard output")?;
        let mut lines = BufReader::new(output).lines();
        for word in ["listening", "control"] {
            let line = lines.next().ok_or_eyre("no line")??;
            let address = line.strip_prefix(word).ok_or_eyre("no address")?;
            let address: SocketAddr = address.trim().parse()?;
            TcpStream::connect(address)?;
        }
        drop(child.stdin.take());
        assert!(child.wait()?.success(), "{path}");
    }
    Ok(())
}

/// Guards against a mistyped option or setting that silently leaves a fault off.
#[test]
fn binaries_refuse_unknown_settings() -> eyre::Result<()> {
    for arguments in [
        ["--settings", r#"{"pause": true}"#],
        ["--listens", "127.0.0.1:0"],
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_standin-worker"))
            .args(arguments)
            .stdin(Stdio::null())
            .output()?;
        assert!(!output.status.success(), "{arguments:?}");
    }
    Ok(())
}
