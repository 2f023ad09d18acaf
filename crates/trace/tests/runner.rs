//! Tests of the spans that are written to the sink.

mod test_line_limiter;

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use lavenderhollow_trace::Span;
use lavenderhollow_trace::set_sink;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that starts a new trace for a request that belongs to one, which would
/// hide the path of the request.
#[test]
fn spans_continue_the_trace_of_the_request() {
    let sink = SharedBuffer::default();
    assert!(set_sink(Box::new(sink.clone())));
    let header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let entry = Span::root("entry", Some(header));
    let target = Span::child("target", entry.context()).with_attribute(|| ("worker", "w1"));
    drop(target);
    drop(entry);
    let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    // The sink is shared by the whole process, so that it also receives the spans of other tests.
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let lines: Vec<&str> = text.lines().filter(|l| l.contains(trace)).collect();
    assert_eq!(lines.len(), 2);
    assert!(lines[0].contains("\"span\":\"target\"") && lines[0].contains("[\"worker\",\"w1\"]"));
    assert!(lines[1].contains("\"parent\":\"b7ad6b7169203331\""));
    assert!(
        lines
            .iter()
            .all(|l| l.contains("0af7651916cd43dd8448eb211c80319c"))
    );
}

/// Guards against a malformed `traceparent` header that fails the request or is used as a parent.
#[test]
fn malformed_traceparent_starts_a_new_trace() {
    for header in [
        "",
        "00-zz-11-01",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
    ] {
        let context = Span::root("entry", Some(header)).context();
        let other = Span::root("entry", Some(header)).context();
        assert_ne!(context, other, "{header:?}");
    }
}
