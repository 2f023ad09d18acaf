//! The metrics recorder: counters, gauges and histograms with fixed buckets.
//!
//! The usual Prometheus exporter calibrates the CPU's cycle counter in a loop at startup, which
//! takes seconds on a VM with a fraction of a core. This recorder reads no clock.

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

/// The upper bounds of the histogram buckets, in seconds. They range from a response that is served
/// from memory to the longest deadline of callers.
const BUCKET_BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// The buckets of a histogram. Each counts the values above the previous bound and up to its own;
/// the last one counts the values above all bounds.
#[derive(Debug, Default)]
struct Buckets {
    counts: [AtomicU64; BUCKET_BOUNDS.len() + 1],
    /// The sum of all values, in microseconds.
    sum_us: AtomicU64,
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let index = BUCKET_BOUNDS.iter().position(|bound| value <= *bound);
        let index = index.unwrap_or(BUCKET_BOUNDS.len());
        if let Some(count) = self.counts.get(index) {
            count.fetch_add(1, Ordering::Relaxed);
        }
        let micros = (value * 1e6).max(0.0) as u64;
        self.sum_us.fetch_add(micros, Ordering::Relaxed);
    }
}

#[derive(Debug, Default)]
struct Registry {
    counters: BTreeMap<Key, Arc<AtomicU64>>,
    gauges: BTreeMap<Key, Arc<AtomicU64>>,
    histograms: BTreeMap<Key, Arc<Buckets>>,
}

/// A handle to the metrics of the process, which is also their recorder. Clones share the metrics.
#[derive(Clone, Debug, Default)]
pub struct MetricsHandle {
    registry: Arc<Mutex<Registry>>,
}

impl MetricsHandle {
    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let registry = self.registry();
        let mut text = String::new();
        for (key, value) in &registry.counters {
            write_sample(&mut text, key, "", None, &value.load(Ordering::Relaxed));
        }
        for (key, value) in &registry.gauges {
            let value = f64::from_bits(value.load(Ordering::Relaxed));
            write_sample(&mut text, key, "", None, &value);
        }
        for (key, buckets) in &registry.histograms {
            let mut total = 0;
            for (index, count) in buckets.counts.iter().enumerate() {
                total += count.load(Ordering::Relaxed);
                let bound = BUCKET_BOUNDS
                    .get(index)
                    .map_or("+Inf".to_owned(), f64::to_string);
                write_sample(&mut text, key, "_bucket", Some(&bound), &total);
            }
            let sum = buckets.sum_us.load(Ordering::Relaxed) as f64 / 1e6;
            write_sample(&mut text, key, "_sum", None, &sum);
            write_sample(&mut text, key, "_count", None, &total);
        }
        text
    }
}

fn write_sample(
    text: &mut String,
    key: &Key,
    suffix: &str,
    bound: Option<&str>,
    value: &dyn ToString,
) {
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
    // Writing to a string never fails.
    let _ = writeln!(text, "{}{suffix}{labels} {value}", key.name());
}

impl Recorder for MetricsHandle {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let mut registry = self.registry();
        Counter::from_arc(Arc::clone(
            registry.counters.entry(key.clone()).or_default(),
        ))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let mut registry = self.registry();
        Gauge::from_arc(Arc::clone(registry.gauges.entry(key.clone()).or_default()))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        let mut registry = self.registry();
        Histogram::from_arc(Arc::clone(
            registry.histograms.entry(key.clone()).or_default(),
        ))
    }
}
