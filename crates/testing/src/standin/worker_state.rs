//! The lease, the tasks and the refusals of a worker.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use lavenderhollow_platform::LeaseAnswer;
use lavenderhollow_platform::LeaseBody;
use lavenderhollow_platform::LeaseRef;
use lavenderhollow_platform::RebootBody;
use lavenderhollow_platform::RunningTask;
use lavenderhollow_platform::StartTask;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_platform::UsageReport;
use lavenderhollow_platform::WorkerRefusal;
use lavenderhollow_platform::WorkerRefusalKind;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RequestId;

/// The longest body that is counted. A limit keeps long measurements with large bodies small.
const MAX_COUNTED_BODY: usize = 64;

#[derive(Clone, Debug)]
struct Running {
    task: RunningTask,
    run_time: Duration,
    percent: u8,
    ended: Option<TaskStatus>,
}

/// The state of a worker; each call names the wall time.
#[derive(Clone, Debug, Default)]
pub struct WorkerState {
    lease: Option<LeaseRef>,
    tasks: BTreeMap<u64, Running>,
    next_key: u64,
    runs: HashMap<RequestId, u32>,
    bodies: BTreeMap<String, u32>,
    boots: u64,
}

/// Returns a refusal that names no attempt.
fn refusal(kind: WorkerRefusalKind, detail: &str) -> WorkerRefusal {
    WorkerRefusal {
        kind,
        detail: detail.to_owned(),
        attempt: None,
    }
}

/// Cuts a time to the millisecond, as messages carry it.
fn to_millis(time: SystemTime) -> SystemTime {
    let millis = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    UNIX_EPOCH + Duration::from_millis(u64::try_from(millis.as_millis()).unwrap_or(0))
}

impl WorkerState {
    /// Takes or renews the lease.
    ///
    /// # Errors
    ///
    /// Refuses while another entry's lease runs, and a new lease of a leaving worker.
    pub fn lease(
        &mut self,
        now: SystemTime,
        body: LeaseBody,
        leaving: bool,
    ) -> Result<LeaseAnswer, WorkerRefusal> {
        self.expire(now);
        match self.lease {
            Some(lease) if lease.holder != body.holder => {
                return Err(refusal(WorkerRefusalKind::OtherHolder, "lease runs"));
            }
            None if leaving => {
                return Err(refusal(WorkerRefusalKind::Leaving, "no new lease"));
            }
            _ => {}
        }
        let end = now.checked_add(body.seconds);
        let end = end.ok_or_else(|| refusal(WorkerRefusalKind::Invalid, "lease is too long"))?;
        let lease = LeaseRef {
            holder: body.holder,
            end: to_millis(end),
        };
        self.lease = Some(lease);
        Ok(LeaseAnswer {
            lease,
            left: lease.end.duration_since(now).unwrap_or_default(),
        })
    }

    /// Gives the lease back and drops the running tasks.
    ///
    /// # Errors
    ///
    /// Refuses unless `holder` holds the lease.
    pub fn release(&mut self, now: SystemTime, holder: Incarnation) -> Result<(), WorkerRefusal> {
        self.check_holder(now, holder)?;
        self.lease = None;
        self.drop_tasks();
        Ok(())
    }

    /// Starts a task and returns its key.
    ///
    /// # Errors
    ///
    /// Refuses without the running lease that the request names, without a free slot, and on a
    /// leaving worker.
    pub fn start(
        &mut self,
        now: SystemTime,
        start: &StartTask,
        slots: u32,
        leaving: bool,
    ) -> Result<u64, WorkerRefusal> {
        let admitted = self.admit(now, start.lease, slots, leaving);
        admitted.map_err(|refusal| WorkerRefusal {
            attempt: Some(start.attempt),
            ..refusal
        })?;
        let key = self.next_key;
        self.next_key += 1;
        *self.runs.entry(start.request).or_default() += 1;
        self.count_body(&start.body);
        let running = Running {
            task: RunningTask {
                request: start.request,
                attempt: start.attempt,
                ran: start.saved,
            },
            run_time: start.run_time,
            percent: 100,
            ended: None,
        };
        self.tasks.insert(key, running);
        Ok(key)
    }

    fn admit(
        &mut self,
        now: SystemTime,
        lease: LeaseRef,
        slots: u32,
        leaving: bool,
    ) -> Result<(), WorkerRefusal> {
        self.check_holder(now, lease.holder)?;
        let present = self.lease.is_some_and(|present| lease.end <= present.end);
        if lease.end <= now || !present {
            let detail = "the lease named in the request has ended or was never given";
            return Err(refusal(WorkerRefusalKind::NoLease, detail));
        }
        if leaving {
            return Err(refusal(WorkerRefusalKind::Leaving, "no new tasks"));
        }
        if self.running().count() >= slots as usize {
            return Err(refusal(WorkerRefusalKind::NoSlot, "all slots are taken"));
        }
        Ok(())
    }

