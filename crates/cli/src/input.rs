//! Reads the files that are named on the command line.

use std::fs;
use std::io::Read;
use std::path::Path;

use eyre::WrapErr;
use eyre::ensure;
use lavenderhollow_config::Config;
use lavenderhollow_config::ParseError;
use lavenderhollow_config::Problem;
use lavenderhollow_config::parse_config;

use crate::exit::Code;
use crate::exit::Failure;

/// The largest file that is read. The configuration of the largest fleet has well under 1 MiB.
const MAX_DOCUMENT_BYTES: u64 = 16 << 20;

/// Reads a file of at most [`MAX_DOCUMENT_BYTES`] as UTF-8 text.
pub(crate) fn read_text(path: &Path) -> eyre::Result<String> {
    let file = fs::File::open(path).wrap_err_with(|| format!("can't open {}", path.display()))?;
    let mut text = String::new();
    file.take(MAX_DOCUMENT_BYTES + 1)
        .read_to_string(&mut text)
        .wrap_err_with(|| format!("can't read {}", path.display()))?;
    ensure!(
        text.len() as u64 <= MAX_DOCUMENT_BYTES,
        "{} is larger than {MAX_DOCUMENT_BYTES} bytes",
        path.display()
    );
    Ok(text)
}

/// Reads and validates a configuration.
pub(crate) fn read_config(path: &Path) -> eyre::Result<Config> {
    let text = read_text(path)?;
    parse_config(&text).map_err(|error| parse_failure(path, &error).into())
}

/// Converts a parse error to a failure whose message lists every problem.
pub(crate) fn parse_failure(path: &Path, error: &ParseError) -> Failure {
    let message = match error {
        ParseError::Syntax { .. } => format!("{}: {error}", path.display()),
        ParseError::Problems { problems } => format_problems(path, problems),
    };
    Failure::new(Code::Rejected, message)
}

/// Formats the problems of a file, one per line.
pub(crate) fn format_problems(path: &Path, problems: &[Problem]) -> String {
    let mut message = format!("{}: {} problem(s)", path.display(), problems.len());
    for problem in problems {
        message.push_str(&format!("\n  {problem}"));
    }
    message
}
