//! Durable jobs of this entry: submission, attempts and takeover.

mod attempt;
mod takeover;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_core::fold::Outcome;
use lavenderhollow_core::jobs::Attempt;
use lavenderhollow_core::jobs::Job;
use lavenderhollow_core::jobs::JobChange;
use lavenderhollow_core::jobs::JobOutcome;
use lavenderhollow_core::jobs::JobRejection;
use lavenderhollow_core::jobs::JobSpec;
use lavenderhollow_core::jobs::Stage;
use lavenderhollow_core::zone::ZoneRejection;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::JobId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;
use tokio::sync::Notify;

use crate::context::Context;
use crate::context::RETRY_AFTER;
use crate::message::JobState;
use crate::message::JobView;
use crate::metric;

/// How long a submission waits for its record to be read back.
const SUBMIT_LIMIT: Duration = Duration::from_secs(4);

/// How often jobs are looked at without a reason.
const SWEEP: Duration = Duration::from_millis(500);

/// How long a record of the sweep is waited for before it is submitted again.
const RECORD_WAIT: Duration = Duration::from_secs(3);

/// The jobs that tasks of this process work on.
#[derive(Default)]
pub(crate) struct DurableJobs {
    pub(crate) wake: Notify,
    active: Mutex<BTreeSet<JobId>>,
    gone: Mutex<BTreeMap<Incarnation, Instant>>,
    /// Jobs with a record under way that the sweep would submit again.
    asked: Mutex<BTreeMap<JobId, Instant>>,
    /// Holders whose reclaim is under way.
    reclaimed: Mutex<BTreeMap<Incarnation, Instant>>,
    /// Cancelled jobs whose workers were told to stop them.
    stopped: Mutex<BTreeMap<JobId, Instant>>,
}

impl DurableJobs {
    fn active(&self) -> MutexGuard<'_, BTreeSet<JobId>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the sweep may submit a record for a job now, and notes that it does.
    fn may_ask(&self, job: JobId, now: Instant) -> bool {
        note_once(&self.asked, job, now)
    }

    /// Tells whether a reclaim may be submitted now, and notes that it is.
    fn may_reclaim(&self, holder: Incarnation, now: Instant) -> bool {
        note_once(&self.reclaimed, holder, now)
    }

    /// Tells whether the worker of a cancelled job may be called now, and notes that it is.
    fn may_stop(&self, job: JobId, now: Instant) -> bool {
        note_once(&self.stopped, job, now)
    }

    /// Returns the number of jobs that are worked on.
    pub(crate) fn open(&self) -> usize {
        self.active().len()
    }
}

/// Notes the time of a record and returns true, unless one was noted less than `RECORD_WAIT` ago.
fn note_once<K: Ord>(noted: &Mutex<BTreeMap<K, Instant>>, key: K, now: Instant) -> bool {
    let mut noted = noted.lock().unwrap_or_else(PoisonError::into_inner);
    noted.retain(|_, at| now < *at + RECORD_WAIT);
    // An earlier time stays: a caller that asks again and again must be let through in the end.
    match noted.contains_key(&key) {
        true => false,
        false => noted.insert(key, now).is_none(),
    }
}

/// Stores a job in the log.
///
/// # Errors
///
/// Refuses the job. It was not stored, or its storing will end as not run.
pub(crate) async fn submit(cx: &Context, job: JobId, spec: JobSpec) -> Result<(), Refusal> {
    let submitted = spec.clone();
    let change = JobChange::Submit {
        job,
        spec: Box::new(spec),
    };
    let outcome = cx
        .streams
        .zone
        .propose(change.into(), None, SUBMIT_LIMIT)
        .await;
    match outcome {
        Ok(Outcome::Accepted(_)) => {
            metrics::counter!(metric::JOBS, "event" => "submitted").increment(1);
            cx.jobs.wake.notify_one();
            Ok(())
        }
        Ok(Outcome::Rejected(ZoneRejection::Job(JobRejection::Exists))) => {
            repeated(cx, job, &submitted)
        }
        Ok(outcome) => {
            let detail = match outcome {
                Outcome::Rejected(rejection) => rejection.to_string(),
                _ => "the log refused the job".to_owned(),
            };
            Err(Refusal::new(RefusalKind::Invalid, detail))
        }
        Err(error) => {
            withdraw(cx, job);
            let refusal = Refusal::new(RefusalKind::LogUnavailable, error.to_string());
            Err(refusal.retry_after(RETRY_AFTER))
        }
    }
}

/// A repeated submission is the same job when team, queue and body are the same. A finished job
/// has no body any more, so that team and queue decide.
fn repeated(cx: &Context, job: JobId, spec: &JobSpec) -> Result<(), Refusal> {
    let same = cx.streams.zone.read(|fold| {
        let known = fold.state().jobs.get(job);
        known.is_some_and(|known| {
            let finished = matches!(known.stage, Stage::Finished { .. });
            let same = (&known.spec.team, &known.spec.queue) == (&spec.team, &spec.queue);
            same && (finished || known.spec.body == spec.body)
        })
    });
    if same {
        return Ok(());
    }
    let detail = "the idempotency key was used for another job";
    Err(Refusal::new(RefusalKind::Invalid, detail))
}

