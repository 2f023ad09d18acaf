//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
    runs: Mutex<Vec<Run>>,
}

/// A run that a worker has begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub worker: String,
    pub began_ms: u64,
    /// When and how it ended.
    pub ended: Option<(u64, String)>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path).expect("a record file"))),
            runs: Mutex::default(),
        }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} ms  {}", self.now(), text.as_ref());
        let _ = file.flush();
    }

    /// Writes a line without flushing, for cases with many of them.
    pub fn brief(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} ms  {}", self.now(), text.as_ref());
    }

    pub fn began(&self, task: &str, number: u64, worker: &str) {
        self.brief(format!("run begins: {task} run {number} on {worker}"));
        self.runs.lock().unwrap().push(Run {
            task: task.to_owned(),
            number,
            worker: worker.to_owned(),
            began_ms: self.now(),
            ended: None,
        });
    }

    pub fn ended(&self, task: &str, number: u64, worker: &str, how: &str) {
        self.brief(format!("run ends: {task} run {number} on {worker}: {how}"));
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let run = runs.iter_mut().rev();
        let mut run = run.filter(|r| r.task == task && r.number == number && r.worker == worker);
        if let Some(run) = run.next() {
            run.ended = Some((now, how.to_owned()));
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