    /// Lets a task run for `elapsed`; tells how it ended, once.
    pub fn step(&mut self, key: u64, now: SystemTime, elapsed: Duration) -> Option<TaskStatus> {
        self.expire(now);
        // A reboot forgets all tasks.
        let Some(running) = self.tasks.get_mut(&key) else {
            return Some(TaskStatus::Dropped);
        };
        if running.ended.is_none() {
            running.task.ran += elapsed * u32::from(running.percent) / 100;
            let over = running.task.ran >= running.run_time;
            running.ended = over.then_some(TaskStatus::Succeeded);
        }
        let ended = running.ended;
        if ended.is_some() {
            self.tasks.remove(&key);
        }
        ended
    }

    /// Returns how long a task has run, which a checkpoint saves.
    ///
    /// # Errors
    ///
    /// Refuses unless `holder` holds the lease and the task runs.
    pub fn checkpoint(
        &mut self,
        now: SystemTime,
        attempt: AttemptId,
        holder: Incarnation,
    ) -> Result<Duration, WorkerRefusal> {
        self.task(now, attempt, holder).map(|t| t.task.ran)
    }

    /// Sets the speed of a task.
    ///
    /// # Errors
    ///
    /// Refuses unless `holder` holds the lease and the task runs.
    pub fn throttle(
        &mut self,
        now: SystemTime,
        attempt: AttemptId,
        holder: Incarnation,
        percent: u8,
    ) -> Result<(), WorkerRefusal> {
        self.task(now, attempt, holder)?.percent = percent.min(100);
        Ok(())
    }

    /// Ends a task.
    ///
    /// # Errors
    ///
    /// Refuses unless `holder` holds the lease and the task runs.
    pub fn stop(
        &mut self,
        now: SystemTime,
        attempt: AttemptId,
        holder: Incarnation,
    ) -> Result<(), WorkerRefusal> {
        self.task(now, attempt, holder)?.ended = Some(TaskStatus::Stopped);
        Ok(())
    }

    /// Forgets the lease, and counts the boot. The count of runs stays, as it belongs to the test.
    ///
    /// # Errors
    ///
    /// Refuses while tasks run and while another entry's lease runs.
    pub fn reboot(&mut self, now: SystemTime, body: RebootBody) -> Result<(), WorkerRefusal> {
        self.expire(now);
        if self.lease.is_some_and(|lease| lease.holder != body.holder) {
            return Err(refusal(WorkerRefusalKind::OtherHolder, "lease runs"));
        }
        if self.boots != body.boots {
            return Err(refusal(WorkerRefusalKind::Invalid, "rebooted since"));
        }
        if self.running().count() > 0 {
            return Err(refusal(WorkerRefusalKind::Busy, "tasks run"));
        }
        self.lease = None;
        self.tasks.clear();
        self.boots += 1;
        Ok(())
    }

    /// Returns the present usage.
    pub fn usage(&mut self, now: SystemTime, slots: u32, leaving: bool) -> UsageReport {
        self.expire(now);
        UsageReport {
            as_of: to_millis(now),
            boots: self.boots,
            lease: self.lease,
            leaving,
            slots,
            running: self.running().map(|t| t.task.clone()).collect(),
        }
    }

    /// Returns how often each request was started.
    pub fn runs(&self) -> &HashMap<RequestId, u32> {
        &self.runs
    }

    /// Returns how often each short text body was started.
    pub fn bodies(&self) -> &BTreeMap<String, u32> {
        &self.bodies
    }

    fn count_body(&mut self, body: &[u8]) {
        if body.len() <= MAX_COUNTED_BODY
            && let Ok(text) = std::str::from_utf8(body)
        {
            *self.bodies.entry(text.to_owned()).or_default() += 1;
        }
    }

    fn running(&self) -> impl Iterator<Item = &Running> {
        self.tasks.values().filter(|task| task.ended.is_none())
    }

    fn task(
        &mut self,
        now: SystemTime,
        attempt: AttemptId,
        holder: Incarnation,
    ) -> Result<&mut Running, WorkerRefusal> {
        self.check_holder(now, holder)?;
        let mut running = self.tasks.values_mut();
        let task = running.find(|t| t.task.attempt == attempt && t.ended.is_none());
        task.ok_or_else(|| refusal(WorkerRefusalKind::NoTask, "no such attempt runs"))
    }

    fn check_holder(&mut self, now: SystemTime, holder: Incarnation) -> Result<(), WorkerRefusal> {
        self.expire(now);
        match self.lease {
            None => Err(refusal(WorkerRefusalKind::NoLease, "no lease runs")),
            Some(lease) if lease.holder != holder => {
                Err(refusal(WorkerRefusalKind::OtherHolder, "lease runs"))
            }
            Some(_) => Ok(()),
        }
    }

    fn expire(&mut self, now: SystemTime) {
        if self.lease.is_some_and(|lease| lease.end <= now) {
            self.lease = None;
            self.drop_tasks();
        }
    }

    fn drop_tasks(&mut self) {
        for task in self.tasks.values_mut() {
            task.ended.get_or_insert(TaskStatus::Dropped);
        }
    }
}
