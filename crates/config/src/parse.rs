//! Parses JSON documents and reports all their problems at once.
//!
//! serde stops at the first error. The parser therefore removes each value with an error from the
//! document and deserializes the rest again.

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

use crate::Config;
use crate::Problem;
use crate::validate;

/// The largest number of problems that are reported for one document.
const MAX_PROBLEMS: usize = 50;

/// A document that can't be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ParseError {
    /// The text is not JSON.
    #[display("the text is not JSON: {message}")]
    Syntax {
        /// The error message of the JSON parser, with line and column.
        message: String,
    },
    /// The document has values that are not allowed.
    #[display("the document has {} problem(s)", problems.len())]
    Problems {
        /// The problems, in the order in which they were found.
        problems: Vec<Problem>,
    },
}

impl ParseError {
    /// Returns the problems; the list is empty for a syntax error.
    pub fn problems(&self) -> &[Problem] {
        match self {
            Self::Syntax { .. } => &[],
            Self::Problems { problems } => problems,
        }
    }
}

/// Parses a document and reports every malformed value, not only the first.
///
/// # Errors
///
/// Fails when the text is not JSON, or has unknown, missing or malformed fields.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ParseError> {
    let mut value: Value = serde_json::from_str(text).map_err(|e| ParseError::Syntax {
        message: e.to_string(),
    })?;
    let mut problems = Vec::new();
    let mut removed = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(document) if problems.is_empty() => return Ok(document),
            Ok(_) => break,
            Err(error) => error,
        };
        let segments = path_segments(error.path(), &error.inner().to_string());
        if !is_caused_by_removal(&removed, &segments, &error.inner().to_string()) {
            problems.push(problem_at(&value, &segments, &error.inner().to_string()));
        }
        if !remove_at(&mut value, &segments) {
            break;
        }
        removed.push(segments);
    }
    Err(ParseError::Problems { problems })
}

/// Parses and validates a configuration.
///
/// # Errors
///
/// Fails like [`parse`], or when the configuration breaks a rule of [`validate()`].
pub fn parse_config(text: &str) -> Result<Config, ParseError> {
    let config = parse(text)?;
    let problems = validate(&config);
    if problems.is_empty() {
        Ok(config)
    } else {
        Err(ParseError::Problems { problems })
    }
}

/// Formats a document for version control: maps sorted by key, indented, with a final newline.
///
/// # Panics
///
/// Panics when the document has a map whose keys are not strings. The documents of this crate have
/// no such map.
pub fn to_text(document: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(document).expect("documents have text keys");
    text.push('\n');
    text
}

fn path_segments(path: &Path, message: &str) -> Vec<String> {
    let mut segments: Vec<String> = path
        .iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(index.to_string()),
            Segment::Map { key } => Some(key.clone()),
            Segment::Enum { variant } => Some(variant.clone()),
            Segment::Unknown => None,
        })
        .collect();
    if let Some(field) = quoted_field(message, "unknown field `")
        && segments.last() != Some(&field)
    {
        segments.push(field);
    }
    segments
}

fn quoted_field(message: &str, prefix: &str) -> Option<String> {
    let rest = message.strip_prefix(prefix)?;
    rest.split('`').next().map(str::to_owned)
}

/// Returns whether an error reports a required field as missing only because it was removed for an
/// earlier problem.
fn is_caused_by_removal(removed: &[Vec<String>], segments: &[String], message: &str) -> bool {
    quoted_field(message, "missing field `").is_some_and(|field| {
        removed
            .iter()
            .any(|earlier| earlier.split_last() == Some((&field, segments)))
    })
}

fn problem_at(value: &Value, segments: &[String], message: &str) -> Problem {
    let found = segments
        .iter()
        .try_fold(value, |node, segment| child_at(node, segment));
    Problem {
        path: if segments.is_empty() {
            "(document)".to_owned()
        } else {
            segments.join(".")
        },
        value: found.map_or_else(|| "null".to_owned(), truncate_value),
        allowed: message.to_owned(),
    }
}

fn truncate_value(value: &Value) -> String {
    const MAX_VALUE_CHARS: usize = 60;
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}…")
}

fn child_at<'a>(node: &'a Value, segment: &str) -> Option<&'a Value> {
    match node {
        Value::Array(items) => items.get(segment.parse::<usize>().ok()?),
        other => other.get(segment),
    }
}

fn remove_at(value: &mut Value, segments: &[String]) -> bool {
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let mut node = value;
    for segment in parents {
        let next = match node {
            Value::Array(items) => segment.parse::<usize>().ok().and_then(|i| items.get_mut(i)),
            other => other.get_mut(segment),
        };
        let Some(next) = next else {
            return false;
        };
        node = next;
    }
    match node {
        Value::Object(fields) => fields.remove(last).is_some(),
        Value::Array(items) => last
            .parse::<usize>()
            .ok()
            .filter(|&i| i < items.len())
            .map(|i| items.remove(i))
            .is_some(),
        _ => false,
    }
}
