//! A fake of the store, served over HTTP, which can inject faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::http::Handler;
use super::http::HttpRequest;
use super::http::HttpResponse;
use super::store_state::LatestRecord;
use super::store_state::StoreError;
use super::store_state::StoreState;

/// How often a long-polling read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The number of records in a page of the latest records.
const PAGE_SIZE: usize = 500;

/// The size of the values in a page of the latest records, in bytes. A page holds one record at least.
const PAGE_BYTES: usize = 1 << 20;

/// The faults that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every call fails with status 503.
    pub down: bool,
    /// Successful appends get no response; the connection is closed.
    pub unacked_appends: bool,
}

/// The state of the store and the faults that it injects.
#[derive(Debug, Default)]
pub(super) struct Store {
    state: Mutex<StoreState>,
    faults: Mutex<StoreFaults>,
}

impl Store {
    pub(super) fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_faults(&self, faults: StoreFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn faults(&self) -> StoreFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, request: &HttpRequest) -> HttpResponse {
        let (Some(topic), Some(part)) = (request.query_text("topic"), request.query_u64("part"))
        else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let expected_end = request.query_u64("at");
        let mut state = self.state();
        match state.append(topic, part, expected_end, &request.body) {
            Ok(offset) => HttpResponse::json(StatusCode::OK, &json!({ "offset": offset })),
            Err(StoreError::OffsetMismatch(end)) => {
                let body = json!({ "end_offset": end });
                HttpResponse::json(StatusCode::PRECONDITION_FAILED, &body)
            }
            Err(_) => HttpResponse::empty(StatusCode::BAD_REQUEST),
        }
    }

    async fn read(&self, request: &HttpRequest) -> HttpResponse {
        let (Some(topic), Some(part)) = (request.query_text("topic"), request.query_u64("part"))
        else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let from = request.query_u64("from").unwrap_or(0);
        let wait = Duration::from_millis(request.query_u64("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            let read = self.state().read(topic, part, from);
            match read {
                Ok((_, _, records)) if records.is_empty() && Instant::now() < deadline => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                Ok((end, first, records)) => return encode_read(end, first, &records),
                Err(StoreError::Compacted(first)) => {
                    let body = json!({ "first_offset": first });
                    return HttpResponse::json(StatusCode::GONE, &body);
                }
                Err(_) => return HttpResponse::empty(StatusCode::BAD_REQUEST),
            }
        }
    }

    fn read_latest(&self, request: &HttpRequest) -> HttpResponse {
        let (Some(topic), Some(part)) = (request.query_text("topic"), request.query_u64("part"))
        else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let after = request.query.get("after").map(Vec::as_slice);
        let (rows, end) = self.state().read_latest(topic, part, after);
        let mut bytes = 0;
        let fits = rows.iter().take(PAGE_SIZE).take_while(|(_, value, _)| {
            bytes += value.len();
            bytes <= PAGE_BYTES
        });
        let count = fits.count().max(1);
        let more = rows.len() > count;
        let items = rows.into_iter().take(count).map(encode_latest);
        let mut body = b"{\"items\":[".to_vec();
        body.extend(items.collect::<Vec<_>>().join(b",".as_slice()));
        body.extend(format!("],\"has_more\":{more},\"end_offset\":{end}}}").bytes());
        HttpResponse(StatusCode::OK, body.into())
    }

    fn join(&self, request: &HttpRequest) -> HttpResponse {
        let body = request.json();
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let topics = body["topics"].as_array().into_iter().flatten();
        let topics = topics.filter_map(|t| t.as_str().map(str::to_owned));
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(0));
        let generation = self.state().join(
            &text("group"),
            &text("member_id"),
            topics.collect(),
            ttl,
            body["generation"].as_u64().unwrap_or(0),
        );
        HttpResponse::json(StatusCode::OK, &json!({ "generation": generation }))
    }
}

/// Encodes a row of the latest records as JSON. A key that isn't UTF-8 is sent as it is.
fn encode_latest((key, value, offset): LatestRecord) -> Vec<u8> {
    let value = STANDARD.encode(value);
    let key = match String::from_utf8(key) {
        Ok(text) => json!(text).to_string().into_bytes(),
        Err(error) => [b"\"", error.as_bytes(), b"\""].concat(),
    };
    let rest = format!(",\"value\":\"{value}\",\"offset\":{offset}}}");
    [b"{\"key\":", key.as_slice(), rest.as_bytes()].concat()
}

/// Encodes the response to a read: the end offset and the first offset in eight bytes each, then
/// the records, each after its length in four bytes, big-endian.
fn encode_read(end: u64, first: u64, records: &[Vec<u8>]) -> HttpResponse {
    let mut body = Vec::new();
    body.extend_from_slice(&end.to_be_bytes());
    body.extend_from_slice(&first.to_be_bytes());
    for record in records {
        let length = u32::try_from(record.len()).unwrap_or(0);
        body.extend_from_slice(&length.to_be_bytes());
        body.extend_from_slice(record);
    }
    HttpResponse(StatusCode::OK, Bytes::from(body))
}

/// Serves the store API.
pub(super) struct StoreHandler(pub(super) Arc<Store>);

#[async_trait]
impl Handler for StoreHandler {
    async fn handle(&self, request: HttpRequest) -> Option<HttpResponse> {
        let faults = self.0.faults();
        if faults.down {
            return Some(HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let response = match request.path.as_str() {
            "/api/log-append" => {
                let response = self.0.append(&request);
                if faults.unacked_appends && response.0 == StatusCode::OK {
                    return None;
                }
                response
            }
            "/api/log-read" => self.0.read(&request).await,
            "/api/log-newest" => self.0.read_latest(&request),
            "/api/log-join" => self.0.join(&request),
            "/api/log-leave" => {
                let body = request.json();
                let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
                self.0.state().leave(&text("group"), &text("member_id"));
                HttpResponse::empty(StatusCode::OK)
            }
            "/api/log-owners" => {
                let group = request.query_text("group").unwrap_or_default();
                let rows = self.0.state().owners(group);
                let rows: Vec<Value> = rows
                    .into_iter()
                    .map(|(topic, part, member)| json!([topic, part, member, 0]))
                    .collect();
                HttpResponse::json(StatusCode::OK, &json!({ "parts": rows }))
            }
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        };
        Some(response)
    }
}
