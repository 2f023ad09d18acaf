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
pub struct Place {
    trace: u128,
    span: u64,
}

impl Place {
    /// Parses the `traceparent` header of the W3C recommendation.
    fn parse(header: &str) -> Option<Self> {
        let mut parts = header.split('-');
        let version = parts.next()?;
        let (trace, span) = (parts.next()?, parts.next()?);
        if version.len() != 2 || trace.len() != 32 || span.len() != 16 {
            return None;
        }
        let place = Self {
            trace: u128::from_str_radix(trace, 16).ok()?,
            span: u64::from_str_radix(span, 16).ok()?,
        };
        (place.trace != 0 && place.span != 0).then_some(place)
    }
}

/// One hop of a request. It ends, and is written, when it is dropped.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    place: Place,
    parent: u64,
    begun: SystemTime,
    timer: Instant,
    properties: Vec<(&'static str, Cow<'static, str>)>,
}

impl Span {
    /// Begins a span below the one that a `traceparent` header names, or a new trace.
    pub fn root(name: &'static str, traceparent: Option<&str>) -> Self {
        let above = traceparent.and_then(Place::parse);
        let trace = above.map_or_else(rand::random, |place| place.trace);
        Self::begin(name, trace, above.map_or(0, |place| place.span))
    }

    /// Begins a span below the one at a place.
    pub fn below(name: &'static str, parent: Place) -> Self {
        Self::begin(name, parent.trace, parent.span)
    }

    /// Returns the place of the span, below which another hop continues the trace.
    pub fn place(&self) -> Place {
        self.place
    }

    fn begin(name: &'static str, trace: u128, parent: u64) -> Self {
        Self {
            name,
            place: Place {
                trace,
                span: rand::random(),
            },
            parent,
            begun: SystemTime::now(),
            timer: Instant::now(),
            properties: Vec::new(),
        }
    }

    /// Adds a property.
    #[must_use]
    pub fn with_property<V: Into<Cow<'static, str>>>(
        mut self,
        property: impl FnOnce() -> (&'static str, V),
    ) -> Self {
        let (key, value) = property();
        self.properties.push((key, value.into()));
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
            "trace": format!("{:032x}", self.place.trace),
            "id": format!("{:016x}", self.place.span),
            "parent": format!("{:016x}", self.parent),
            "start_ns": u64::try_from(begun.as_nanos()).unwrap_or(u64::MAX),
            "duration_ns": u64::try_from(self.timer.elapsed().as_nanos()).unwrap_or(u64::MAX),
            "properties": self.properties,
        });
        let mut sink = sink.lock().unwrap_or_else(PoisonError::into_inner);
        // One write a span, since a sink may take each write as a line. A span that can't be written
        // is lost; the request that it belongs to is not.
        let _ = sink.write_all(format!("{line}\n").as_bytes());
    }
}
