//! Reading of files and documents that the user names.

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

/// The largest document that is read: a configuration of the largest fleet has well under 1 MiB.
const MAX_DOCUMENT_BYTES: u64 = 16 << 20;

/// Reads a file as text.
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

/// Reads and checks a configuration.
pub(crate) fn read_config(path: &Path) -> eyre::Result<Config> {
    let text = read_text(path)?;
    parse_config(&text).map_err(|error| parse_failure(path, &error).into())
}

/// Turns a parse error into a refusal that lists every problem.
pub(crate) fn parse_failure(path: &Path, error: &ParseError) -> Failure {
    let message = match error {
        ParseError::Syntax { .. } => format!("{}: {error}", path.display()),
        ParseError::Problems { problems } => format_problems(path, problems),
    };
    Failure::new(Code::Rejected, message)
}

/// Lists problems of a file, one a line.
pub(crate) fn format_problems(path: &Path, problems: &[Problem]) -> String {
    let mut message = format!("{}: {} problem(s)", path.display(), problems.len());
    for problem in problems {
        message.push_str(&format!("\n  {problem}"));
    }
    message
}
