//! Tests of the rate of commands to the machine interface.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::CommandBudget;

/// Guards against commands beyond the limit in any second, which are rejected.
#[test]
fn a_second_of_commands_stays_within_the_limit() {
    for limit in [1.0, 64.0, 215.0] {
        let start = Instant::now();
        let mut budget = CommandBudget::new(start, limit);
        let mut sent = Vec::new();
        for step in 0..300 {
            let now = start + Duration::from_millis(step * 10);
            let count = budget.available(now);
            budget.take(now, count);
            sent.extend(vec![step * 10; count]);
        }
        let most = sent.iter().map(|first| {
            sent.iter()
                .filter(|t| (*first..first + 1_000).contains(t))
                .count()
        });
        let most = most.max().unwrap();
        assert!(most as f64 <= limit, "{limit}: {most}");
        assert!(sent.len() as f64 >= limit * 2.0, "{limit}: {}", sent.len());
    }
}

/// Guards against maintenance commands, which don't wait for the budget, that add to the moves.
#[test]
fn commands_beyond_the_budget_delay_the_next_ones() {
    let start = Instant::now();
    let mut budget = CommandBudget::new(start, 100.0);
    let burst = budget.available(start);
    budget.take(start, burst + 9);
    assert_eq!(budget.available(start + Duration::from_millis(90)), 0);
    assert!(budget.available(start + Duration::from_millis(130)) > 0);
}
