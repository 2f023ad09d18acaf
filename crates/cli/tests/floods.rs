//! Tests of a process whose callers hold hundreds of incomplete requests or unread responses. They
//! guard against a process that exceeds the memory or the descriptors of its machine, and against one
//! that no longer answers ordinary callers.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use lavenderhollow_http::CallLimits;
use lavenderhollow_http::HttpClient;
use lavenderhollow_testing::NodeProcess;
use lavenderhollow_testing::fakes::FakePlatform;
use lavenderhollow_testing::fakes::ROUTE_HOST;
use lavenderhollow_testing::fakes::ROUTE_PREFIX;
use lavenderhollow_testing::fakes::TEAM_KEY;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const BINARY: &str = env!("CARGO_BIN_EXE_lavenderhollow");

/// The memory of the machine, in MB: the base of the debug build, 18 MB, and as much for callers.
const MEMORY_MB: u64 = 40;

/// The descriptors of the machine. The process reserves 600 of them.
const MAX_FDS: usize = 2_200;

/// The descriptors of the machine in the tests that fill the table of connections.
const FEW_FDS: usize = 800;

/// The largest body of the fake platform's configuration, in bytes.
const MAX_BODY_BYTES: usize = 65_536;

/// The largest header section, in bytes.
const MAX_HEADER_BYTES: usize = 16_384;

/// The longest time that a test waits for a condition.
const PATIENCE: Duration = Duration::from_secs(30);

/// The time in which the process reads what has arrived. It is shorter than the 3 s for which a body
/// may take.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Lets one test run at a time: they measure memory and fill tables.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// What a connection of a flood sends.
struct Traffic {
    /// The writes, in their order.
    writes: Vec<Vec<u8>>,
    /// The time between two writes, so that the process reads them one by one.
    pause: Duration,
    /// The connections that send it.
    connections: usize,
    /// Whether it goes to the port for readiness checks.
    to_readiness: bool,
}

/// The figures of a process under a flood, which failed checks print.
#[derive(Debug, Default)]
#[expect(dead_code, reason = "the base is only printed")]
struct Figures {
    /// The resident memory before the flood, in kB.
    base_kb: u64,
    /// The highest resident memory, in kB.
    peak_kb: u64,
    /// The most descriptors that were seen open.
    most_fds: usize,
    /// The status of the ordinary request; `None` if there was no answer.
    answer: Option<StatusCode>,
    /// Whether the process runs.
    running: bool,
}

/// Returns a field of `/proc/PID/status` that is given in kB.
fn status_kb(id: u32, field: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(field));
    let value = line.and_then(|l| l.trim_matches([':', '\t', ' ']).split(' ').next());
    value.and_then(|v| v.parse().ok()).unwrap_or_default()
}

