//! Rules of durable jobs that the jobs machine does not reach or can't tell apart.

use std::time::Duration;
use std::time::SystemTime;

use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::fold::Context;
use lavenderhollow_core::fold::Effect;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::jobs::FINISHED_RETENTION;
use lavenderhollow_core::jobs::JobChange;
use lavenderhollow_core::jobs::JobOutcome;
use lavenderhollow_core::jobs::JobRejection;
use lavenderhollow_core::jobs::JobSpec;
use lavenderhollow_core::jobs::Jobs;
use lavenderhollow_core::jobs::LEASE_MARGIN;
use lavenderhollow_core::jobs::MAX_RESULT;
use lavenderhollow_core::once::ClaimKey;
use lavenderhollow_core::record::Position;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::JobId;
use lavenderhollow_types::Offset;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::VmName;

const LEASE: u64 = 10;

/// The log's time, in seconds after the start of a test.
fn at(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000 + seconds)
}

fn apply(
    jobs: &mut Jobs,
    actor: u128,
    seconds: u64,
    change: &JobChange,
) -> Result<Effect, JobRejection> {
    let position = Position {
        offset: Offset::new(0),
        time: at(seconds),
    };
    let cx = Context {
        position,
        id: RecordId::random(),
        actor: Incarnation::from_number(actor),
    };
    jobs.apply(&cx, change)
}

fn id(number: u64) -> JobId {
    ClaimKey::from_parts(at(0), number).as_uuid().into()
}

fn submit(number: u64, urgent: bool, deadline: u64) -> JobChange {
    let spec = JobSpec {
        team: TeamName::new("medical").unwrap(),
        queue: QueueName::new("renewals").unwrap(),
        idempotent: true,
        urgent,
        deadline: at(deadline),
        slots: 1,
        run_time: Duration::from_secs(1),
        body: Body::default(),
    };
    JobChange::Submit {
        job: id(number),
        spec: Box::new(spec),
    }
}

fn start(number: u64) -> JobChange {
    JobChange::Start {
        job: id(number),
        attempt: AttemptId::from_number(1),
        worker: VmName::new("vm-1").unwrap(),
        lease_end: at(LEASE),
    }
}

fn finish(number: u64, outcome: JobOutcome) -> JobChange {
    JobChange::Finish {
        job: id(number),
        attempt: Some(AttemptId::from_number(1)),
        outcome,
    }
}

/// Guards against a second run of a dropped job after the log's clock stepped ahead and back.
#[test]
fn dropped_job_stays_refused_when_the_log_steps_back() {
    let mut jobs = Jobs::default();
    for change in [submit(1, false, 9), submit(2, false, 9), start(1)] {
        apply(&mut jobs, 1, 0, &change).unwrap();
    }
    apply(
        &mut jobs,
        1,
        1,
        &finish(1, JobOutcome::Failed("disk".into())),
    )
    .unwrap();
    let ahead = FINISHED_RETENTION.as_secs() + 10;
    apply(&mut jobs, 1, ahead, &JobChange::Cancel { job: id(2) }).unwrap();
    assert!(jobs.get(id(1)).is_none(), "job is dropped");
    let again = apply(&mut jobs, 1, 2, &submit(1, false, 9));
    assert_eq!(again, Err(JobRejection::BadId));
}

/// Guards against a second attempt of an idempotent job while its first holder may still start it.
#[test]
fn takeover_waits_for_the_lease_and_the_margin() {
    let mut jobs = Jobs::default();
    apply(&mut jobs, 1, 0, &submit(1, false, 9)).unwrap();
    apply(&mut jobs, 1, 0, &start(1)).unwrap();
    let take = JobChange::TakeOver {
        job: id(1),
        attempt: Some(AttemptId::from_number(1)),
    };
    let lapse = LEASE + LEASE_MARGIN.as_secs();
    assert_eq!(
        apply(&mut jobs, 2, lapse, &take),
        Err(JobRejection::LeaseHeld)
    );
    assert_eq!(jobs.lapsed(at(lapse)).count(), 0);
    assert_eq!(jobs.lapsed(at(lapse + 1)).collect::<Vec<_>>(), [id(1)]);
    apply(&mut jobs, 2, lapse + 1, &take).unwrap();
    assert_eq!(jobs.next(Incarnation::from_number(2)), Some(id(1)));
    let late = apply(&mut jobs, 1, lapse + 2, &start(1));
    assert_eq!(late, Err(JobRejection::NotOwner));
}

/// Guards against an index that differs from the jobs after a change of stage.
#[test]
fn next_job_is_urgent_then_earliest() {
    let mut jobs = Jobs::default();
    for (number, urgent, deadline) in [(1, false, 30), (2, false, 20), (3, true, 90)] {
        apply(&mut jobs, 1, 0, &submit(number, urgent, deadline)).unwrap();
    }
    let owner = Incarnation::from_number(1);
    assert_eq!(
        jobs.waiting(owner).collect::<Vec<_>>(),
        [id(3), id(2), id(1)]
    );
    apply(&mut jobs, 1, 0, &start(3)).unwrap();
    apply(&mut jobs, 1, 0, &JobChange::Cancel { job: id(2) }).unwrap();
    assert_eq!(jobs.next(owner), Some(id(1)));
    assert_eq!(jobs.owned(owner).count(), 2);
    let large = JobOutcome::Succeeded(vec![0; MAX_RESULT + 1].into());
    let refused = apply(&mut jobs, 1, 0, &finish(3, large));
    assert_eq!(refused, Err(JobRejection::TooLarge));
}
