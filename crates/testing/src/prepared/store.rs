//! The store over HTTP, with faults.

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

use super::http::Answer;
use super::http::Call;
use super::http::Handler;
use super::log::Log;
use super::log::Refusal;

/// How often a waiting read looks for a record.
const POLL: Duration = Duration::from_millis(5);

/// How many rows a page of the newest records has.
const PAGE: usize = 500;

/// What goes wrong at the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Calls are refused with 503.
    pub down: bool,
    /// Appends are carried out and not answered.
    pub silent_appends: bool,
}

/// The state of the stand-in.
#[derive(Debug, Default)]
pub(super) struct Store {
    log: Mutex<Log>,
    faults: Mutex<StoreFaults>,
}

impl Store {
    pub(super) fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_faults(&self, faults: StoreFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn faults(&self) -> StoreFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, call: &Call) -> Answer {
        let (Some(topic), Some(part)) = (call.query.get("topic"), call.number("part")) else {
            return Answer::empty(StatusCode::BAD_REQUEST);
        };
        let at = call.number("at");
        let mut log = self.log();
        match log.append(topic, part, at, &call.body) {
            Ok(offset) => Answer::json(StatusCode::OK, &json!({ "offset": offset })),
            Err(Refusal::Moved(end)) => {
                let body = json!({ "end_offset": end });
                Answer::json(StatusCode::PRECONDITION_FAILED, &body)
            }
            Err(_) => Answer::empty(StatusCode::BAD_REQUEST),
        }
    }

    async fn read(&self, call: &Call) -> Answer {
        let (Some(topic), Some(part)) = (call.query.get("topic"), call.number("part")) else {
            return Answer::empty(StatusCode::BAD_REQUEST);
        };
        let from = call.number("from").unwrap_or(0);
        let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let read = self.log().read(topic, part, from);
            match read {
                Ok((_, _, records)) if records.is_empty() && Instant::now() < until => {
                    tokio::time::sleep(POLL).await;
                }
                Ok((end, first, records)) => return page(end, first, &records),
                Err(Refusal::Gone(first)) => {
                    let body = json!({ "first_offset": first });
                    return Answer::json(StatusCode::GONE, &body);
                }
                Err(_) => return Answer::empty(StatusCode::BAD_REQUEST),
            }
        }
    }

    fn newest(&self, call: &Call) -> Answer {
        let (Some(topic), Some(part)) = (call.query.get("topic"), call.number("part")) else {
            return Answer::empty(StatusCode::BAD_REQUEST);
        };
        let after = call.query.get("after").map(String::as_str);
        let (rows, end) = self.log().newest(topic, part, after);
        let more = rows.len() > PAGE;
        let items: Vec<Value> = rows
            .into_iter()
            .take(PAGE)
            .map(|(key, value, offset)| {
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        let body = json!({ "items": items, "has_more": more, "end_offset": end });
        Answer::json(StatusCode::OK, &body)
    }

    fn join(&self, call: &Call) -> Answer {
        let body = call.json();
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let topics = body["topics"].as_array().into_iter().flatten();
        let topics = topics.filter_map(|t| t.as_str().map(str::to_owned));
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(0));
        let generation = self.log().join(
            &text("group"),
            &text("member_id"),
            topics.collect(),
            ttl,
            body["generation"].as_u64().unwrap_or(0),
        );
        Answer::json(StatusCode::OK, &json!({ "generation": generation }))
    }
}

fn page(end: u64, first: u64, records: &[Vec<u8>]) -> Answer {
    let mut body = Vec::new();
    body.extend_from_slice(&end.to_be_bytes());
    body.extend_from_slice(&first.to_be_bytes());
    for record in records {
        let length = u32::try_from(record.len()).unwrap_or(0);
        body.extend_from_slice(&length.to_be_bytes());
        body.extend_from_slice(record);
    }
    Answer(StatusCode::OK, Bytes::from(body))
}

/// Serves a store.
pub(super) struct StoreHandler(pub(super) Arc<Store>);

#[async_trait]
impl Handler for StoreHandler {
    async fn answer(&self, call: Call) -> Option<Answer> {
        let faults = self.0.faults();
        if faults.down {
            return Some(Answer::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let answer = match call.path.as_str() {
            "/api/log-append" => {
                let answer = self.0.append(&call);
                if faults.silent_appends && answer.0 == StatusCode::OK {
                    return None;
                }
                answer
            }
            "/api/log-read" => self.0.read(&call).await,
            "/api/log-newest" => self.0.newest(&call),
            "/api/log-join" => self.0.join(&call),
            "/api/log-leave" => {
                let body = call.json();
                let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
                self.0.log().leave(&text("group"), &text("member_id"));
                Answer::empty(StatusCode::OK)
            }
            "/api/log-owners" => {
                let group = call.query.get("group").cloned().unwrap_or_default();
                let rows = self.0.log().owners(&group);
                let rows: Vec<Value> = rows
                    .into_iter()
                    .map(|(topic, part, member)| json!([topic, part, member, 0]))
                    .collect();
                Answer::json(StatusCode::OK, &json!({ "parts": rows }))
            }
            _ => Answer::empty(StatusCode::NOT_FOUND),
        };
        Some(answer)
    }
}
