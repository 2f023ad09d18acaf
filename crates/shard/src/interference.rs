//! Throttling best-effort tasks that interfere with latency-sensitive tasks on the same worker.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::Name;
use crate::shard::Effect;
use crate::shard::Shard;
use crate::tracked_job::Phase;
use crate::worker::RunId;

/// Best-effort tasks are throttled once the tail latency of a task exceeds this ratio of its
/// latency target. The reported latencies are rough and half a second old, so a margin is needed.
const THROTTLE_ABOVE: f64 = 0.85;

/// Best-effort tasks are sped up while every tail latency is below this ratio of its target.
const SPEED_UP_BELOW: f64 = 0.6;

/// The shortest time between two changes on a worker, so that the reported latencies show the
/// effect of the first.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(700);

/// By how many percentage points the processor share of a best-effort task grows in one change.
const CPU_PERCENT_STEP: u32 = 15;

/// A reduced processor share below this many percent becomes zero.
const MIN_CPU_PERCENT: u32 = 20;

impl Shard {
    /// Adjusts the processor shares of a worker's best-effort tasks to the tail latencies that its
    /// tasks with a latency target report.
    pub(crate) fn adjust_throttling(&mut self, now: Instant, worker_id: &Name) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        if worker
            .throttled_at
            .is_some_and(|at| now.saturating_duration_since(at) < THROTTLE_INTERVAL)
        {
            return;
        }
        let (mut worst_ratio, mut best_effort_runs) = (0.0f64, Vec::new());
        for &id in &worker.runs {
            let Some(job) = self.jobs.get(&id.task.job) else {
                continue;
            };
            let Some(step) = job.job.steps.get(usize::from(id.task.step)) else {
                continue;
            };
            let Some(run) = self.run(id) else {
                continue;
            };
            if !matches!(run.phase, Phase::Running { .. }) {
                continue;
            }
            if let Some(target) = step.latency_target {
                let target = target.as_secs_f64() * 1_000.0;
                worst_ratio = worst_ratio.max(run.metric as f64 / target.max(1.0));
            } else if step.best_effort {
                best_effort_runs.push((id, run.cpu_percent));
            }
        }
        let changes: Vec<(RunId, u32)> = best_effort_runs
            .into_iter()
            .filter_map(|(id, cpu_percent)| {
                let next = next_cpu_percent(cpu_percent, worst_ratio);
                (next != cpu_percent).then_some((id, next))
            })
            .collect();
        if changes.is_empty() {
            return;
        }
        for &(id, cpu_percent) in &changes {
            if let Some(run) = self.run_mut(id) {
                run.cpu_percent = cpu_percent;
            }
            self.effects
                .push(Effect::Throttle(Arc::clone(worker_id), id, cpu_percent));
        }
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.throttled_at = Some(now);
        }
        self.log_event("throttling_changed", worker_id, || {
            let percent = (worst_ratio * 100.0).round();
            format!("worst_tail_percent={percent} changed={}", changes.len())
        });
    }

    /// Handles an [`Effect::Throttle`] that the worker did not confirm. The next report from the
    /// worker sets the processor share again.
    pub fn handle_throttle_failure(&mut self, worker_id: &Name, id: RunId) {
        if let Some(run) = self.run_mut(id).filter(|r| r.worker == *worker_id) {
            // Differs from every share that can be set, so the next report causes a change.
            run.cpu_percent = UNKNOWN_CPU_PERCENT;
        }
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.throttled_at = None;
        }
    }
}

/// The value for a processor share that is not known. Greater than any real share.
const UNKNOWN_CPU_PERCENT: u32 = 101;

/// Returns the new processor share of a best-effort task in percent, given its current share and
/// the highest ratio of tail latency to latency target on the worker.
fn next_cpu_percent(cpu_percent: u32, worst_ratio: f64) -> u32 {
    if worst_ratio > 1.0 {
        0
    } else if worst_ratio > THROTTLE_ABOVE {
        let half = cpu_percent / 2;
        if half < MIN_CPU_PERCENT { 0 } else { half }
    } else if worst_ratio < SPEED_UP_BELOW {
        (cpu_percent + CPU_PERCENT_STEP).min(100)
    } else {
        cpu_percent.min(100)
    }
}
