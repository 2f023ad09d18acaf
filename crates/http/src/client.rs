//! An HTTP client with timeouts and bounded bodies.

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

/// Why a call has no whole answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so that no byte of the request was given to the server.
    #[display("not sent: {detail}")]
    NotSent {
        /// What happened.
        detail: String,
    },
    /// The answer did not arrive in time; the server may have acted on the request.
    #[display("no answer within {} ms", limit.as_millis())]
    TimedOut {
        /// The time that was allowed.
        limit: Duration,
    },
    /// The connection broke; the server may have acted on the request.
    #[display("connection broken: {detail}")]
    Disconnected {
        /// What happened.
        detail: String,
    },
    /// The answer is larger than allowed; the server may have acted on the request.
    #[display("answer is larger than {limit} bytes")]
    TooLarge {
        /// The size that was allowed, in bytes.
        limit: usize,
    },
}

/// Limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// The time from the start of the call to the end of the answer.
    pub timeout: Duration,
    /// The largest accepted body of an answer, in bytes.
    pub max_body: usize,
}

/// A client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// How long an unused connection is kept. Servers commonly close after 60 s or more; closing
    /// first avoids sending a request on a connection that the server is closing.
    pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

    /// Creates a client that keeps up to `idle_connections` unused connections for each server.
    ///
    /// A call's time limit should exceed `connect_timeout`: a call that ends while it connects is
    /// reported as timed out, which says less than "not sent".
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

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the server can't be reached or gives no whole answer within the limits.
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
        // The pool sends a request again only when the earlier connection took none of it.
        let response = self.client.request(request).await.map_err(|error| {
            let detail = chain(&error);
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
                    detail: chain(&*error),
                },
            })?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
