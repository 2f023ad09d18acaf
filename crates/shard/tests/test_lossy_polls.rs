//! Tests of polls while workers leave some calls without a response.

use std::time::Duration;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PollFailure;
use lavenderhollow_shard::PollRequest;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::StartOutcome;

use crate::support::Harness;
use crate::support::job;
use crate::support::report;
use crate::support::run_status;
use crate::support::starts;
use crate::support::step;

/// A shard with a run on one of two workers, which have been polled.
struct BusyShard {
    harness: Harness,
    busy: Name,
    idle: Name,
    run: RunId,
}

impl BusyShard {
    fn new() -> Self {
        let workers = ["w1", "w2"];
        let mut harness = Harness::new(&workers);
        harness.poll_all(&workers);
        harness.submit(job(1, vec![step(1, &[])]));
        harness.tick();
        let (busy, request) = starts(&harness.store_batch()).remove(0);
        let idle = workers.into_iter().find(|w| **w != *busy);
        harness.answer_start(&busy, request.run, StartOutcome::Started(1_000));
        harness.advance(Duration::from_secs(3));
        let mut shard = Self {
            harness,
            busy,
            idle: idle.unwrap().into(),
            run: request.run,
        };
        shard.poll();
        shard.answer();
        shard
    }

    /// Runs a scheduling pass and returns the poll of the busy worker, if there is one.
    fn poll(&mut self) -> Option<PollRequest> {
        let effects = self.harness.tick();
        effects.into_iter().find_map(|effect| match effect {
            Effect::Poll(name, request) if name == self.busy => Some(request),
            _ => None,
        })
    }

    /// Answers the poll of the busy worker.
    fn answer(&mut self) {
        let running = vec![run_status(self.run, 20)];
        self.harness
            .answer_poll(&self.busy, &report(5_000, running, vec![]));
    }

    /// Loses the response to the poll of a worker.
    fn lose(&mut self, worker: &Name) {
        let (shard, at) = (&mut self.harness.shard, self.harness.at);
        shard.handle_poll_failure(at, worker, PollFailure::NoResponse);
    }
}

/// Guards against a worker that gets no tasks, and whose finished runs go unnoticed, for longer than
/// one lost response takes.
#[test]
fn a_worker_is_polled_again_at_once_after_a_lost_response() {
    let mut shard = BusyShard::new();
    assert!(shard.poll().is_some());
    let busy = shard.busy.clone();
    shard.lose(&busy);
    assert!(shard.poll().is_some());
    // A worker that stays silent is polled at intervals.
    shard.lose(&busy);
    assert!(shard.poll().is_none());
    shard.harness.advance(Duration::from_millis(300));
    assert!(shard.poll().is_some());
}

/// Guards against finished runs that are noticed only after the whole wait of a long poll, because the
/// response to the poll was lost.
#[test]
fn long_polls_are_shorter_while_responses_are_lost() {
    let mut shard = BusyShard::new();
    let usual = shard.poll().unwrap().wait;
    shard.answer();
    let idle = shard.idle.clone();
    shard.lose(&idle);
    assert!(shard.poll().unwrap().wait < usual / 2);
    shard.answer();
    shard.harness.advance(Duration::from_secs(4));
    assert_eq!(shard.poll().unwrap().wait, usual);
}

/// Guards against a run that is started again because its end is on a later page of the worker's list.
#[test]
fn a_run_that_a_truncated_report_lacks_is_not_lost() {
    for truncated in [true, false] {
        let mut shard = BusyShard::new();
        shard.harness.advance(Duration::from_secs(1));
        assert!(shard.poll().is_some());
        let mut response = report(6_000, vec![], vec![]);
        response.truncated = truncated;
        shard.harness.answer_poll(&shard.busy, &response);
        shard.harness.tick();
        let restarted = starts(&shard.harness.store_batch());
        assert_eq!(restarted.is_empty(), truncated);
    }
}
