//! Exit codes, which scripts can rely on.

use std::process::ExitCode;

use derive_more::Display;
use derive_more::Error;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Code {
    /// The command did what it was asked.
    Success = 0,
    /// Something failed that fits no other code.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A document or a change was refused; nothing was changed.
    Rejected = 3,
    /// No entry answered; it is not known whether a change took effect. Repeat it.
    OutcomeUnknown = 4,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        ExitCode::from(code as u8)
    }
}

/// An error with the exit code that it leads to.
#[derive(Debug, Display, Error)]
#[display("{message}")]
pub(crate) struct Failure {
    #[error(not(source))]
    code: Code,
    message: String,
}

impl Failure {
    /// Creates an error with an exit code.
    pub(crate) fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// Returns the exit code for an error.
pub(crate) fn exit_code(report: &eyre::Report) -> Code {
    if report.downcast_ref::<lexopt::Error>().is_some() {
        return Code::Usage;
    }
    report
        .downcast_ref::<Failure>()
        .map_or(Code::Failed, |failure| failure.code)
}