/// Cancels a job whose submission was refused but may still be stored.
fn withdraw(cx: &Context, job: JobId) {
    cx.streams
        .zone
        .submit(JobChange::Cancel { job }.into(), None);
}

/// Returns a job of a team.
pub(crate) fn view(cx: &Context, team: &TeamName, id: JobId) -> Option<JobView> {
    let job = cx
        .streams
        .zone
        .read(|fold| fold.state().jobs.get(id).cloned())?;
    (job.spec.team == *team).then(|| describe(id, job))
}

fn describe(id: JobId, job: Job) -> JobView {
    let (state, detail, result) = match job.stage {
        Stage::Waiting => (JobState::Waiting, None, None),
        Stage::Running(_) => (JobState::Running, None, None),
        Stage::Finished { outcome, .. } => match outcome {
            JobOutcome::Succeeded(body) => {
                (JobState::Succeeded, None, Some(body.as_ref().to_vec()))
            }
            JobOutcome::Failed(detail) => (JobState::Failed, Some(detail), None),
            JobOutcome::NotRun(refusal) => (JobState::NotRun, Some(refusal.detail), None),
            JobOutcome::MayHaveRun(doubt) => (JobState::MayHaveRun, Some(doubt.detail), None),
        },
    };
    JobView {
        job: id,
        state,
        attempts: job.attempts,
        detail,
        result,
    }
}

/// Asks for the cancellation of a job.
pub(crate) async fn cancel(cx: &Context, job: JobId) -> Result<(), Refusal> {
    let change = JobChange::Cancel { job };
    let outcome = cx
        .streams
        .zone
        .propose(change.into(), None, SUBMIT_LIMIT)
        .await;
    outcome.map(drop).map_err(|error| {
        Refusal::new(RefusalKind::LogUnavailable, error.to_string()).retry_after(RETRY_AFTER)
    })
}

/// Starts waiting jobs and takes over those of gone entries, for ever.
pub(crate) async fn keep(cx: &Arc<Context>) {
    loop {
        let _ = tokio::time::timeout(SWEEP, cx.jobs.wake.notified()).await;
        if cx.gate.is_closing() {
            continue;
        }
        stop_cancelled(cx);
        start_waiting(cx);
        takeover::take_over(cx);
    }
}

/// Stops the tasks of cancelled jobs. The attempt's own answer records the end of the job.
fn stop_cancelled(cx: &Arc<Context>) {
    let tasks: Vec<(JobId, Attempt)> = cx.streams.zone.read(|fold| {
        let jobs = &fold.state().jobs;
        let owned = jobs.owned(cx.incarnation).filter_map(|id| {
            let job = jobs.get(id).filter(|job| job.cancelled)?;
            match &job.stage {
                Stage::Running(attempt) => Some((id, attempt.clone())),
                _ => None,
            }
        });
        owned.collect()
    });
    for (job, attempt) in tasks {
        let Some(address) = cx.targets.address(&attempt.worker) else {
            continue;
        };
        if cx.jobs.may_stop(job, cx.clock.now()) {
            let cx = Arc::clone(cx);
            tokio::spawn(async move {
                // A task that has ended meanwhile is unknown to the worker. After another failure
                // the sweep tries again.
                let stopped = cx.workers.stop(address, attempt.id, cx.incarnation);
                if let Err(error) = stopped.await {
                    log::debug!("cancelled job {job} was not stopped: {error}");
                }
            });
        }
    }
}

fn start_waiting(cx: &Arc<Context>) {
    let (waiting, stranded) = cx.streams.zone.read(|fold| {
        let jobs = &fold.state().jobs;
        let waiting: Vec<JobId> = jobs.waiting(cx.incarnation).collect();
        let running = jobs.owned(cx.incarnation).filter_map(|id| {
            let job = jobs.get(id)?;
            match &job.stage {
                Stage::Running(attempt) => Some((id, attempt.id)),
                _ => None,
            }
        });
        (waiting, running.collect::<Vec<_>>())
    });
    let mut active = cx.jobs.active();
    for (job, attempt) in stranded {
        // No task works on the job, so that its recorded attempt was never sent.
        if !active.contains(&job) && cx.jobs.may_ask(job, cx.clock.now()) {
            let doubt = false;
            let change = JobChange::Return {
                job,
                attempt,
                doubt,
            };
            cx.streams.zone.submit(change.into(), None);
        }
    }
    for job in waiting {
        if active.insert(job) {
            let cx = Arc::clone(cx);
            tokio::spawn(async move {
                attempt::work(&cx, job).await;
                cx.jobs.active().remove(&job);
                cx.jobs.wake.notify_one();
            });
        }
    }
}
