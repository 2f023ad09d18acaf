//! Tests of `lavenderhollow node` as a process.

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

const PROGRAM: &str = env!("CARGO_BIN_EXE_lavenderhollow");

/// More lines than a pipe holds: a line has over 100 bytes and a pipe 65,536.
const REQUESTS: usize = 1_500;

/// Kills the process when a test ends.
struct Killed(Child);

impl Drop for Killed {
    fn drop(&mut self) {
        // A process that has ended already can't be killed.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Creates a folder for a test's files.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

async fn status(client: &HttpClient, to: SocketAddr) -> Option<StatusCode> {
    let request = Request::get(format!("http://{to}{ROUTE_PREFIX}0000000000000001"))
        .header("host", ROUTE_HOST)
        .header("authorization", "Bearer unknown")
        .body(Bytes::new())
        .expect("a valid request");
    let limits = CallLimits {
        timeout: Duration::from_secs(5),
        max_body: 1 << 16,
    };
    client.call(request, limits).await.ok().map(|a| a.status())
}

/// Guards against a process that stands still because nobody reads its logs.
#[tokio::test]
async fn a_blocked_standard_output_does_not_hold_the_process_up() {
    let deployment = FakePlatform::start(1, Duration::from_millis(10)).await;
    let deployment = deployment.expect("free ports");
    let folder = folder("node");
    let file = folder.join("node.toml");
    let ports = free_ports();
    std::fs::write(&file, deployment.settings_toml("vm-1", ports)).expect("a file");
    let child = Command::new(PROGRAM)
        .arg("node")
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program");
    let mut process = Killed(child);
    let to = SocketAddr::from(([127, 0, 0, 1], ports[0]));
    let client = HttpClient::new(Duration::from_secs(1), 4);
    for _ in 0..500 {
        if status(&client, to).await == Some(StatusCode::UNAUTHORIZED) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for i in 0..REQUESTS {
        let answer = status(&client, to).await;
        assert_eq!(answer, Some(StatusCode::UNAUTHORIZED), "request {i}");
    }
    let output = process.0.stdout.take().expect("standard output");
    let lines = BufReader::new(output).lines().take(50);
    for line in lines {
        let line = line.expect("a line");
        let parsed: serde_json::Value = serde_json::from_str(&line).expect("a line of JSON");
        assert!(
            parsed["event"].is_string() && parsed["unix_ms"].is_u64(),
            "{line}"
        );
    }
    std::fs::remove_dir_all(&folder).expect("the folder");
}

/// Guards against a process that starts with settings that it can't use.
#[test]
fn malformed_settings_are_refused_with_the_cause() {
    let folder = folder("bad-node");
    let file = folder.join("node.toml");
    std::fs::write(&file, "node_name = 3").expect("a file");
    let output = Command::new(PROGRAM)
        .args(["node", "--settings"])
        .arg(&file)
        .output()
        .expect("the program");
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("node_name"), "{text}");
    std::fs::remove_dir_all(&folder).expect("the folder");
}

/// Runs the program with an operator's environment; returns its exit code, output and errors.
fn command(folder: &Path, operators: SocketAddr, args: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(PROGRAM)
        .args(args)
        .env("LAVENDERHOLLOW_ENTRIES", operators.to_string())
        .env("LAVENDERHOLLOW_TOKEN_FILE", folder.join("token"))
        .output()
        .expect("the program");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// Guards against operators' commands that the process does not understand, that change something
/// without the token, or that say nothing was changed when that is not known.
#[tokio::test(flavor = "multi_thread")]
async fn operators_turn_actions_off_and_see_it() {
    let deployment = FakePlatform::start(1, Duration::from_millis(10)).await;
    let deployment = deployment.expect("free ports");
    let folder = folder("operators");
    let token = |text: &str| std::fs::write(folder.join("token"), text).expect("a file");
    token(&format!("{OPERATOR_TOKEN}\n"));
    let process = NodeProcess::start(Path::new(PROGRAM), &deployment, &folder, "vm-1");
    let process = process.expect("the program");
    let run = |args: &[&str]| command(&folder, process.operator_address, args);
    let mut listed = run(&["automatic", "list"]);
    for _ in 0..500 {
        if listed.0 == Some(0) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        listed = run(&["automatic", "list"]);
    }
    assert_eq!(
        listed,
        (Some(0), "drains: on\nmoves: on\n".into(), String::new())
    );
    let done = run(&["automatic", "off", "moves"]);
    assert_eq!(done, (Some(0), "moves: off\n".into(), String::new()));
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
    std::fs::remove_dir_all(&folder).expect("the folder");
}

/// Guards against a process that starts although it can't read who its operators are.
#[test]
fn malformed_own_settings_are_refused_with_the_cause() {
    let folder = folder("bad-own");
    let file = folder.join("own.json");
    std::fs::write(&file, r#"{"operator_tokens":"00"}"#).expect("a file");
    let output = Command::new(PROGRAM)
        .args(["node", "--own-settings"])
        .arg(&file)
        .output()
        .expect("the program");
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("operator_tokens"), "{text}");
    std::fs::remove_dir_all(&folder).expect("the folder");
}
