//! Jobs as submitted by callers, and the limits that a submission has to respect.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// A shared, immutable string: a name, or another text that is copied often, such as a payload.
pub type Name = Arc<str>;

/// The number of hexadecimal digits in the text form of a job id.
const JOB_ID_DIGITS: usize = 16;

/// The maximum number of steps in a job.
pub const MAX_STEPS: usize = 64;

/// The maximum number of tasks in one occurrence of a job, over all its steps.
pub const MAX_TASKS: u64 = 5_000;

/// The maximum number of occurrences of a repeated job.
pub const MAX_OCCURRENCES: u32 = 10_000;

/// The maximum size of a job's payload in bytes, set by the job API.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// The maximum size of each name in a step, in bytes: of a label, a rack or an image.
///
/// With it, a job fits into one record of the store, whatever names it has.
pub const MAX_NAME_BYTES: usize = 1_000;

/// The maximum amount of each resource that a task may request, in the unit of that resource.
///
/// It is far more than any machine has, and small enough that sums over all tasks don't overflow.
pub const MAX_RESOURCE: u64 = 1_000_000_000;

/// The maximum estimate of a task's run time.
///
/// Sums over all steps of a job stay within the range of [`Instant`](std::time::Instant).
pub const MAX_ESTIMATE: Duration = Duration::from_secs(366 * 24 * 3_600);

/// The id of a job, chosen by the caller that submits it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

/// The error for a string that is not a job id.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a job id has {JOB_ID_DIGITS} lower-case hexadecimal digits")]
pub struct InvalidJobId;

impl FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<Self, InvalidJobId> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(is_digit) {
            return Err(InvalidJobId);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| InvalidJobId)
    }
}

/// The id of a task: one index of one step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The zero-based number of the occurrence; always zero for a job that is not repeated.
    pub occurrence: u32,
    /// The zero-based index of the step in [`Job::steps`].
    pub step: u16,
    /// The zero-based index of the task within its step.
    pub index: u32,
}

/// The error for a string that is not a task id.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a task id has the form JOB.OCCURRENCE.STEP.INDEX")]
pub struct InvalidTaskId;

impl FromStr for TaskId {
    type Err = InvalidTaskId;

    fn from_str(text: &str) -> Result<Self, InvalidTaskId> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(InvalidTaskId);
        let id = Self {
            job: next()?.parse().map_err(|_| InvalidTaskId)?,
            occurrence: next()?.parse().map_err(|_| InvalidTaskId)?,
            step: next()?.parse().map_err(|_| InvalidTaskId)?,
            index: next()?.parse().map_err(|_| InvalidTaskId)?,
        };
        match parts.next() {
            Some(_) => Err(InvalidTaskId),
            None => Ok(id),
        }
    }
}

