//! The HTTP server that the fakes are served with.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A request whose body has been read completely.
#[derive(Debug)]
pub(super) struct HttpRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: BTreeMap<String, Vec<u8>>,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
}

impl HttpRequest {
    /// Returns a query parameter as text, or `None` when it is missing or not UTF-8.
    pub(super) fn query_text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.query.get(name)?).ok()
    }

    /// Returns a query parameter as a number, or `None` when it is missing or malformed.
    pub(super) fn query_u64(&self, name: &str) -> Option<u64> {
        self.query_text(name)?.parse().ok()
    }

    /// Returns the body as JSON, or null when it is not JSON.
    pub(super) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// The status and the body of a response.
#[derive(Debug)]
pub(super) struct HttpResponse(pub(super) StatusCode, pub(super) Bytes);

impl HttpResponse {
    pub(super) fn json(status: StatusCode, value: &Value) -> Self {
        Self(status, value.to_string().into())
    }

    pub(super) fn empty(status: StatusCode) -> Self {
        Self(status, Bytes::new())
    }
}

/// Handles the requests to a fake. `None` closes the connection without a response.
#[async_trait]
pub(super) trait Handler: Send + Sync + 'static {
    async fn handle(&self, request: HttpRequest) -> Option<HttpResponse>;
}

/// A running server, which stops when it is dropped.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `handler` on a free port of the loopback interface.
pub(super) async fn serve(handler: Arc<dyn Handler>) -> std::io::Result<Server> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let handler = Arc::clone(&handler);
            connections.spawn(async move {
                let service = service_fn(move |request| respond(Arc::clone(&handler), request));
                // An error of one connection affects only the client that opened it.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(Server { address, task })
}

/// The error that makes hyper close a connection without a response.
#[derive(Debug)]
struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for ConnectionClosed {}

async fn respond(
    handler: Arc<dyn Handler>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ConnectionClosed> {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let request = HttpRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parse_query(parts.uri.query().unwrap_or_default()),
        headers: parts.headers,
        body,
    };
    let HttpResponse(status, body) = handler.handle(request).await.ok_or(ConnectionClosed)?;
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    Ok(response)
}

fn parse_query(text: &str) -> BTreeMap<String, Vec<u8>> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(key, value)| (key.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let escaped = (byte == b'%').then(|| {
            let digits = [rest.next()?, rest.next()?];
            u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()
        });
        bytes.push(escaped.flatten().unwrap_or(byte));
    }
    bytes
}
