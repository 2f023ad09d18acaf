//! The metrics of the process: counters, gauges and histograms with fixed bounds.
//!
//! The usual exporter calibrates the processor's cycle counter in a loop at its start, which takes
//! seconds on a VM with a part of a core.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::HistogramFn;
use metrics::Key;
use metrics::KeyName;
use metrics::Metadata;
use metrics::Recorder;
use metrics::SharedString;
use metrics::Unit;

/// The upper bounds of the histograms' buckets, in seconds: from an answer out of memory to the
/// longest deadline of callers.
const BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// A histogram's buckets, each with the values up to its bound, and one for all others.
#[derive(Debug, Default)]
struct Buckets {
    counts: [AtomicU64; BOUNDS.len() + 1],
    /// The sum of all values, in microseconds.
    sum_us: AtomicU64,
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let place = BOUNDS.iter().position(|bound| value <= *bound);
        let place = place.unwrap_or(BOUNDS.len());
        if let Some(count) = self.counts.get(place) {
            count.fetch_add(1, Ordering::Relaxed);
        }
        let micros = (value * 1e6).max(0.0) as u64;
        self.sum_us.fetch_add(micros, Ordering::Relaxed);
    }
}

#[derive(Debug, Default)]
struct Tables {
    counters: BTreeMap<Key, Arc<AtomicU64>>,
    gauges: BTreeMap<Key, Arc<AtomicU64>>,
    histograms: BTreeMap<Key, Arc<Buckets>>,
}

/// Gives access to the metrics of the process.
#[derive(Clone, Debug, Default)]
pub struct MetricsHandle {
    tables: Arc<Mutex<Tables>>,
}

impl MetricsHandle {
    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let tables = self.tables();
        let mut text = String::new();
        for (key, value) in &tables.counters {
            line(&mut text, key, "", None, &value.load(Ordering::Relaxed));
        }
        for (key, value) in &tables.gauges {
            let value = f64::from_bits(value.load(Ordering::Relaxed));
            line(&mut text, key, "", None, &value);
        }
        for (key, buckets) in &tables.histograms {
            let mut total = 0;
            for (place, count) in buckets.counts.iter().enumerate() {
                total += count.load(Ordering::Relaxed);
                let bound = BOUNDS.get(place).map_or("+Inf".to_owned(), f64::to_string);
                line(&mut text, key, "_bucket", Some(&bound), &total);
            }
            let sum = buckets.sum_us.load(Ordering::Relaxed) as f64 / 1e6;
            line(&mut text, key, "_sum", None, &sum);
            line(&mut text, key, "_count", None, &total);
        }
        text
    }
}

fn line(text: &mut String, key: &Key, suffix: &str, bound: Option<&str>, value: &dyn ToString) {
    let labels = key
        .labels()
        .map(|l| format!("{}=\"{}\"", l.key(), l.value()));
    let bound = bound.map(|b| format!("le=\"{b}\""));
    let labels: Vec<String> = labels.chain(bound).collect();
    let labels = match labels.is_empty() {
        true => String::new(),
        false => format!("{{{}}}", labels.join(",")),
    };
    let value = value.to_string();
    // Writing into a string does not fail.
    let _ = writeln!(text, "{}{suffix}{labels} {value}", key.name());
}

impl Recorder for MetricsHandle {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let mut tables = self.tables();
        Counter::from_arc(Arc::clone(tables.counters.entry(key.clone()).or_default()))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let mut tables = self.tables();
        Gauge::from_arc(Arc::clone(tables.gauges.entry(key.clone()).or_default()))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        let mut tables = self.tables();
        Histogram::from_arc(Arc::clone(
            tables.histograms.entry(key.clone()).or_default(),
        ))
    }
}
