use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use assert_matches::assert_matches;
use bytes::Bytes;
use lavenderhollow_platform::CallError;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::HttpVmList;
use lavenderhollow_platform::HttpWorkers;
use lavenderhollow_platform::LeaseRef;
use lavenderhollow_platform::Limits;
use lavenderhollow_platform::StartTask;
use lavenderhollow_platform::TaskAnswer;
use lavenderhollow_platform::VmList;
use lavenderhollow_platform::VmListError;
use lavenderhollow_platform::WorkerError;
use lavenderhollow_platform::WorkerLimits;
use lavenderhollow_platform::WorkerService;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RequestId;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const LIMIT: Duration = Duration::from_millis(500);

/// A server that reads requests without looking at them, and gives one answer to each; an empty
/// answer closes the connection.
struct Server {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Server {
    async fn start(answers: Vec<String>) -> eyre::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let requests = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let _ = serve(connection, &answers, &count).await;
            }
        });
        Ok(Self { address, requests })
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

async fn serve(
    mut connection: TcpStream,
    answers: &[String],
    count: &AtomicUsize,
) -> std::io::Result<()> {
    let mut request = [0; 4096];
    while connection.read(&mut request).await? > 0 {
        let index = count.fetch_add(1, Ordering::SeqCst);
        match answers.get(index).map(String::as_str) {
            None | Some("") => return Ok(()),
            Some(answer) => connection.write_all(answer.as_bytes()).await?,
        }
    }
    Ok(())
}

fn answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} -\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn whole_answer(body: &str) -> String {
    let (id, digest) = (RequestId::random(), "0".repeat(64));
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nx-task-request: {id}\r\nx-task-attempt: {id}\r\n\
        x-task-status: succeeded\r\nx-body-length: {length}\r\nx-body-sha256: {digest}\r\n\
        content-length: {length}\r\n\r\n{body}"
    )
}

fn task() -> StartTask {
    StartTask {
        request: RequestId::random(),
        attempt: AttemptId::random(),
        lease: LeaseRef {
            holder: Incarnation::random(),
            end: SystemTime::now(),
        },
        run_time: Duration::ZERO,
        saved: Duration::ZERO,
        trace: None,
        body: Bytes::from_static(b"input"),
    }
}

fn workers() -> HttpWorkers {
    let limits = WorkerLimits {
        answer: 1_000,
        ..WorkerLimits::default()
    };
    HttpWorkers::new(HttpClient::new(LIMIT / 2, 4), limits)
}

async fn start(server: &Server, task: StartTask) -> Result<TaskAnswer, WorkerError> {
    workers().start(server.address, task, LIMIT).await
}

/// Guards against a doubt where nothing was sent, which would cost a request that could run.
#[tokio::test]
async fn failed_connection_is_not_sent() -> eyre::Result<()> {
    let closed = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
    let result = workers().start(closed, task(), LIMIT).await;
    assert_matches!(result, Err(WorkerError::NotSent(_)));
    Ok(())
}

/// Guards against "not sent" after the request went out, and against sending it again.
#[tokio::test]
async fn closed_connection_is_unknown_and_not_repeated() -> eyre::Result<()> {
    let server = Server::start(vec![String::new()]).await?;
    assert_matches!(start(&server, task()).await, Err(WorkerError::Unknown(_)));
    assert_eq!(server.requests(), 1);

    // The second request goes out on the pooled connection of the first.
    let server = Server::start(vec![whole_answer("first"), String::new()]).await?;
    let workers = workers();
    assert!(workers.start(server.address, task(), LIMIT).await.is_ok());
    let result = workers.start(server.address, task(), LIMIT).await;
    assert_matches!(result, Err(WorkerError::Unknown(_)));
    assert_eq!(server.requests(), 2);
    Ok(())
}

/// Guards against a wrong "not run" from a refusal that answers another request, or that comes
/// from something else than the worker.
#[tokio::test]
async fn refusal_counts_only_for_its_attempt() -> eyre::Result<()> {
    let mine = task();
    let attempt = mine.attempt;
    let refusal = |attempt: &dyn std::fmt::Display| {
        format!(r#"{{"kind":"no_slot","detail":"","attempt":"{attempt}"}}"#)
    };
    let own = refusal(&attempt);
    let other = refusal(&AttemptId::random());
    let cases = [
        (409, own.as_str(), true),
        (429, own.as_str(), true),
        (409, other.as_str(), false),
        (
            409,
            r#"{"kind":"no_slot","detail":"","attempt":null}"#,
            false,
        ),
        (429, "", false),
        (500, own.as_str(), false),
        (503, own.as_str(), false),
    ];
    for (status, body, refused) in cases {
        let server = Server::start(vec![answer(status, body)]).await?;
        match start(&server, mine.clone()).await {
            Err(WorkerError::Refused(refusal)) if refused => {
                assert_eq!(refusal.attempt, Some(attempt));
            }
            Err(WorkerError::Unknown(_)) if !refused => {}
            other => eyre::bail!("{status} {body}: {other:?}"),
        }
    }
    Ok(())
}

/// Guards against a part of an answer that is taken for the whole, and against an answer that
/// fills the memory of an entry.
#[tokio::test]
async fn cut_oversize_and_unlabelled_answers_are_unknown() -> eyre::Result<()> {
    let cut = whole_answer("body").replace("content-length: 4", "content-length: 40");
    let oversize = whole_answer(&"x".repeat(1_001));
    for bytes in [cut, oversize, answer(200, "no headers")] {
        let server = Server::start(vec![bytes.clone(), String::new()]).await?;
        let result = start(&server, task()).await;
        assert_matches!(result, Err(WorkerError::Unknown(_)), "{bytes}");
    }
    let server = Server::start(vec![whole_answer(&"x".repeat(1_000))]).await?;
    assert!(start(&server, task()).await.is_ok());
    Ok(())
}

/// Guards against a caller that waits for ever for a silent worker.
#[tokio::test]
async fn silent_worker_is_unknown_in_time() -> eyre::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let start = Instant::now();
    let result = workers().start(listener.local_addr()?, task(), LIMIT).await;
    assert_matches!(result, Err(WorkerError::Unknown(_)));
    assert!((LIMIT..4 * LIMIT).contains(&start.elapsed()));
    Ok(())
}

/// Guards against taking a broken or oversize list for one without VMs, which would look like the
/// loss of the fleet.
#[tokio::test]
async fn unreadable_vm_list_is_an_error() -> eyre::Result<()> {
    let limits = Limits {
        time: LIMIT,
        body: 100,
    };
    let list =
        |server: &Server| HttpVmList::new(HttpClient::new(LIMIT / 2, 1), server.address, limits);
    let server = Server::start(vec![answer(503, "")]).await?;
    assert_eq!(list(&server).vms().await, Err(VmListError::Status(503)));
    let server = Server::start(vec![answer(200, "{}")]).await?;
    assert_matches!(list(&server).vms().await, Err(VmListError::Invalid(_)));
    let server = Server::start(vec![answer(200, &" ".repeat(101))]).await?;
    let too_large = CallError::TooLarge { limit: 100 };
    let unavailable = VmListError::Unavailable(too_large);
    assert_eq!(list(&server).vms().await, Err(unavailable));
    Ok(())
}
