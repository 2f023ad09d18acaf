//! Parsing of JSON documents with every problem reported at once.

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

/// The most problems that are looked for in one document.
const MAX_PROBLEMS: usize = 50;

/// A document that can't be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ParseError {
    /// The text is not JSON.
    #[display("the text is not JSON: {message}")]
    Syntax {
        /// What the JSON parser says, with line and column.
        message: String,
    },
    /// The document has values that are not allowed.
    #[display("the document has {} problem(s)", problems.len())]
    Problems {
        /// The problems, in the order of the document.
        problems: Vec<Problem>,
    },
}

impl ParseError {
    /// Returns the problems, or none for a syntax error.
    pub fn problems(&self) -> &[Problem] {
        match self {
            Self::Syntax { .. } => &[],
            Self::Problems { problems } => problems,
        }
    }
}

/// Parses a document and reports every value of a wrong form, not only the first.
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
        let steps = steps_of(error.path(), &error.inner().to_string());
        if !follows_from(&removed, &steps, &error.inner().to_string()) {
            problems.push(problem_at(&value, &steps, &error.inner().to_string()));
        }
        if !remove(&mut value, &steps) {
            break;
        }
        removed.push(steps);
    }
    Err(ParseError::Problems { problems })
}

/// Parses and checks a configuration.
///
/// # Errors
///
/// Fails like [`parse`], or when the configuration breaks a rule of [`validate`].
pub fn parse_config(text: &str) -> Result<Config, ParseError> {
    let config = parse(text)?;
    let problems = validate(&config);
    if problems.is_empty() {
        Ok(config)
    } else {
        Err(ParseError::Problems { problems })
    }
}

/// Writes a document in the form that is kept in version control: sorted, indented, with a final
/// newline.
///
/// # Panics
///
/// Panics when the document has a map whose keys are not text, which the documents of this crate
/// do not have.
pub fn to_text(document: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(document).expect("documents have text keys");
    text.push('\n');
    text
}

fn steps_of(path: &Path, message: &str) -> Vec<String> {
    let mut steps: Vec<String> = path
        .iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(index.to_string()),
            Segment::Map { key } => Some(key.clone()),
            Segment::Enum { variant } => Some(variant.clone()),
            Segment::Unknown => None,
        })
        .collect();
    if let Some(field) = quoted(message, "unknown field `")
        && steps.last() != Some(&field)
    {
        steps.push(field);
    }
    steps
}

fn quoted(message: &str, before: &str) -> Option<String> {
    let rest = message.strip_prefix(before)?;
    rest.split('`').next().map(str::to_owned)
}

/// Tells whether an error only reports a required field that was removed for an earlier problem.
fn follows_from(removed: &[Vec<String>], steps: &[String], message: &str) -> bool {
    quoted(message, "missing field `").is_some_and(|field| {
        removed
            .iter()
            .any(|earlier| earlier.split_last() == Some((&field, steps)))
    })
}

fn problem_at(value: &Value, steps: &[String], message: &str) -> Problem {
    let found = steps
        .iter()
        .try_fold(value, |node, step| step_into(node, step));
    Problem {
        path: if steps.is_empty() {
            "(document)".to_owned()
        } else {
            steps.join(".")
        },
        value: found.map_or_else(|| "null".to_owned(), shortened),
        allowed: message.to_owned(),
    }
}

fn shortened(value: &Value) -> String {
    const MAX_SHOWN: usize = 60;
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN {
        return text;
    }
    let start: String = text.chars().take(MAX_SHOWN).collect();
    format!("{start}…")
}

fn step_into<'a>(node: &'a Value, step: &str) -> Option<&'a Value> {
    match node {
        Value::Array(items) => items.get(step.parse::<usize>().ok()?),
        other => other.get(step),
    }
}

fn remove(value: &mut Value, steps: &[String]) -> bool {
    let Some((last, parents)) = steps.split_last() else {
        return false;
    };
    let mut node = value;
    for step in parents {
        let next = match node {
            Value::Array(items) => step.parse::<usize>().ok().and_then(|i| items.get_mut(i)),
            other => other.get_mut(step),
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
