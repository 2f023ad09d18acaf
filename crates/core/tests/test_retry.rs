//! The retry budget.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_core::retry::RetryBudget;

/// Guards against retries that multiply the load of a failing pool.
#[test]
fn retries_are_a_tenth_of_first_tries_or_the_floor() {
    let begin = Instant::now();
    let budget = RetryBudget::new(begin);
    let mut granted = 0;
    for second in 0..100 {
        let now = begin + Duration::from_secs(second);
        (0..50).for_each(|_| budget.first_try());
        granted += (0..50).filter(|_| budget.try_retry(now)).count();
    }
    // 5,000 first tries pay for 500 retries, one of which may be taken ahead.
    assert_eq!(granted, 501);
    assert_eq!(budget.denied(), 5_000 - 501);
    let quiet = begin + Duration::from_secs(200);
    let floor = (0..10).filter(|second| budget.try_retry(quiet + Duration::from_secs(*second)));
    assert_eq!(
        floor.count(),
        10,
        "a pool without first tries gets the floor"
    );
}

/// Guards against a flood of retries that a long quiet time has saved up, also by threads that
/// take at once.
#[test]
fn saved_retries_are_bounded_and_taken_once() {
    let now = Instant::now();
    let budget = RetryBudget::new(now);
    (0..100_000).for_each(|_| budget.first_try());
    let take = || (0..100).filter(|_| budget.try_retry(now)).count();
    let granted: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(take)).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .sum()
    });
    assert_eq!(granted, 101);
}
