//! Transitions of one job.

use std::time::SystemTime;

use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;

use super::change::JobRejection;
use super::job::Attempt;
use super::job::Job;
use super::job::JobOutcome;
use super::job::Stage;
use super::state::LEASE_MARGIN;
use super::state::MAX_RESULT;
use crate::exchange::Body;

/// Each transition checks everything before it changes anything.
impl Job {
    pub(super) fn start(&mut self, attempt: Attempt) -> Result<(), JobRejection> {
        if self.stage != Stage::Waiting {
            return Err(JobRejection::Stage);
        }
        self.attempts += 1;
        self.stage = Stage::Running(attempt);
        Ok(())
    }

    pub(super) fn put_back(
        &mut self,
        attempt: AttemptId,
        doubt: bool,
        now: SystemTime,
    ) -> Result<(), JobRejection> {
        self.check_running(Some(attempt))?;
        if doubt && !self.spec.idempotent {
            return Err(JobRejection::Doubt);
        }
        self.doubt |= doubt;
        self.stage = Stage::Waiting;
        if self.cancelled {
            self.end_unrun(None, now);
        }
        Ok(())
    }

    pub(super) fn finish(
        &mut self,
        attempt: Option<AttemptId>,
        outcome: &JobOutcome,
        now: SystemTime,
    ) -> Result<(), JobRejection> {
        let ran = matches!(outcome, JobOutcome::Succeeded(_) | JobOutcome::Failed(_));
        if self.doubt && matches!(outcome, JobOutcome::NotRun(_)) {
            return Err(JobRejection::Doubt);
        }
        if matches!(outcome, JobOutcome::Succeeded(body) if body.as_ref().len() > MAX_RESULT) {
            return Err(JobRejection::TooLarge);
        }
        match &self.stage {
            Stage::Waiting if attempt.is_none() && !ran => {}
            Stage::Running(_) => self.check_running(attempt)?,
            Stage::Finished {
                attempt: last,
                outcome: JobOutcome::MayHaveRun(_),
                ..
            } if ran && attempt.is_some() && *last == attempt => {}
            Stage::Waiting | Stage::Finished { .. } => return Err(JobRejection::Stage),
        }
        self.end(attempt, outcome.clone(), now);
        Ok(())
    }

    pub(super) fn cancel(&mut self, now: SystemTime) -> Result<(), JobRejection> {
        match &self.stage {
            Stage::Waiting => self.end_unrun(None, now),
            Stage::Running(_) if !self.cancelled => self.cancelled = true,
            Stage::Running(_) | Stage::Finished { .. } => return Err(JobRejection::Stage),
        }
        Ok(())
    }

    pub(super) fn take_over(
        &mut self,
        actor: Incarnation,
        attempt: Option<AttemptId>,
        now: SystemTime,
    ) -> Result<(), JobRejection> {
        match &self.stage {
            Stage::Waiting if attempt.is_none() && self.owner != actor => self.owner = actor,
            Stage::Running(running) if Some(running.id) == attempt && self.owner != actor => {
                if now <= running.lapse + LEASE_MARGIN {
                    return Err(JobRejection::LeaseHeld);
                }
                self.doubt = true;
                if self.spec.idempotent && !self.cancelled {
                    self.owner = actor;
                    self.stage = Stage::Waiting;
                } else {
                    self.end_unrun(attempt, now);
                }
            }
            _ => return Err(JobRejection::Stage),
        }
        Ok(())
    }

    fn check_running(&self, attempt: Option<AttemptId>) -> Result<(), JobRejection> {
        match &self.stage {
            Stage::Running(running) if Some(running.id) == attempt => Ok(()),
            _ => Err(JobRejection::Stage),
        }
    }

    fn end_unrun(&mut self, attempt: Option<AttemptId>, now: SystemTime) {
        let outcome = if self.doubt {
            JobOutcome::MayHaveRun(Doubt::new("an attempt brought no answer"))
        } else {
            JobOutcome::NotRun(Refusal::new(RefusalKind::Cancelled, "job was cancelled"))
        };
        self.end(attempt, outcome, now);
    }

    fn end(&mut self, attempt: Option<AttemptId>, outcome: JobOutcome, at: SystemTime) {
        // The request body is of no use any more.
        self.spec.body = Body::default();
        self.stage = Stage::Finished {
            attempt,
            outcome,
            at,
        };
    }
}
