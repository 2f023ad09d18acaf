//! Calls of entries and their answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::request::Builder;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::Limits;
use serde_json::Value;

use super::HARBOUR_KEY;

/// The limits of a call.
const LIMITS: Limits = Limits {
    time: Duration::from_secs(30),
    body: 32 << 20,
};

/// A call that is being built.
pub(crate) struct Call {
    builder: Builder,
    body: Bytes,
}

impl Call {
    /// Starts any call.
    pub(crate) fn new(method: Method, address: SocketAddr, path: &str) -> Self {
        let builder = Request::builder().method(method);
        Self {
            builder: builder.uri(format!("http://{address}{path}")),
            body: Bytes::new(),
        }
    }

    /// Starts a request to a queue without a key.
    pub(crate) fn open(address: SocketAddr, queue: &str, body: impl Into<Bytes>) -> Self {
        let path = format!("/v1/queues/{queue}/requests");
        Self::new(Method::POST, address, &path).body(body)
    }

    /// Starts a request to a queue with the key of the team `harbour`.
    pub(crate) fn request(address: SocketAddr, queue: &str, body: impl Into<Bytes>) -> Self {
        Self::open(address, queue, body).bearer(HARBOUR_KEY)
    }

    /// Starts a submission of a durable job of the team `harbour`.
    pub(crate) fn job(address: SocketAddr, queue: &str, body: impl Into<Bytes>) -> Self {
        let path = format!("/v1/queues/{queue}/jobs");
        let call = Self::new(Method::POST, address, &path);
        call.bearer(HARBOUR_KEY).body(body)
    }

    /// Sets the body.
    pub(crate) fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    pub(crate) fn header(mut self, name: &str, value: impl AsRef<[u8]>) -> Self {
        self.builder = self.builder.header(name, value.as_ref());
        self
    }

    /// Adds the header with a key or token.
    pub(crate) fn bearer(self, secret: &str) -> Self {
        self.header("authorization", format!("Bearer {secret}"))
    }

    /// Sends the call and reads the answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer.
    pub(crate) async fn send(self, client: &HttpClient) -> eyre::Result<Answer> {
        let request = self.builder.body(self.body)?;
        Ok(Answer(client.call(request, LIMITS).await?))
    }
}

/// The answer of an entry.
#[derive(Debug)]
pub(crate) struct Answer(Response<Bytes>);

impl Answer {
    /// Returns the status code.
    pub(crate) fn status(&self) -> u16 {
        self.0.status().as_u16()
    }

    /// Returns a header's text, or nothing.
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.0.headers().get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// Returns the verdict in the header.
    pub(crate) fn verdict(&self) -> &str {
        self.header("lavenderhollow-verdict")
    }

    /// Returns the body.
    pub(crate) fn body(&self) -> &Bytes {
        self.0.body()
    }

    /// Returns the body as JSON, or null.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(self.0.body()).unwrap_or(Value::Null)
    }

    /// Returns a text field of the body, or nothing.
    pub(crate) fn text(&self, field: &str) -> String {
        let json = self.json();
        json[field].as_str().unwrap_or("").to_owned()
    }

    /// Returns the kind of a refusal.
    pub(crate) fn kind(&self) -> String {
        self.text("kind")
    }

    /// Checks that the answer is a refusal of a kind that says "not run" and why.
    #[track_caller]
    pub(crate) fn assert_refused(&self, kind: &str) {
        assert_eq!(self.verdict(), "not_run", "{self:?}");
        assert_eq!(self.text("verdict"), "not_run", "{self:?}");
        assert_eq!(self.kind(), kind, "{self:?}");
        assert!(!self.text("detail").is_empty(), "{self:?}");
    }

    /// Checks that the answer is the whole answer of a worker to a body.
    #[track_caller]
    pub(crate) fn assert_ran(&self, body: &[u8]) {
        assert_eq!(self.verdict(), "ran", "{self:?}");
        assert_eq!(self.status(), 200, "{self:?}");
        let expected = lavenderhollow_testing::standin::answer_body(body);
        assert!(*self.body() == expected, "not the answer to the request");
    }
}
