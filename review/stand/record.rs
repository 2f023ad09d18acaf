//! What was sent, answered and run, written to `record.txt`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A start that a worker has begun.
#[derive(Clone)]
pub struct Start {
    pub at: Duration,
    pub worker: String,
    pub task: String,
    pub token: u64,
}

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    begin: Instant,
    file: Mutex<File>,
    starts: Mutex<Vec<Start>>,
    /// How many lines of each job were written; the rest is counted only.
    lines: Mutex<BTreeMap<String, u64>>,
    alone: Mutex<u64>,
}

/// The most lines of starts and ends that are written of each job.
const MAX_JOB_LINES: u64 = 40;

impl Record {
    pub fn create(path: &str) -> Record {
        Record(Arc::new(Inner {
            begin: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
            starts: Mutex::default(),
            lines: Mutex::default(),
            alone: Mutex::default(),
        }))
    }

    pub fn now(&self) -> Duration {
        self.0.begin.elapsed()
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.now().as_secs_f64());
    }

    /// Returns how many runs have ended alone.
    pub fn alone(&self) -> u64 {
        *self.0.alone.lock().unwrap()
    }

    /// Writes a line on a task unless its job has had many.
    pub fn quiet(&self, text: &str) {
        if text.ends_with(" alone") {
            *self.0.alone.lock().unwrap() += 1;
        }
        let job = text.split(' ').find_map(|w| w.split_once('.')).map_or("", |(j, _)| j);
        let mut lines = self.0.lines.lock().unwrap();
        let count = lines.entry(job.to_owned()).or_insert(0);
        *count += 1;
        if *count <= MAX_JOB_LINES {
            self.line(text);
        }
    }

    pub fn start(&self, worker: &str, task: &str, number: u64, token: u64) {
        let start = Start {
            at: self.now(),
            worker: worker.to_owned(),
            task: task.to_owned(),
            token,
        };
        self.0.starts.lock().unwrap().push(start);
        self.quiet(&format!("worker {worker} start {task} run {number} token {token}"));
    }

    /// Returns the starts of the tasks whose names begin so.
    pub fn starts(&self, prefix: &str) -> Vec<Start> {
        let starts = self.0.starts.lock().unwrap();
        starts.iter().filter(|s| s.task.starts_with(prefix)).cloned().collect()
    }
}
