//! Tests of spans.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use lavenderhollow_trace::Span;
use lavenderhollow_trace::set_sink;

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a hop that starts a trace of its own, which would hide where a request went.
#[test]
fn a_hop_continues_the_trace_that_came_with_the_request() {
    let sink = Shared::default();
    assert!(set_sink(Box::new(sink.clone())));
    let header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let entry = Span::root("entry", Some(header));
    let target = Span::child("target", entry.context()).with_attribute(|| ("worker", "w1"));
    drop(target);
    drop(entry);
    let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    // The sink belongs to the process, so that spans of other tests are written to it as well.
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

/// Guards against a malformed header that would end the request.
#[test]
fn a_malformed_header_starts_a_new_trace() {
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
