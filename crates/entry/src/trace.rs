//! Traces: a span for each hop, written as lines of JSON.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;

use fastrace::Span;
use fastrace::collector::Config;
use fastrace::collector::Reporter;
use fastrace::collector::SpanRecord;
use fastrace::prelude::SpanContext;
use serde::Serialize;

use crate::settings::Traces;

/// The header that carries a trace from hop to hop, as the W3C recommendation defines it.
pub(crate) const TRACE_HEADER: &str = "traceparent";

#[derive(Serialize)]
struct SpanLine<'a> {
    span: &'a str,
    trace: String,
    id: String,
    parent: String,
    start_ns: u64,
    duration_ns: u64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    properties: Vec<(&'a str, &'a str)>,
}

impl<'a> From<&'a SpanRecord> for SpanLine<'a> {
    fn from(record: &'a SpanRecord) -> Self {
        Self {
            span: &record.name,
            trace: format!("{:032x}", record.trace_id.0),
            id: format!("{:016x}", record.span_id.0),
            parent: format!("{:016x}", record.parent_id.0),
            start_ns: record.begin_time_unix_ns,
            duration_ns: record.duration_ns,
            properties: record
                .properties
                .iter()
                .map(|(key, value)| (&**key, &**value))
                .collect(),
        }
    }
}

struct LineReporter<W>(W);

impl<W: Write + Send + 'static> Reporter for LineReporter<W> {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for record in &spans {
            if let Ok(line) = serde_json::to_string(&SpanLine::from(record)) {
                // A span that can't be written is lost; the request that it belongs to is not.
                let _ = writeln!(self.0, "{line}");
            }
        }
        let _ = self.0.flush();
    }
}

/// Starts the reporting of spans.
///
/// # Errors
///
/// Fails when the file can't be opened.
pub fn install(traces: &Traces) -> io::Result<()> {
    match traces {
        Traces::Off => {}
        Traces::Log => fastrace::set_reporter(LineReporter(io::stderr()), Config::default()),
        Traces::File(path) => {
            let file: File = OpenOptions::new().create(true).append(true).open(path)?;
            fastrace::set_reporter(LineReporter(file), Config::default());
        }
    }
    Ok(())
}

/// Starts the span of a hop, below the trace that came with the request, if one did.
pub(crate) fn hop(name: &'static str, traceparent: Option<&str>) -> Span {
    let parent = traceparent
        .and_then(SpanContext::decode_w3c_traceparent)
        .unwrap_or_else(SpanContext::random);
    Span::root(name, parent)
}

/// Returns the header value that continues the trace of a span.
pub(crate) fn header_of(span: &Span) -> Option<String> {
    SpanContext::from_span(span).map(|context| context.encode_w3c_traceparent())
}
