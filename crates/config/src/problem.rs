//! A problem of a document.

use derive_more::Display;
use serde::Serialize;

/// A value that is not allowed, with its path and what is allowed instead.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{path}: {value} is not allowed: {allowed}")]
pub struct Problem {
    /// The path of the value in the document, such as `teams.kyushu.limit`.
    pub path: String,
    /// The value, as JSON; long values are truncated.
    pub value: String,
    /// A description of the allowed values, or the message of the deserializer.
    pub allowed: String,
}

impl Problem {
    /// Creates a problem with `value` written as JSON.
    pub fn new(
        path: impl Into<String>,
        value: &impl Serialize,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            value: serde_json::to_string(value).unwrap_or_else(|_| "(not printable)".to_owned()),
            allowed: allowed.into(),
        }
    }
}