/// Amounts of resources, requested by a task or offered by a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in millicores.
    pub cpu: u64,
    /// Memory, in MiB.
    pub memory: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Adds `other` to these resources.
    pub fn add(&mut self, other: Self) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }

    /// Subtracts `other` from these resources, stopping at zero.
    pub fn sub(&mut self, other: Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }

    /// Returns these resources multiplied by `factor`, rounded down.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        let multiply = |amount: u64| (amount as f64 * factor) as u64;
        Self {
            cpu: multiply(self.cpu),
            memory: multiply(self.memory),
            gpu: multiply(self.gpu),
        }
    }

    /// Returns the minimum of the two amounts of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Returns the maximum of the two amounts of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns whether a capacity of `self`, of which `used` is allocated, has room for `request`.
    pub fn fits(self, used: Self, request: Self) -> bool {
        used.cpu + request.cpu <= self.cpu
            && used.memory + request.memory <= self.memory
            && used.gpu + request.gpu <= self.gpu
    }

    /// Returns how many times a capacity of `self`, of which `used` is allocated, has room for
    /// `request`; a very large number for an empty request.
    pub fn count_fitting(self, used: Self, request: Self) -> u64 {
        let count = |capacity: u64, used: u64, request: u64| {
            let free = capacity.checked_sub(used);
            free.map_or(0, |free| {
                free.checked_div(request).unwrap_or(u32::MAX.into())
            })
        };
        count(self.cpu, used.cpu, request.cpu)
            .min(count(self.memory, used.memory, request.memory))
            .min(count(self.gpu, used.gpu, request.gpu))
    }

    /// Returns whether no resource exceeds `limit`; a limit of zero means that it is unlimited.
    pub fn within_limit(self, limit: Self) -> bool {
        let within = |value: u64, limit: u64| limit == 0 || value <= limit;
        within(self.cpu, limit.cpu)
            && within(self.memory, limit.memory)
            && within(self.gpu, limit.gpu)
    }
}

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task requests.
    pub resources: Resources,
    /// The run time of a task as estimated by the caller, which may be far off.
    pub estimate: Duration,
    /// The indexes of earlier steps whose tasks must all be done before this step starts.
    pub depends_on: Vec<u16>,
    /// Whether the tasks write checkpoints, from which a later run can resume.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: they only make progress while all of them run.
    pub gang: bool,
    /// Whether the tasks run more slowly when they are spread over several racks.
    pub same_rack: bool,
    /// The label that a worker must have to run the tasks, if any.
    pub required_label: Option<Name>,
    /// The rack that holds the input data; workers in it are preferred.
    pub data_rack: Option<Name>,
    /// The maximum number of this step's tasks of one occurrence on the same worker.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of the same task may execute in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled, as services do.
    pub long_running: bool,
    /// The image that the tasks run; tasks with the same image are assumed to behave alike.
    pub image: Option<Name>,
    /// The tail latency that a task should not exceed; set for tasks that serve users of their own.
    pub latency_target: Option<Duration>,
    /// Whether the tasks are best-effort: they only use processor time that other tasks leave idle.
    pub best_effort: bool,
    /// The disruption budget: how many tasks may be unavailable at once because the system evicted
    /// them or took their machines down. Zero means no limit.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the part of a worker's capacity that a task is allocated.
    ///
    /// A best-effort task is allocated no processor time.
    pub fn allocation(&self) -> Resources {
        let mut allocation = self.resources;
        if self.best_effort {
            allocation.cpu = 0;
        }
        allocation
    }
}

/// The schedule of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// The scheduled time of the first occurrence, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// The time from one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
    /// The total number of occurrences.
    pub count: u32,
}

/// The settings for a queue whose policy service decides which workers may run a step.
///
/// The policy service issues a ticket for each worker that it allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPolicy {
    /// The configured upper bound for how long a ticket is valid. Placement uses the validity that
    /// came with the ticket.
    pub ticket_ttl: Duration,
}

/// The settings of a job's queue, copied when the job is submitted.
///
/// Later changes of the configuration don't affect the job, apart from the policy service: the workers
/// decide by the configuration in force whether a start needs a ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// The name of the queue.
    pub name: Name,
    /// The pool whose workers run the tasks.
    pub pool: Name,
    /// The priority; zero is the most urgent.
    pub priority: u32,
    /// The number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// The variable part of the job's objective, as a multiple of its critical path; see
    /// [`Job::objective`].
    pub slack_factor: f64,
    /// The fixed part of the job's objective.
    pub base_objective: Duration,
    /// Set if tasks of the queue need a ticket of the policy service to start. It holds only for a queue
    /// that the owner's configuration lacks; see
    /// [`Shard::set_queue_policies`](crate::Shard::set_queue_policies).
    pub policy: Option<PlacementPolicy>,
}

/// A job as the caller submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The id that the caller chose.
    pub id: JobId,
    /// The settings of the queue at the time of the submission.
    pub queue: QueueSettings,
    /// The team whose API key the job was submitted with; unset for an anonymous submission.
    pub team: Option<Name>,
    /// The text that is passed to every task, at most [`MAX_PAYLOAD_BYTES`] long.
    pub payload: Name,
    /// The steps, each after those that it depends on.
    pub steps: Vec<Step>,
    /// The schedule, if the job is repeated.
    pub repeat: Option<Repeat>,
}

/// The reason why a submitted job is invalid.
///
/// Unlike a rejection by admission control, it doesn't depend on the state of the system.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidJob {
    /// The job has no steps or more than [`MAX_STEPS`].
    #[display("a job has 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step has no tasks, or the job has more than [`MAX_TASKS`].
    #[display("a step has at least one task, and a job at most {MAX_TASKS}")]
    Tasks,
    /// A task requests more than [`MAX_RESOURCE`], or its estimate exceeds [`MAX_ESTIMATE`].
    #[display(
        "step {step} needs more than {MAX_RESOURCE} of a resource or more than {} s a task",
        MAX_ESTIMATE.as_secs()
    )]
    Resources {
        /// The zero-based index of the step in the job.
        step: usize,
    },
    /// A step depends on itself or on a later step.
    #[display("step {step} may only wait for earlier steps")]
    Dependency {
        /// The zero-based index of the step in the job.
        step: usize,
    },
    /// A name in a step is longer than [`MAX_NAME_BYTES`].
    #[display("a name in step {step} has more than {MAX_NAME_BYTES} bytes")]
    Name {
        /// The zero-based index of the step in the job.
        step: usize,
    },
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[display("the text has more than {MAX_PAYLOAD_BYTES} bytes")]
    Payload,
    /// The job has more than [`MAX_OCCURRENCES`] occurrences.
    #[display("a job repeats at most {MAX_OCCURRENCES} times")]
    Occurrences,
}

