//! Jobs as callers submit them.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// A shared immutable name.
pub type Name = Arc<str>;

/// The number of hexadecimal digits of a job's id.
const JOB_ID_DIGITS: usize = 16;

/// The most steps that one job may have.
pub const MAX_STEPS: usize = 64;

/// The most tasks that one job may have over all steps of one occurrence.
pub const MAX_TASKS: u64 = 5_000;

/// The most occurrences of a repeated job.
pub const MAX_OCCURRENCES: u32 = 10_000;

/// The longest text handed to tasks, in bytes; the interface's limit.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// The most of each resource that a task may need, in the resource's unit; far beyond any machine,
/// and small enough that sums over all tasks do not overflow.
pub const MAX_RESOURCE: u64 = 1_000_000_000;

/// The longest estimate of a task's run time; sums over all steps stay within the clock's range.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(366 * 24 * 3_600);

/// The id that the caller chose for a job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

/// A text that is not a job id.
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
    /// The job.
    pub job: JobId,
    /// The occurrence, counted from zero.
    pub occurrence: u32,
    /// The step, counted from zero.
    pub step: u16,
    /// The task within the step, counted from zero.
    pub index: u32,
}

/// A text that is not a task id.
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

/// What a task needs, or a worker offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MiB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Adds other resources.
    pub fn add(&mut self, other: Self) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }

    /// Subtracts other resources, not below zero.
    pub fn sub(&mut self, other: Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }

    /// Returns these resources times a factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        let times = |amount: u64| (amount as f64 * factor) as u64;
        Self {
            cpu: times(self.cpu),
            memory: times(self.memory),
            gpu: times(self.gpu),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Tells whether `need` fits into what `used` leaves of these resources.
    pub fn fits(self, used: Self, need: Self) -> bool {
        used.cpu + need.cpu <= self.cpu
            && used.memory + need.memory <= self.memory
            && used.gpu + need.gpu <= self.gpu
    }

    /// Tells whether these resources stay within `limit`, where zero means no limit.
    pub fn within_limit(self, limit: Self) -> bool {
        let within = |value: u64, limit: u64| limit == 0 || value <= limit;
        within(self.cpu, limit.cpu)
            && within(self.memory, limit.memory)
            && within(self.gpu, limit.gpu)
    }
}

/// A step of a job: tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// What each task needs.
    pub resources: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u16>,
    /// Whether the tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks slow down when they are spread over racks.
    pub same_rack: bool,
    /// The label that a worker must have.
    pub required_label: Option<Name>,
    /// The rack that holds the data.
    pub data_rack: Option<Name>,
    /// The most tasks of an occurrence on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Name>,
    /// The bound of the tail latency of a task that serves users of its own.
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only the processor time that others leave.
    pub best_effort: bool,
    /// How many tasks may be unavailable at once through actions of the system; zero: no bound.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns what a task takes of a worker's capacity.
    pub fn allocation(&self) -> Resources {
        let mut allocation = self.resources;
        if self.best_effort {
            allocation.cpu = 0;
        }
        allocation
    }
}

/// When the steps of a repeated job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub start_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// The number of occurrences.
    pub count: u32,
}

/// How a queue's policy service tells which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPolicy {
    /// The longest time that a ticket is used for.
    pub ticket_ttl: Duration,
}

/// The settings of a job's queue when the job was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// The queue.
    pub name: Name,
    /// The pool whose workers run the tasks.
    pub pool: Name,
    /// Zero is the most urgent.
    pub priority: u32,
    /// How many failed runs end a task's job.
    pub max_attempts: u32,
    /// The objective is this factor times the longest chain of work, and `latency` more.
    pub slack_factor: f64,
    /// The fixed part of the objective.
    pub base_objective: Duration,
    /// Set when starts need tickets.
    pub policy: Option<PlacementPolicy>,
}

/// A job as the caller submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The caller's id.
    pub id: JobId,
    /// The queue's settings at the submission.
    pub queue: QueueSettings,
    /// The team whose key came with the job.
    pub team: Option<Name>,
    /// The text that is handed to every task.
    pub payload: Name,
    /// The steps.
    pub steps: Vec<Step>,
    /// Set for a repeated job.
    pub repeat: Option<Repeat>,
}

/// Why a job can't be accepted in any state of the system.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidJob {
    /// There is no step, or too many.
    #[display("a job has 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step has no task, or the job has too many.
    #[display("a step has at least one task, and a job at most {MAX_TASKS}")]
    Tasks,
    /// A task needs more than any machine has, or its estimate is absurd.
    #[display(
        "step {step} needs more than {MAX_RESOURCE} of a resource or more than {} s a task",
        MAX_ESTIMATE.as_secs()
    )]
    Resources {
        /// The step.
        step: usize,
    },
    /// A step waits for itself or for a later one.
    #[display("step {step} may only wait for earlier steps")]
    Dependency {
        /// The step.
        step: usize,
    },
    /// The text is too long.
    #[display("the text has more than {MAX_PAYLOAD_BYTES} bytes")]
    Payload,
    /// The job repeats too often.
    #[display("a job repeats at most {MAX_OCCURRENCES} times")]
    Occurrences,
}

impl Job {
    /// Checks what the interface allows.
    ///
    /// # Errors
    ///
    /// Fails with the first thing that is not allowed.
    pub fn validate(&self) -> Result<(), InvalidJob> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(InvalidJob::Steps);
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if tasks > MAX_TASKS || self.steps.iter().any(|s| s.count == 0) {
            return Err(InvalidJob::Tasks);
        }
        let sized = |s: &Step| {
            let Resources { cpu, memory, gpu } = s.resources;
            cpu.max(memory).max(gpu) <= MAX_RESOURCE && s.estimate <= MAX_ESTIMATE
        };
        if let Some(step) = self.steps.iter().position(|s| !sized(s)) {
            return Err(InvalidJob::Resources { step });
        }
        let backward = |(i, s): (usize, &Step)| s.depends_on.iter().all(|&a| usize::from(a) < i);
        if let Some(step) = self.steps.iter().enumerate().position(|e| !backward(e)) {
            return Err(InvalidJob::Dependency { step });
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(InvalidJob::Payload);
        }
        if self.repeat.is_some_and(|r| r.count > MAX_OCCURRENCES) {
            return Err(InvalidJob::Occurrences);
        }
        Ok(())
    }

    /// Tells whether some of the job's tasks run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }

    /// Returns the estimated time of the longest chain of steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begins = step
                .depends_on
                .iter()
                .filter_map(|&a| ends.get(usize::from(a)));
            let begin = begins.max().copied().unwrap_or_default();
            ends.push(begin + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the time within which the job should be completed.
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

/// What callers see of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task failed too often.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Tells whether the job can't change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
