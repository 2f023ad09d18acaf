//! Tests of ids and of what a job may be.

use std::time::Duration;

use lavenderhollow_shard::InvalidJob;
use lavenderhollow_shard::InvalidJobId;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::MAX_PAYLOAD_BYTES;
use lavenderhollow_shard::TaskId;

use crate::support::job;
use crate::support::step;

/// Guards against an id that is taken for another one with the same number.
#[test]
fn only_the_canonical_form_is_a_job_id() {
    assert_eq!("5c0e7a21d94b36f8".parse(), Ok(JobId(0x5c0e_7a21_d94b_36f8)));
    for text in [
        "",
        "5c0e",
        "5C0E7A21D94B36F8",
        "+c0e7a21d94b36f8",
        "5c0e7a21d94b36f80",
    ] {
        assert_eq!(text.parse::<JobId>(), Err(InvalidJobId), "{text}");
    }
}

/// Guards against a row of a worker that is taken for another task.
#[test]
fn a_task_id_survives_the_way_there_and_back() {
    let id: TaskId = "5c0e7a21d94b36f8.3.1.17".parse().unwrap();
    assert_eq!(id.to_string(), "5c0e7a21d94b36f8.3.1.17");
    for text in [
        "5c0e7a21d94b36f8.3.1",
        "5c0e7a21d94b36f8.3.1.17.2",
        "x.0.0.0",
    ] {
        assert!(text.parse::<TaskId>().is_err(), "{text}");
    }
}

/// Guards against jobs that could never be scheduled or that exhaust the memory.
#[test]
fn a_job_beyond_the_interface_is_refused() {
    assert_eq!(job(1, vec![]).validate(), Err(InvalidJob::Steps));
    assert_eq!(
        job(1, vec![step(0, &[])]).validate(),
        Err(InvalidJob::Tasks)
    );
    assert_eq!(
        job(1, vec![step(u32::MAX, &[])]).validate(),
        Err(InvalidJob::Tasks)
    );
    let cycle = job(1, vec![step(1, &[1]), step(1, &[0])]);
    assert_eq!(cycle.validate(), Err(InvalidJob::Dependency { step: 0 }));
    let mut wide = job(1, vec![step(1, &[])]);
    wide.steps[0].resources.cpu = u64::MAX;
    assert_eq!(wide.validate(), Err(InvalidJob::Resources { step: 0 }));
    let mut slow = job(1, vec![step(1, &[]), step(1, &[])]);
    slow.steps[1].estimate = Duration::from_millis(u64::MAX);
    assert_eq!(slow.validate(), Err(InvalidJob::Resources { step: 1 }));
    let mut long = job(1, vec![step(1, &[])]);
    long.payload = "x".repeat(MAX_PAYLOAD_BYTES + 1).into();
    assert_eq!(long.validate(), Err(InvalidJob::Payload));
    assert_eq!(job(1, vec![step(1, &[]), step(2, &[0])]).validate(), Ok(()));
}

/// Guards against an objective that counts parallel steps one after the other.
#[test]
fn the_objective_counts_the_longest_chain() {
    let job = job(1, vec![step(3, &[]), step(1, &[]), step(1, &[0])]);
    assert_eq!(job.critical_path(), Duration::from_secs(1));
    assert_eq!(job.objective(), Duration::from_secs(3));
}
