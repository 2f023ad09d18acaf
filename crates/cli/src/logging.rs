//! Structured logging to standard output that never blocks the process.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use lavenderhollow_trace::LineLimiter;
use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::kv::KeyView;
use logforth::kv::ValueView;
use logforth::kv::Visitor;
use logforth::record::Level;
use logforth::record::Record;
use serde_json::Map;
use serde_json::Value;

/// The number of lines that are queued for a slow reader; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 8_192;

/// The most bytes of the queued lines, twice what as many lines of the usual 250 bytes take. A line with a
/// path of a caller can have as many bytes as a header section.
const QUEUE_BYTES: usize = 4_000_000;

/// The most lines of libraries that are written in a second. A library may log each of the hundreds
/// of calls that fail in a second while a peer is slow, and the project logs them itself.
const MAX_LIBRARY_LINES: u32 = 5;

/// The start of the targets of the project's own lines.
const OWN_TARGET: &str = "lavenderhollow";

/// Writes lines to standard output on a separate thread, and drops lines when the reader is too
/// slow.
#[derive(Clone)]
pub(crate) struct NonBlockingStdout {
    sender: SyncSender<Vec<u8>>,
    /// The bytes of the lines that are not written yet.
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
    library_lines: Arc<Mutex<LineLimiter>>,
}

impl fmt::Debug for NonBlockingStdout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NonBlockingStdout").finish_non_exhaustive()
    }
}

impl NonBlockingStdout {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub(crate) fn start() -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
        let queued = Arc::<AtomicUsize>::default();
        let unwritten = Arc::clone(&queued);
        std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&receiver, &unwritten))?;
        Ok(Self {
            sender,
            queued,
            dropped: Arc::default(),
            library_lines: Arc::new(Mutex::new(LineLimiter::new(
                Instant::now(),
                MAX_LIBRARY_LINES,
            ))),
        })
    }
}

/// Writes queued lines until every sender is dropped. A write error, such as a pipe that the reader
/// closed, is counted and does not end the process.
fn write_lines(receiver: &Receiver<Vec<u8>>, queued: &AtomicUsize) {
    let mut out = io::stdout().lock();
    while let Ok(mut bytes) = receiver.recv() {
        while let Ok(next) = receiver.try_recv() {
            bytes.extend_from_slice(&next);
        }
        let result = out.write_all(&bytes).and_then(|()| out.flush());
        queued.fetch_sub(bytes.len(), Ordering::Relaxed);
        if result.is_err() {
            metrics::counter!("log_write_errors_total").increment(1);
        }
    }
}

/// Collects the fields of a log record in a JSON object.
struct FieldCollector<'a>(&'a mut Map<String, Value>);

impl Visitor for FieldCollector<'_> {
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

/// Encodes a log record as one line of JSON: the time, the level, the event and its fields.
fn encode_line(record: &Record) -> Result<Vec<u8>, Error> {
    let mut map = line_fields(record.time(), record.level(), &record.payload().to_string());
    record.key_values().visit(&mut FieldCollector(&mut map))?;
    encode_fields(&map)
}

/// Returns the fields that all lines have.
fn line_fields(time: SystemTime, level: Level, event: &str) -> Map<String, Value> {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut map = Map::new();
    map.insert(
        "unix_ms".to_owned(),
        (since_epoch.as_millis() as u64).into(),
    );
    map.insert("level".to_owned(), level.name().into());
    map.insert("event".to_owned(), event.into());
    map
}

fn encode_fields(map: &Map<String, Value>) -> Result<Vec<u8>, Error> {
    let mut line = serde_json::to_vec(map).map_err(|e| Error::new(e.to_string()))?;
    line.push(b'\n');
    Ok(line)
}

impl NonBlockingStdout {
    fn send(&self, line: Vec<u8>) -> Result<(), Error> {
        let length = line.len();
        let queued = self.queued.fetch_add(length, Ordering::Relaxed);
        let result = match queued + length > QUEUE_BYTES {
            true => Err(TrySendError::Full(line)),
            false => self.sender.try_send(line),
        };
        let Err(error) = result else {
            return Ok(());
        };
        self.queued.fetch_sub(length, Ordering::Relaxed);
        match error {
            TrySendError::Full(_) => {
                let dropped = self.dropped.fetch_add(1, Ordering::Relaxed) + 1;
                metrics::gauge!("log_lines_dropped").set(dropped as f64);
                Ok(())
            }
            TrySendError::Disconnected(_) => Err(Error::new("the log writer thread has exited")),
        }
    }

    /// Returns whether a line is written, and writes how many lines of libraries were dropped.
    fn admit(&self, record: &Record) -> Result<bool, Error> {
        let is_own = record.target().starts_with(OWN_TARGET);
        let (dropped, admitted) = {
            let mut limiter = self
                .library_lines
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            (
                limiter.take_dropped(Instant::now()),
                is_own || limiter.admit(),
            )
        };
        if let Some(count) = dropped {
            let mut map = line_fields(record.time(), Level::Warn, "library_lines_dropped");
            map.insert("count".to_owned(), count.into());
            self.send(encode_fields(&map)?)?;
        }
        Ok(admitted)
    }
}

impl Append for NonBlockingStdout {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        match self.admit(record)? {
            true => self.send(encode_line(record)?),
            false => Ok(()),
        }
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Expects one whole line per write, as [`lavenderhollow_trace::set_sink`] promises.
impl Write for NonBlockingStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.send(line.to_vec()).map_err(io::Error::other)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
