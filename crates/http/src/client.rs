//! The HTTP client and the errors of its calls.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

/// The reason why a call has no complete response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established, so that no byte of the request reached the server.
    #[display("request not sent: {detail}")]
    NotSent {
        /// The error of the connection and its causes.
        detail: String,
    },
    /// The response did not arrive in time; the server may have processed the request.
    #[display("no response within {} ms", limit.as_millis())]
    TimedOut {
        /// The timeout of the call.
        limit: Duration,
    },
    /// The connection was lost; the server may have processed the request.
    #[display("connection lost: {detail}")]
    Disconnected {
        /// The error of the connection and its causes.
        detail: String,
    },
    /// The response body is larger than allowed; the server may have processed the request.
    #[display("response body is larger than {limit} bytes")]
    TooLarge {
        /// The largest accepted body, in bytes.
        limit: usize,
    },
}

/// The limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// The time from the start of the call to the end of the response.
    pub timeout: Duration,
    /// The largest accepted response body, in bytes.
    pub max_body: usize,
}

/// An HTTP/1.1 client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// How long an idle connection is kept. Servers usually close idle connections after 60 s or
    /// more. Closing first avoids sending a request on a connection that the server is closing.
    pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

    /// Creates a client that keeps up to `idle_connections` idle connections to each server.
    ///
    /// The timeout of a call should exceed `connect_timeout`. A call whose timeout expires during
    /// the connect is reported as [`CallError::TimedOut`] although its request was not sent.
    pub fn new(connect_timeout: Duration, idle_connections: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Self::IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_connections)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails when the server can't be reached or sends no complete response within the limits.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        limits: CallLimits,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = self.exchange(request.map(Full::new), limits.max_body);
        match tokio::time::timeout(limits.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::TimedOut {
                limit: limits.timeout,
            }),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Response<Bytes>, CallError> {
        // The pool retries a request only when the first connection accepted no byte of it.
        let response = self.client.request(request).await.map_err(|error| {
            let detail = error_chain(&error);
            match error.is_connect() {
                true => CallError::NotSent { detail },
                false => CallError::Disconnected { detail },
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, limit)
            .collect()
            .await
            .map_err(|error| match error.is::<LengthLimitError>() {
                true => CallError::TooLarge { limit },
                false => CallError::Disconnected {
                    detail: error_chain(&*error),
                },
            })?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

/// Formats an error with its sources, separated by colons.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
