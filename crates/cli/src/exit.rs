//! The exit codes of all commands. Scripts rely on their numbers.

use std::process::ExitCode;

use derive_more::Display;
use derive_more::Error;

/// The result of a command, with its exit code as the discriminant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Code {
    /// The command succeeded.
    Success = 0,
    /// The command failed in a way that no other code describes.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A document or a change was rejected; nothing was changed.
    Rejected = 3,
    /// An entry gave no response in time. It is unknown whether a change took effect; the operator
    /// should repeat the command.
    OutcomeUnknown = 4,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        ExitCode::from(code as u8)
    }
}

/// An error with the exit code that the process ends with.
#[derive(Debug, Display, Error)]
#[display("{message}")]
pub(crate) struct Failure {
    #[error(not(source))]
    code: Code,
    message: String,
}

impl Failure {
    /// Creates an error; `message` is printed on standard error.
    pub(crate) fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// Returns the exit code for an error that a command returned.
pub(crate) fn exit_code(report: &eyre::Report) -> Code {
    if report.downcast_ref::<lexopt::Error>().is_some() {
        return Code::Usage;
    }
    report
        .downcast_ref::<Failure>()
        .map_or(Code::Failed, |failure| failure.code)
}
