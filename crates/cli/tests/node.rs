//! Tests that run `lavenderhollow node` and operator commands as processes.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use lavenderhollow_http::CallLimits;
use lavenderhollow_http::HttpClient;
use lavenderhollow_testing::NodeProcess;
use lavenderhollow_testing::OPERATOR_TOKEN;
use lavenderhollow_testing::fakes::FakePlatform;
use lavenderhollow_testing::fakes::ROUTE_HOST;
use lavenderhollow_testing::fakes::ROUTE_PREFIX;
use lavenderhollow_testing::free_ports;

const BINARY: &str = env!("CARGO_BIN_EXE_lavenderhollow");

/// The number of requests, each of which logs one line. The lines have over 100 bytes each, so that
/// together they exceed the 65,536 bytes that a pipe buffers.
const REQUEST_COUNT: usize = 1_500;

/// Kills the process when it is dropped, also when the test panics.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // The call fails when the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Creates a directory for the files of one test.
fn create_temp_dir(name: &str) -> PathBuf {
    let temp_dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temp_dir).expect("create the directory");
    temp_dir
}

async fn request_status(client: &HttpClient, address: SocketAddr) -> Option<StatusCode> {
    let request = Request::get(format!("http://{address}{ROUTE_PREFIX}0000000000000001"))
        .header("host", ROUTE_HOST)
        .header("authorization", "Bearer unknown")
        .body(Bytes::new())
        .expect("a valid request");
    let limits = CallLimits {
        timeout: Duration::from_secs(5),
        max_body: 1 << 16,
    };
    client.call(request, limits).await.ok().map(|r| r.status())
}

/// Guards against a process that blocks because nothing reads its standard output.
#[tokio::test]
async fn blocked_stdout_does_not_block_the_process() {
    let platform = FakePlatform::start(1, Duration::from_millis(10)).await;
    let platform = platform.expect("start the fake platform");
    let temp_dir = create_temp_dir("node");
    let settings_file = temp_dir.join("node.toml");
    let ports = free_ports();
    std::fs::write(&settings_file, platform.settings_toml("vm-1", ports)).expect("write the file");
    let child = Command::new(BINARY)
        .arg("node")
        .arg("--settings")
        .arg(&settings_file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("start the binary");
    let mut process = KillOnDrop(child);
    let address = SocketAddr::from(([127, 0, 0, 1], ports[0]));
    let client = HttpClient::new(Duration::from_secs(1), 4);
    for _ in 0..500 {
        if request_status(&client, address).await == Some(StatusCode::UNAUTHORIZED) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for i in 0..REQUEST_COUNT {
        let status = request_status(&client, address).await;
        assert_eq!(status, Some(StatusCode::UNAUTHORIZED), "request {i}");
    }
    let output = process.0.stdout.take().expect("standard output is piped");
    let lines = BufReader::new(output).lines().take(50);
    for line in lines {
        let line = line.expect("read a line");
        let parsed: serde_json::Value =
            serde_json::from_str(&line).expect("parse the line as JSON");
        assert!(
            parsed["event"].is_string() && parsed["unix_ms"].is_u64(),
            "{line}"
        );
    }
    std::fs::remove_dir_all(&temp_dir).expect("remove the directory");
}

/// Guards against a process that starts with invalid settings.
#[test]
fn malformed_settings_are_rejected_with_the_reason() {
    let temp_dir = create_temp_dir("bad-node");
    let settings_file = temp_dir.join("node.toml");
    std::fs::write(&settings_file, "node_name = 3").expect("write the file");
    let output = Command::new(BINARY)
        .args(["node", "--settings"])
        .arg(&settings_file)
        .output()
        .expect("start the binary");
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("node_name"), "{text}");
    std::fs::remove_dir_all(&temp_dir).expect("remove the directory");
}

/// Runs an operator command and returns its exit code, standard output and standard error.
fn run_command(
    temp_dir: &Path,
    operator_address: SocketAddr,
    args: &[&str],
) -> (Option<i32>, String, String) {
    let output = Command::new(BINARY)
        .args(args)
        .env("LAVENDERHOLLOW_ENTRIES", operator_address.to_string())
        .env("LAVENDERHOLLOW_TOKEN_FILE", temp_dir.join("token"))
        .output()
        .expect("start the binary");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// Guards against operator commands that the process does not understand, that change something
/// without the token, or whose exit code says that nothing was changed when that is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn operators_switch_actions_off() {
    let platform = FakePlatform::start(1, Duration::from_millis(10)).await;
    let platform = platform.expect("start the fake platform");
    let temp_dir = create_temp_dir("operators");
    let token = |text: &str| std::fs::write(temp_dir.join("token"), text).expect("write the file");
    token(&format!("{OPERATOR_TOKEN}\n"));
    let process = NodeProcess::start(Path::new(BINARY), &platform, &temp_dir, "vm-1");
    let process = process.expect("start the binary");
    let run = |args: &[&str]| run_command(&temp_dir, process.operator_address, args);
    let mut switches = run(&["automatic", "list"]);
    for _ in 0..500 {
        if switches.0 == Some(0) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        switches = run(&["automatic", "list"]);
    }
    assert_eq!(
        switches,
        (Some(0), "drains: on\nmoves: on\n".into(), String::new())
    );
    let switched_off = run(&["automatic", "off", "moves"]);
    assert_eq!(
        switched_off,
        (Some(0), "moves: off\n".into(), String::new())
    );
    assert_eq!(run(&["automatic", "list"]).1, "drains: on\nmoves: off\n");
    let (code, text, _) = run(&["status"]);
    assert_eq!(code, Some(0));
    assert!(text.contains("entry vm-1: configuration version"), "{text}");
    assert!(text.contains("actions that are off: moves"), "{text}");

    token("guessed");
    let (code, _, error) = run(&["automatic", "on"]);
    assert_eq!(code, Some(3), "{error}");
    assert!(error.contains("token is missing or wrong"), "{error}");
    token(OPERATOR_TOKEN);
    assert_eq!(run(&["automatic", "list"]).1, "drains: on\nmoves: off\n");
    let (code, _, error) = run(&["automatic", "off", "everything"]);
    assert_eq!(code, Some(2), "{error}");
    std::fs::remove_dir_all(&temp_dir).expect("remove the directory");
}

/// Guards against a process that ignores malformed own settings and starts without the operator
/// token.
#[test]
fn malformed_own_settings_are_rejected_with_the_reason() {
    let temp_dir = create_temp_dir("bad-own");
    let settings_file = temp_dir.join("own.json");
    std::fs::write(&settings_file, r#"{"operator_tokens":"00"}"#).expect("write the file");
    let output = Command::new(BINARY)
        .args(["node", "--own-settings"])
        .arg(&settings_file)
        .output()
        .expect("start the binary");
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("operator_tokens"), "{text}");
    std::fs::remove_dir_all(&temp_dir).expect("remove the directory");
}
