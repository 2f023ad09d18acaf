//! Spans of a request's hops, written as lines of JSON.
//!
//! The usual libraries calibrate the processor's cycle counter before `main`, which takes seconds
//! on a VM with a part of a core. These spans need the system's clocks only.

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

type Sink = Mutex<Box<dyn Write + Send>>;

static SINK: OnceLock<Sink> = OnceLock::new();

/// Has finished spans written to `sink`, each as one line with one write. Only the first call in a process has an effect; tells
/// whether this was it.
pub fn set_sink(sink: Box<dyn Write + Send>) -> bool {
    SINK.set(Mutex::new(sink)).is_ok()
}

/// The place of a span in a trace, to continue it in another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanContext {
    trace: u128,
    span: u64,
}

impl SpanContext {
    /// Parses the `traceparent` header of the W3C recommendation.
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

/// One hop of a request. It ends, and is written, when it is dropped.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    context: SpanContext,
    parent: u64,
    begun: SystemTime,
    timer: Instant,
    attributes: Vec<(&'static str, Cow<'static, str>)>,
}

impl Span {
    /// Begins a span below the one that a `traceparent` header names, or a new trace.
    pub fn root(name: &'static str, traceparent: Option<&str>) -> Self {
        let above = traceparent.and_then(SpanContext::parse);
        let trace = above.map_or_else(rand::random, |context| context.trace);
        Self::begin(name, trace, above.map_or(0, |context| context.span))
    }

    /// Begins a span below the one at a place.
    pub fn child(name: &'static str, parent: SpanContext) -> Self {
        Self::begin(name, parent.trace, parent.span)
    }

    /// Returns the place of the span, below which another hop continues the trace.
    pub fn context(&self) -> SpanContext {
        self.context
    }

    fn begin(name: &'static str, trace: u128, parent: u64) -> Self {
        Self {
            name,
            context: SpanContext {
                trace,
                span: rand::random(),
            },
            parent,
            begun: SystemTime::now(),
            timer: Instant::now(),
            attributes: Vec::new(),
        }
    }

    /// Adds a property.
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
        let begun = self.begun.duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = json!({
            "span": self.name,
            "trace": format!("{:032x}", self.context.trace),
            "id": format!("{:016x}", self.context.span),
            "parent": format!("{:016x}", self.parent),
            "start_ns": u64::try_from(begun.as_nanos()).unwrap_or(u64::MAX),
            "duration_ns": u64::try_from(self.timer.elapsed().as_nanos()).unwrap_or(u64::MAX),
            "properties": self.attributes,
        });
        let mut sink = sink.lock().unwrap_or_else(PoisonError::into_inner);
        // One write a span, since a sink may take each write as a line. A span that can't be written
        // is lost; the request that it belongs to is not.
        let _ = sink.write_all(format!("{line}\n").as_bytes());
    }
}
