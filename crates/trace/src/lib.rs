//! Spans that trace a request through processes, written as lines of JSON, and a limit on lines of
//! the log.
//!
//! The usual tracing libraries calibrate the CPU's cycle counter before `main`, which takes seconds
//! on a VM with a fraction of a core. This crate reads only the clocks of the operating system.

mod line_limiter;

use std::borrow::Cow;
use std::io::Write;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

pub use line_limiter::LineLimiter;

type Sink = Mutex<Box<dyn Write + Send>>;

static SINK: OnceLock<Sink> = OnceLock::new();

/// Sets the sink of the process, to which each finished span is written as one line with one write.
/// Without a sink, spans are discarded. Only the first call in a process has an effect; returns
/// whether this was the first.
pub fn set_sink(sink: Box<dyn Write + Send>) -> bool {
    SINK.set(Mutex::new(sink)).is_ok()
}

/// Identifies a trace and a span in it. Child spans are started with it, also in another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanContext {
    trace: u128,
    span: u64,
}

impl SpanContext {
    /// Parses a `traceparent` header as defined by the W3C Trace Context recommendation.
    fn parse(header: &str) -> Option<Self> {
        let mut parts = header.split('-');
        let version = parts.next()?;
        let (trace, span) = (parts.next()?, parts.next()?);
        if version.len() != 2 || trace.len() != 32 || span.len() != 16 {
            return None;
        }
        let context = Self {
            trace: u128::from_str_radix(trace, 16).ok()?,
            span: u64::from_str_radix(span, 16).ok()?,
        };
        (context.trace != 0 && context.span != 0).then_some(context)
    }
}

/// One operation in the processing of a request. The span ends, and is written to the sink, when it
/// is dropped.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    context: SpanContext,
    parent: u64,
    started_at: SystemTime,
    timer: Instant,
    attributes: Vec<(&'static str, Cow<'static, str>)>,
}

impl Span {
    /// Starts a span whose parent is given by a `traceparent` header. Starts a new trace when the
    /// header is missing or malformed.
    pub fn root(name: &'static str, traceparent: Option<&str>) -> Self {
        let remote = traceparent.and_then(SpanContext::parse);
        let trace = remote.map_or_else(rand::random, |context| context.trace);
        Self::start(name, trace, remote.map_or(0, |context| context.span))
    }

    /// Starts a child span of `parent`.
    pub fn child(name: &'static str, parent: SpanContext) -> Self {
        Self::start(name, parent.trace, parent.span)
    }

    /// Returns the context of the span, with which [`Span::child`] starts child spans.
    pub fn context(&self) -> SpanContext {
        self.context
    }

    fn start(name: &'static str, trace: u128, parent: u64) -> Self {
        Self {
            name,
            context: SpanContext {
                trace,
                span: rand::random(),
            },
            parent,
            started_at: SystemTime::now(),
            timer: Instant::now(),
            attributes: Vec::new(),
        }
    }

    /// Adds an attribute, which consists of a key and a value.
    #[must_use]
    pub fn with_attribute<V: Into<Cow<'static, str>>>(
        mut self,
        attribute: impl FnOnce() -> (&'static str, V),
    ) -> Self {
        let (key, value) = attribute();
        self.attributes.push((key, value.into()));
        self
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let Some(sink) = SINK.get() else {
            return;
        };
        let since_epoch = self
            .started_at
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = json!({
            "span": self.name,
            "trace": format!("{:032x}", self.context.trace),
            "id": format!("{:016x}", self.context.span),
            "parent": format!("{:016x}", self.parent),
            "start_ns": u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX),
            "duration_ns": u64::try_from(self.timer.elapsed().as_nanos()).unwrap_or(u64::MAX),
            "properties": self.attributes,
        });
        let mut sink = sink.lock().unwrap_or_else(PoisonError::into_inner);
        // Writes each span with one write, since a sink may treat each write as a line. An error is
        // ignored: the span is lost, and the request goes on.
        let _ = sink.write_all(format!("{line}\n").as_bytes());
    }
}