fn open_fds(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Sends submissions with new ids, as a caller does after a refusal or a closed connection, until one
/// is accepted. Returns the last status.
async fn ordinary_request(node: &NodeProcess) -> Option<StatusCode> {
    let begun = Instant::now();
    for id in 1u64.. {
        // A new client opens a new connection.
        let client = HttpClient::new(Duration::from_secs(2), 0);
        let body = r#"{"spec":"work","steps":[{"count":1,"cpu":100,"estimated_ms":10}]}"#;
        let request = Request::post(format!(
            "http://{}{ROUTE_PREFIX}{id:016x}",
            node.caller_address
        ));
        let request = request
            .header("host", ROUTE_HOST)
            .header("authorization", format!("Bearer {TEAM_KEY}"))
            .body(Bytes::from(body));
        let limits = CallLimits {
            timeout: Duration::from_secs(5),
            max_body: 1 << 16,
        };
        let response = client.call(request.expect("a valid request"), limits).await;
        let last = response.ok().map(|r| r.status());
        if last == Some(StatusCode::OK) || begun.elapsed() > PATIENCE {
            return last;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    None
}

/// Removes the directory of a test that passed; the logs of a failed one stay.
struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Runs a process with `max_fds` descriptors under a flood, sends an ordinary request while the flood
/// is connected, and checks the bounds.
async fn check(name: &str, max_fds: usize, traffic: Traffic) {
    let _lock = ONE_AT_A_TIME.lock().await;
    let platform = FakePlatform::start(1, Duration::from_millis(10)).await;
    let platform = platform.expect("start the fake platform");
    let dir = std::env::temp_dir().join(format!("flood-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("create the directory");
    let dir = TempDir(dir);
    let limits = format!("memory_mb = {MEMORY_MB}\nmax_fds = {max_fds}\n");
    let node =
        NodeProcess::start_with_limits(Path::new(BINARY), &platform, &dir.0, "vm-1", &limits);
    let mut node = node.expect("start the binary");
    let id = node.id();
    assert_eq!(ordinary_request(&node).await, Some(StatusCode::OK), "start");
    let mut figures = Figures {
        base_kb: status_kb(id, "VmHWM"),
        ..Figures::default()
    };
    let most_fds = Arc::new(AtomicUsize::new(0));
    let sampler = tokio::spawn({
        let most_fds = Arc::clone(&most_fds);
        async move {
            loop {
                most_fds.fetch_max(open_fds(id), Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    });
    let mut connections = JoinSet::new();
    let to = match traffic.to_readiness {
        true => node.readiness_address,
        false => node.caller_address,
    };
    for _ in 0..traffic.connections {
        let (writes, pause) = (traffic.writes.clone(), traffic.pause);
        connections.spawn(async move {
            let mut stream = TcpStream::connect(to).await.ok()?;
            stream.set_nodelay(true).ok()?;
            for write in writes {
                // A process that refuses closes the connection; one that doesn't read stops it.
                let write = tokio::time::timeout(Duration::from_secs(10), stream.write_all(&write));
                if !write.await.is_ok_and(|w| w.is_ok()) {
                    break;
                }
                tokio::time::sleep(pause).await;
            }
            Some(stream)
        });
    }
    let flood = connections.join_all().await;
    // The process reads what it has not read yet.
    tokio::time::sleep(SETTLE_TIME).await;
    figures.answer = ordinary_request(&node).await;
    figures.peak_kb = status_kb(id, "VmHWM");
    figures.running = node.is_running().expect("the state of the process");
    sampler.abort();
    figures.most_fds = most_fds.load(Ordering::Relaxed);
    println!(
        "{name}: {figures:?}, {} connected",
        flood.iter().flatten().count()
    );
    let dir = dir.0.display();
    assert!(figures.running, "the process ended; logs in {dir}");
    assert!(
        figures.peak_kb <= MEMORY_MB * 1_000,
        "more memory than the machine has: {figures:?}"
    );
    assert!(
        figures.most_fds <= max_fds,
        "more descriptors than the machine has: {figures:?}"
    );
    assert_eq!(figures.answer, Some(StatusCode::OK), "{figures:?}");
    drop(flood);
}

/// Returns the head of a submission with a valid key and the given headers.
fn head(headers: &str) -> String {
    format!(
        "POST {ROUTE_PREFIX}00000000000f100d HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n\
         Authorization: Bearer {TEAM_KEY}\r\n{headers}\r\n"
    )
}

/// Returns the head of a submission with the largest body, in one write.
fn sized_head() -> Vec<u8> {
    head(&format!("Content-Length: {MAX_BODY_BYTES}\r\n")).into()
}

fn chunked_head() -> Vec<u8> {
    head("Transfer-Encoding: chunked\r\n").into()
}

/// Returns a chunk of `size` bytes.
fn chunk(size: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'x', size));
    chunk.extend(b"\r\n");
    chunk
}

fn traffic(connections: usize, writes: Vec<Vec<u8>>) -> Traffic {
    Traffic {
        writes,
        pause: Duration::ZERO,
        connections,
        to_readiness: false,
    }
}

/// Guards against bodies of legal size that together exceed the memory: each is sent whole but for
/// its last byte.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_sent_whole_stay_within_the_memory() {
    let mut whole = sized_head();
    whole.extend(std::iter::repeat_n(b'x', MAX_BODY_BYTES - 1));
    check("whole", MAX_FDS, traffic(600, vec![whole])).await;
}

/// Guards against bodies of legal size that together exceed the memory: each arrives in pieces of
/// 1,024 bytes and lacks its last byte.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_sent_in_pieces_stay_within_the_memory() {
    let mut writes = vec![sized_head()];
    writes.extend(vec![vec![b'x'; 1_024]; MAX_BODY_BYTES / 1_024 - 1]);
    writes.push(vec![b'x'; 1_023]);
    check("pieces", MAX_FDS, traffic(600, writes)).await;
}

/// Guards against chunked bodies that together exceed the memory: large chunks without the last one.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_stay_within_the_memory() {
    let mut writes = vec![chunked_head()];
    writes.extend(vec![chunk(8_192); MAX_BODY_BYTES / 8_192 - 1]);
    writes.push(chunk(8_191));
    check("large-chunks", MAX_FDS, traffic(600, writes)).await;
}

/// Guards against chunks that take many times their size: one-byte chunks that arrive one by one,
/// without the last one.
#[tokio::test(flavor = "multi_thread")]
async fn one_byte_chunks_stay_within_the_memory() {
    let mut writes = vec![chunked_head()];
    writes.extend(vec![chunk(1); 40]);
    let traffic = Traffic {
        // Each chunk is read by itself, so that its frame holds a read buffer of its own.
        pause: Duration::from_millis(20),
        ..traffic(400, writes)
    };
    check("one-byte-chunks", MAX_FDS, traffic).await;
}

/// Guards against header sections that together exceed the memory: each lacks its end.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_headers_stay_within_the_memory() {
    let mut partial = head("").into_bytes();
    partial.truncate(partial.len() - 2);
    partial.extend(b"X-Filler: ");
    let filler = MAX_HEADER_BYTES - 1 - partial.len();
    partial.extend(std::iter::repeat_n(b'x', filler));
    check("headers", MAX_FDS, traffic(1_600, vec![partial])).await;
}

/// Guards against callers that fill the table of connections with responses that they don't read.
#[tokio::test(flavor = "multi_thread")]
async fn unread_responses_do_not_refuse_other_callers() {
    let get = format!("GET {ROUTE_PREFIX}00000000000f100d HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n\r\n");
    let writes = vec![get.repeat(500).into_bytes(); 100];
    check("unread", FEW_FDS, traffic(400, writes)).await;
}

/// Guards against connections to the port for readiness checks that use up the descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_readiness_port_stay_within_the_descriptors() {
    let writes = vec![b"GET /api/ready HTTP/1.1\r\n".to_vec()];
    let traffic = Traffic {
        to_readiness: true,
        ..traffic(1_200, writes)
    };
    check("readiness", FEW_FDS, traffic).await;
}
