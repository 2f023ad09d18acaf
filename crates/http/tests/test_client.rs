//! Tests of the errors that a call returns.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use bytes::Bytes;
use http::Request;
use http::Response;
use lavenderhollow_http::CallError;
use lavenderhollow_http::CallLimits;
use lavenderhollow_http::HttpClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_millis(500),
    max_body: 1_024,
};

/// How often a test looks for what it waits for.
const STEP: Duration = Duration::from_millis(1);

/// A server that ignores the content of requests and sends the responses in order, one per request.
/// An empty response closes the connection.
struct Server {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Server {
    async fn start(responses: Vec<String>) -> eyre::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let requests = Arc::new(AtomicUsize::new(0));
        let request_count = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let _ = serve(connection, &responses, &request_count).await;
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
    responses: &[String],
    request_count: &AtomicUsize,
) -> std::io::Result<()> {
    let mut request = [0; 4096];
    while connection.read(&mut request).await? > 0 {
        let index = request_count.fetch_add(1, Ordering::SeqCst);
        match responses.get(index).map(String::as_str) {
            None | Some("") => return Ok(()),
            Some(response) => connection.write_all(response.as_bytes()).await?,
        }
    }
    Ok(())
}

fn response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 -\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn client() -> HttpClient {
    HttpClient::new(LIMITS.timeout / 2, 4)
}

async fn call(client: &HttpClient, address: SocketAddr) -> Result<Response<Bytes>, CallError> {
    let request = Request::post(format!("http://{address}/")).body(Bytes::from_static(b"work"));
    client.call(request.expect("a valid request"), LIMITS).await
}

/// Guards against a request that is reported as possibly processed although no server listened.
#[tokio::test]
async fn failed_connect_is_not_sent() -> eyre::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    drop(listener);
    assert_matches!(
        call(&client(), address).await,
        Err(CallError::NotSent { .. })
    );
    Ok(())
}

/// Guards against a request that is sent twice or reported as not sent after the server closed the
/// connection without a response, on a new connection and on a reused one.
#[tokio::test]
async fn closed_connection_is_disconnected_and_not_retried() -> eyre::Result<()> {
    let server = Server::start(vec![String::new()]).await?;
    assert_matches!(
        call(&client(), server.address).await,
        Err(CallError::Disconnected { .. })
    );
    assert_eq!(server.requests(), 1);

    let server = Server::start(vec![response("first"), String::new()]).await?;
    let client = client();
    let first = call(&client, server.address).await;
    assert_matches!(first, Ok(response) if response.body() == "first");
    assert_matches!(
        call(&client, server.address).await,
        Err(CallError::Disconnected { .. })
    );
    assert_eq!(server.requests(), 2);
    Ok(())
}

/// Guards against accepting a response that is incomplete or too large.
#[tokio::test]
async fn truncated_and_oversize_responses_are_errors() -> eyre::Result<()> {
    let truncated = "HTTP/1.1 200 -\r\ncontent-length: 9\r\n\r\nres".to_owned();
    let server = Server::start(vec![truncated]).await?;
    let result = call(&client(), server.address).await;
    assert_matches!(
        result,
        Err(CallError::Disconnected { .. } | CallError::TimedOut { .. })
    );

    let server = Server::start(vec![response(&"x".repeat(LIMITS.max_body + 1))]).await?;
    let result = call(&client(), server.address).await;
    assert_matches!(result, Err(CallError::TooLarge { limit: 1_024 }));
    let server = Server::start(vec![response(&"x".repeat(LIMITS.max_body))]).await?;
    assert_matches!(call(&client(), server.address).await, Ok(_));
    Ok(())
}

/// Guards against a call that waits beyond its timeout for a server that never responds.
#[tokio::test]
async fn unresponsive_server_times_out() -> eyre::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let started = Instant::now();
    let result = call(&client(), listener.local_addr()?).await;
    assert_matches!(result, Err(CallError::TimedOut { .. }));
    assert!(
        started.elapsed() < LIMITS.timeout * 3,
        "{:?}",
        started.elapsed()
    );
    Ok(())
}

/// A server in threads of its own, which holds its responses back until it is released.
#[derive(Default)]
struct HeldServer {
    requests: AtomicUsize,
    responses: AtomicUsize,
    released: AtomicBool,
}

impl HeldServer {
    fn start() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let server = Arc::new(Self::default());
        let shared = Arc::clone(&server);
        std::thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let server = Arc::clone(&shared);
                std::thread::spawn(move || server.respond(connection));
            }
        });
        Ok((server, address))
    }

    fn respond(&self, mut connection: std::net::TcpStream) -> std::io::Result<()> {
        let mut request = [0; 4096];
        while connection.read(&mut request)? > 0 {
            self.requests.fetch_add(1, Ordering::SeqCst);
            while !self.released.load(Ordering::SeqCst) {
                std::thread::sleep(STEP);
            }
            connection.write_all(response("in time").as_bytes())?;
            self.responses.fetch_add(1, Ordering::SeqCst);
        }
        Ok(())
    }
}

/// Guards against calls that time out although their responses have arrived, because the process
/// got no processor time until after their timeout.
#[tokio::test]
async fn responses_that_arrived_in_time_are_read_by_a_late_process() -> eyre::Result<()> {
    const CALLS: usize = 20;
    let (server, address) = HeldServer::start()?;
    let client = client();
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { call(&client, address).await })
        })
        .collect();
    while server.requests.load(Ordering::SeqCst) < CALLS {
        tokio::time::sleep(STEP).await;
    }
    // The only thread of the runtime does nothing else from here on.
    server.released.store(true, Ordering::SeqCst);
    while server.responses.load(Ordering::SeqCst) < CALLS {
        std::thread::sleep(STEP);
    }
    std::thread::sleep(LIMITS.timeout);
    for call in calls {
        assert_matches!(call.await?, Ok(response) if response.body() == "in time");
    }
    Ok(())
}
