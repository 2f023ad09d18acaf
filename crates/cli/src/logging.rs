//! Structured logs on standard output that never hold the process up.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::UNIX_EPOCH;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::kv::KeyView;
use logforth::kv::ValueView;
use logforth::kv::Visitor;
use logforth::record::Record;
use serde_json::Map;
use serde_json::Value;

/// How many lines may wait for a slow reader; more are dropped and counted.
const LINES: usize = 8_192;

/// Has lines written by a thread of its own, and drops them when their reader is too slow.
#[derive(Clone)]
pub(crate) struct NonBlockingStdout {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for NonBlockingStdout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BoundedStdout").finish_non_exhaustive()
    }
}

impl NonBlockingStdout {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub(crate) fn start() -> io::Result<Self> {
        let (lines, waiting) = sync_channel(LINES);
        std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&waiting))?;
        Ok(Self {
            lines,
            dropped: Arc::default(),
        })
    }
}

/// Writes until every sender is gone. A reader that closed the pipe must not end the process.
fn write_lines(waiting: &Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    while let Ok(mut bytes) = waiting.recv() {
        while let Ok(more) = waiting.try_recv() {
            bytes.extend_from_slice(&more);
        }
        let written = out.write_all(&bytes).and_then(|()| out.flush());
        if written.is_err() {
            metrics::counter!("log_write_errors_total").increment(1);
        }
    }
}

/// Puts the fields of a record into a map.
struct Fields<'a>(&'a mut Map<String, Value>);

impl Visitor for Fields<'_> {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => Value::from(number),
            (_, Some(flag)) => Value::from(flag),
            _ => Value::from(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Writes a record as a line of JSON: the time, the level, the event, and its fields.
fn line_of(record: &Record) -> Result<Vec<u8>, Error> {
    let since = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut map = Map::new();
    map.insert("unix_ms".to_owned(), (since.as_millis() as u64).into());
    map.insert("level".to_owned(), record.level().name().into());
    map.insert("event".to_owned(), record.payload().to_string().into());
    record.key_values().visit(&mut Fields(&mut map))?;
    let mut line = serde_json::to_vec(&map).map_err(|e| Error::new(e.to_string()))?;
    line.push(b'\n');
    Ok(line)
}

impl NonBlockingStdout {
    fn send(&self, line: Vec<u8>) -> Result<(), Error> {
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                let dropped = self.dropped.fetch_add(1, Ordering::Relaxed) + 1;
                metrics::gauge!("log_lines_dropped").set(dropped as f64);
            }
            Err(TrySendError::Disconnected(_)) => {
                return Err(Error::new("the thread that writes logs has ended"));
            }
        }
        Ok(())
    }
}

impl Append for NonBlockingStdout {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.send(line_of(record)?)
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Takes one line with each write.
impl Write for NonBlockingStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.send(line.to_vec()).map_err(io::Error::other)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
