//! The log service over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use lavenderhollow_platform::CallError;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::Limits;
use lavenderhollow_platform::json_request;
use lavenderhollow_types::StreamName;
use serde_json::value::RawValue;

use crate::AppendError;
use crate::Appended;
use crate::LogService;
use crate::Page;
use crate::ReadError;
use crate::ReadFrom;
use crate::RecordBatch;
use crate::RefusedAppend;

/// Settings of the log client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLogSettings {
    /// The address of the log service.
    pub address: SocketAddr,
    /// The time for a connection.
    pub connect: Duration,
    /// The time for an append, and for a read in addition to its wait.
    pub answer: Duration,
    /// The largest accepted page, in bytes.
    pub page: usize,
    /// The largest batch that is sent, in bytes. A server may close the connection in the middle
    /// of a larger one, which would leave the outcome unknown.
    pub batch: usize,
}

impl HttpLogSettings {
    /// Creates settings with default limits.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connect: Duration::from_secs(1),
            answer: Duration::from_secs(5),
            page: 16 << 20,
            batch: 8 << 20,
        }
    }
}

/// The largest accepted answer of an append, in bytes.
const APPENDED_BODY: usize = 4 << 10;

/// Unused connections that are kept: one for appends and one for each followed stream.
const IDLE_CONNECTIONS: usize = 4;

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    settings: HttpLogSettings,
}

impl HttpLog {
    /// Creates a client.
    pub fn new(settings: HttpLogSettings) -> Self {
        Self {
            client: HttpClient::new(settings.connect, IDLE_CONNECTIONS),
            settings,
        }
    }

    fn records_path(stream: &StreamName) -> String {
        // The name's only character with a meaning in a path is the slash.
        let name = stream.as_str().replace('/', "%2F");
        format!("/streams/{name}/records")
    }
}

#[async_trait]
impl LogService for HttpLog {
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<Box<RawValue>>,
    ) -> Result<Appended, AppendError> {
        let expected = records.len() as u64;
        let path = Self::records_path(stream);
        let batch = RecordBatch { records };
        let request = json_request(Method::POST, self.settings.address, &path, Some(&batch));
        let request = request.map_err(append_error)?;
        let bytes = request.body().len();
        if bytes > self.settings.batch {
            let invalid = RefusedAppend::Invalid(format!("batch has {bytes} bytes"));
            return Err(AppendError::Refused(invalid));
        }
        let limits = Limits {
            time: self.settings.answer,
            body: APPENDED_BODY,
        };
        let response = self.client.call(request, limits);
        appended(&response.await.map_err(append_error)?, expected)
    }

    async fn read(&self, stream: &StreamName, from: ReadFrom) -> Result<Page, ReadError> {
        let path = format!(
            "{}?from={}&max={}&wait_ms={}",
            Self::records_path(stream),
            from.offset,
            from.max,
            from.wait.as_millis()
        );
        let limits = Limits {
            time: self.settings.answer + from.wait,
            body: self.settings.page,
        };
        let unavailable = |e: CallError| match e {
            CallError::TooLarge { .. } => ReadError::Invalid(e.to_string()),
            e => ReadError::Unavailable(e.to_string()),
        };
        let request = json_request::<()>(Method::GET, self.settings.address, &path, None);
        let response = self
            .client
            .call(request.map_err(unavailable)?, limits)
            .await;
        page(&response.map_err(unavailable)?, from)
    }
}

fn append_error(error: CallError) -> AppendError {
    match error {
        CallError::NotSent { detail } => AppendError::Refused(RefusedAppend::NotSent(detail)),
        other => AppendError::Unknown(other.to_string()),
    }
}

fn appended(response: &Response<Bytes>, expected: u64) -> Result<Appended, AppendError> {
    let detail = || String::from_utf8_lossy(response.body()).into_owned();
    let refused = match response.status() {
        StatusCode::OK => {
            return match serde_json::from_slice::<Appended>(response.body()) {
                Ok(appended) if appended.count == expected => Ok(appended),
                Ok(other) => Err(AppendError::Unknown(format!(
                    "{} of {expected} records acknowledged",
                    other.count
                ))),
                Err(error) => Err(AppendError::Unknown(error.to_string())),
            };
        }
        StatusCode::SERVICE_UNAVAILABLE => RefusedAppend::Unavailable,
        StatusCode::TOO_MANY_REQUESTS => RefusedAppend::Busy,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => RefusedAppend::Invalid(detail()),
        status => return Err(AppendError::Unknown(format!("status {status}"))),
    };
    Err(AppendError::Refused(refused))
}

fn page(response: &Response<Bytes>, from: ReadFrom) -> Result<Page, ReadError> {
    let invalid = |e: serde_json::Error| ReadError::Invalid(e.to_string());
    match response.status() {
        StatusCode::OK => {
            let page: Page = serde_json::from_slice(response.body()).map_err(invalid)?;
            check_page(page, from)
        }
        StatusCode::GONE => Err(ReadError::Gone(
            serde_json::from_slice(response.body()).map_err(invalid)?,
        )),
        status => Err(ReadError::Unavailable(format!("status {status}"))),
    }
}

/// Refuses a page that has a gap, which a follower would fold as if nothing were missing, or one
/// that lacks the wanted record, which a follower would read again at once and for ever.
fn check_page(page: Page, from: ReadFrom) -> Result<Page, ReadError> {
    let mut expected = from.offset;
    for record in &page.records {
        if record.offset != expected || record.offset >= page.head {
            let detail = format!("record {} where {expected} was due", record.offset);
            return Err(ReadError::Invalid(detail));
        }
        expected = expected.next();
    }
    if page.records.is_empty() && from.max > 0 && from.offset < page.head {
        let detail = format!("no record {} before head {}", from.offset, page.head);
        return Err(ReadError::Invalid(detail));
    }
    Ok(page)
}
