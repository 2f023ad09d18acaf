//! Structured logs on standard output that never hold the process up.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::layout::JsonLayout;
use logforth::record::Record;

/// How many lines may wait for a slow reader; more are dropped and counted.
const LINES: usize = 8_192;

/// Writes lines from a thread of its own.
pub(crate) struct BoundedStdout {
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
    layout: JsonLayout,
}

impl fmt::Debug for BoundedStdout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BoundedStdout").finish_non_exhaustive()
    }
}

impl BoundedStdout {
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
            dropped: AtomicU64::new(0),
            layout: JsonLayout::default(),
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

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
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

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
