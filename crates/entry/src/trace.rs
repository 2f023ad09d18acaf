//! Traces: a span for each hop, written as lines of JSON.

use std::fs::OpenOptions;
use std::io;

use lavenderhollow_trace::Span;
use lavenderhollow_trace::set_sink;

use crate::settings::Traces;

/// The header that carries a trace from hop to hop, as the W3C recommendation defines it.
pub(crate) const TRACE_HEADER: &str = "traceparent";

/// Starts the reporting of spans.
///
/// # Errors
///
/// Fails when the file can't be opened.
pub fn install(traces: &Traces) -> io::Result<()> {
    match traces {
        Traces::Off => {}
        Traces::Log => {
            set_sink(Box::new(io::stderr()));
        }
        Traces::File(path) => {
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            set_sink(Box::new(file));
        }
    }
    Ok(())
}

/// Starts the span of a hop, below the trace that came with the request, if one did.
pub(crate) fn hop(name: &'static str, traceparent: Option<&str>) -> Span {
    Span::root(name, traceparent)
}

/// Returns the header value that continues the trace of a span.
pub(crate) fn header_of(span: &Span) -> Option<String> {
    Some(span.traceparent())
}
