//! Start requests and answers as HTTP headers.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RequestId;

use crate::LeaseRef;
use crate::StartTask;
use crate::TaskAnswer;
use crate::TaskStatus;

// Not `x-request-id`, which dropshot sets to an id of its own on every answer.
const REQUEST: HeaderName = HeaderName::from_static("x-task-request");
const ATTEMPT: HeaderName = HeaderName::from_static("x-task-attempt");
const LEASE_HOLDER: HeaderName = HeaderName::from_static("x-lease-holder");
const LEASE_END_MS: HeaderName = HeaderName::from_static("x-lease-end-ms");
const RUN_MS: HeaderName = HeaderName::from_static("x-run-ms");
const SAVED_MS: HeaderName = HeaderName::from_static("x-saved-ms");
const TRACE: HeaderName = HeaderName::from_static("traceparent");
const STATUS: HeaderName = HeaderName::from_static("x-task-status");
const BODY_LENGTH: HeaderName = HeaderName::from_static("x-body-length");
const BODY_SHA256: HeaderName = HeaderName::from_static("x-body-sha256");

/// A header is missing or not readable.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("header {name} is missing or not valid")]
pub struct InvalidHeaders {
    /// The name of the header.
    pub name: HeaderName,
}

/// Writes the headers of a start request.
///
/// # Errors
///
/// Fails when the trace context can't be a header value.
pub fn start_to_headers(task: &StartTask, headers: &mut HeaderMap) -> Result<(), InvalidHeaders> {
    let end = task.lease.end.duration_since(UNIX_EPOCH);
    put(headers, REQUEST, &task.request)?;
    put(headers, ATTEMPT, &task.attempt)?;
    put(headers, LEASE_HOLDER, &task.lease.holder)?;
    put(headers, LEASE_END_MS, &end.unwrap_or_default().as_millis())?;
    put(headers, RUN_MS, &task.run_time.as_millis())?;
    put(headers, SAVED_MS, &task.saved.as_millis())?;
    match &task.trace {
        Some(trace) => put(headers, TRACE, trace),
        None => Ok(()),
    }
}

/// Reads a start request.
///
/// # Errors
///
/// Fails when a header is missing or not valid.
pub fn start_from_headers(headers: &HeaderMap, body: Bytes) -> Result<StartTask, InvalidHeaders> {
    Ok(StartTask {
        request: get::<RequestId>(headers, REQUEST)?,
        attempt: get::<AttemptId>(headers, ATTEMPT)?,
        lease: LeaseRef {
            holder: get::<Incarnation>(headers, LEASE_HOLDER)?,
            end: get_time(headers, LEASE_END_MS)?,
        },
        run_time: Duration::from_millis(get(headers, RUN_MS)?),
        saved: match headers.contains_key(SAVED_MS) {
            true => Duration::from_millis(get(headers, SAVED_MS)?),
            false => Duration::ZERO,
        },
        trace: get(headers, TRACE).ok(),
        body,
    })
}

/// Writes the headers of an answer.
///
/// # Errors
///
/// Does not fail with the values of today's types, all of which are plain ASCII.
pub fn answer_to_headers(
    answer: &TaskAnswer,
    headers: &mut HeaderMap,
) -> Result<(), InvalidHeaders> {
    let digest: String = answer.digest.iter().map(|b| format!("{b:02x}")).collect();
    put(headers, REQUEST, &answer.request)?;
    put(headers, ATTEMPT, &answer.attempt)?;
    put(headers, STATUS, &answer.status)?;
    put(headers, BODY_LENGTH, &answer.length)?;
    put(headers, BODY_SHA256, &digest)
}

/// Reads an answer.
///
/// # Errors
///
/// Fails when a header is missing or not valid.
pub fn answer_from_headers(headers: &HeaderMap, body: Bytes) -> Result<TaskAnswer, InvalidHeaders> {
    Ok(TaskAnswer {
        request: get(headers, REQUEST)?,
        attempt: get(headers, ATTEMPT)?,
        status: get::<TaskStatus>(headers, STATUS)?,
        length: get(headers, BODY_LENGTH)?,
        digest: parse_digest(headers)?,
        body,
    })
}

fn put(
    headers: &mut HeaderMap,
    name: HeaderName,
    value: &dyn Display,
) -> Result<(), InvalidHeaders> {
    match HeaderValue::try_from(value.to_string()) {
        Ok(value) => {
            headers.insert(name, value);
            Ok(())
        }
        Err(_) => Err(InvalidHeaders { name }),
    }
}

fn get<T: FromStr>(headers: &HeaderMap, name: HeaderName) -> Result<T, InvalidHeaders> {
    let text = headers.get(&name).and_then(|v| v.to_str().ok());
    let value = text.and_then(|text| text.parse().ok());
    value.ok_or(InvalidHeaders { name })
}

fn get_time(headers: &HeaderMap, name: HeaderName) -> Result<SystemTime, InvalidHeaders> {
    let since_epoch = Duration::from_millis(get(headers, name.clone())?);
    let time = UNIX_EPOCH.checked_add(since_epoch);
    time.ok_or(InvalidHeaders { name })
}

fn parse_digest(headers: &HeaderMap) -> Result<[u8; 32], InvalidHeaders> {
    let text: String = get(headers, BODY_SHA256)?;
    let mut digest = [0; 32];
    let ascii = text.is_ascii() && text.len() == 2 * digest.len();
    let parsed = ascii.then(|| {
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(digest)
    });
    parsed.flatten().ok_or(InvalidHeaders { name: BODY_SHA256 })
}
