//! Headers of requests.

use std::time::Duration;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use lavenderhollow_config::Key;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;

use crate::trace::TRACE_HEADER;

/// The header with a caller's idempotency key, a UUID of version 7.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header with an execution ticket.
pub(crate) const TICKET: &str = "execution-ticket";
/// The header with the time that the caller waits, in milliseconds.
pub(crate) const DEADLINE: &str = "deadline-ms";
/// The header that says `urgent` for urgent work.
pub(crate) const PRIORITY: &str = "priority";

const URGENT: &str = "urgent";

/// What the headers of a caller's request say.
#[derive(Debug)]
pub(crate) struct CallerHeaders {
    pub(crate) key: Option<Key>,
    pub(crate) idempotency: Option<String>,
    pub(crate) ticket: Option<String>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) urgent: bool,
    pub(crate) trace: Option<String>,
}

impl CallerHeaders {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// Refuses a header that can't be read.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, Refusal> {
        let deadline = match text(headers, DEADLINE)? {
            Some(value) => Some(millis(&value)?),
            None => None,
        };
        let urgent = match text(headers, PRIORITY)?.as_deref() {
            None | Some("normal") => false,
            Some(URGENT) => true,
            Some(other) => {
                return Err(invalid(format!(
                    "{PRIORITY}: {other:?} is not normal or urgent"
                )));
            }
        };
        Ok(Self {
            key: bearer(headers)?.map(|token| Key::from_text(&token)),
            idempotency: text(headers, IDEMPOTENCY_KEY)?,
            ticket: text(headers, TICKET)?,
            deadline,
            urgent,
            trace: text(headers, TRACE_HEADER)?,
        })
    }
}

/// Returns the token of the `Authorization: Bearer` header.
///
/// # Errors
///
/// Refuses an `Authorization` header of another kind.
pub(crate) fn bearer(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = text(headers, AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    match value.split_once(' ') {
        Some((scheme, token)) if scheme.eq_ignore_ascii_case("bearer") => {
            Ok(Some(token.trim().to_owned()))
        }
        _ => {
            let detail = "authorization: only 'Bearer KEY' is understood";
            Err(Refusal::new(RefusalKind::Unauthorized, detail))
        }
    }
}

fn text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid(format!(
            "{name}: the header is there more than once"
        )));
    }
    let value = value.to_str();
    let value = value.map_err(|_| invalid(format!("{name}: the header is not plain text")))?;
    Ok(Some(value.to_owned()))
}

fn millis(value: &str) -> Result<Duration, Refusal> {
    let millis = value.parse().ok().filter(|millis| *millis > 0);
    let millis = millis.ok_or_else(|| {
        invalid(format!(
            "{DEADLINE}: {value:?} is not a whole number of milliseconds"
        ))
    })?;
    Ok(Duration::from_millis(millis))
}

fn invalid(detail: String) -> Refusal {
    Refusal::new(RefusalKind::Invalid, detail)
}