impl Job {
    /// Checks the job against the limits of the job API.
    ///
    /// # Errors
    ///
    /// Returns the first violation that is found.
    pub fn validate(&self) -> Result<(), InvalidJob> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(InvalidJob::Steps);
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if tasks > MAX_TASKS || self.steps.iter().any(|s| s.count == 0) {
            return Err(InvalidJob::Tasks);
        }
        let within_bounds = |s: &Step| {
            let Resources { cpu, memory, gpu } = s.resources;
            cpu.max(memory).max(gpu) <= MAX_RESOURCE && s.estimate <= MAX_ESTIMATE
        };
        if let Some(step) = self.steps.iter().position(|s| !within_bounds(s)) {
            return Err(InvalidJob::Resources { step });
        }
        let refers_back = |(i, s): (usize, &Step)| s.depends_on.iter().all(|&a| usize::from(a) < i);
        if let Some(step) = self.steps.iter().enumerate().position(|e| !refers_back(e)) {
            return Err(InvalidJob::Dependency { step });
        }
        let is_long = |s: &Step| {
            let names = [&s.required_label, &s.data_rack, &s.image];
            let mut names = names.into_iter().flatten();
            names.any(|name| name.len() > MAX_NAME_BYTES)
        };
        if let Some(step) = self.steps.iter().position(is_long) {
            return Err(InvalidJob::Name { step });
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(InvalidJob::Payload);
        }
        if self.repeat.is_some_and(|r| r.count > MAX_OCCURRENCES) {
            return Err(InvalidJob::Occurrences);
        }
        Ok(())
    }

    /// Returns about how much memory the job takes, in bytes.
    pub fn approximate_size(&self) -> usize {
        let step_size = |step: &Step| {
            let names = [&step.required_label, &step.data_rack, &step.image];
            let names: usize = names.into_iter().flatten().map(|name| name.len()).sum();
            size_of::<Step>() + names + step.depends_on.len() * size_of::<u16>()
        };
        let steps: usize = self.steps.iter().map(step_size).sum();
        size_of::<Self>() + self.payload.len() + steps
    }

    /// Returns whether any step of the job has tasks that run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }

    /// Returns the estimated run time of the longest chain of dependent steps.
    pub fn critical_path(&self) -> Duration {
        let mut finish_times: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready_times = step
                .depends_on
                .iter()
                .filter_map(|&a| finish_times.get(usize::from(a)));
            let start = ready_times.max().copied().unwrap_or_default();
            finish_times.push(start + step.estimate);
        }
        finish_times.into_iter().max().unwrap_or_default()
    }

    /// Returns the time from submission within which the job should complete.
    ///
    /// It is the critical path times the queue's slack factor, plus the queue's base objective.
    pub fn objective(&self) -> Duration {
        let slack = self.queue.slack_factor.clamp(0.0, 1_000.0);
        self.critical_path().mul_f64(slack) + self.queue.base_objective
    }

    /// Returns the estimated processor time of one occurrence, in core-milliseconds.
    pub fn work(&self) -> u64 {
        let of_step = |s: &Step| {
            let estimate = u64::try_from(s.estimate.as_millis()).unwrap_or(u64::MAX);
            s.resources
                .cpu
                .saturating_mul(estimate)
                .saturating_mul(s.count.into())
                / 1_000
        };
        self.steps.iter().map(of_step).fold(0, u64::saturating_add)
    }
}

/// The state of a job as reported to callers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobState {
    /// The job is accepted and none of its tasks has started.
    #[display("queued")]
    Queued,
    /// At least one task has started.
    #[display("running")]
    Running,
    /// All tasks of all occurrences are done.
    #[display("completed")]
    Completed,
    /// A task failed [`QueueSettings::max_attempts`] times.
    #[display("failed")]
    Failed,
    /// The job was cancelled by a caller.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Returns whether the state is final, so that it can't change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
