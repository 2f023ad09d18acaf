//! Tests of the limit on log lines.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_trace::LineLimiter;

/// Guards against a library that fills the log, and against lines that are dropped without a trace.
#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limiter = LineLimiter::new(start, 3);
    let admitted = (0..1_000).filter(|ms| {
        assert_eq!(limiter.take_dropped(at(*ms)), None);
        limiter.admit()
    });
    assert_eq!(admitted.count(), 3);
    assert_eq!(limiter.take_dropped(at(1_000)), Some(997));
    assert!(limiter.admit());
    assert_eq!(limiter.take_dropped(at(2_500)), None);
    assert_eq!(limiter.take_dropped(at(9_000)), None);
    let admitted = (0..10).filter(|_| limiter.admit());
    assert_eq!(admitted.count(), 3);
}
