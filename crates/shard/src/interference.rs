//! Slowing down filling tasks that disturb serving tasks on the same worker.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::Name;
use crate::shard::Effect;
use crate::shard::Shard;
use crate::tracked_job::Phase;
use crate::worker::RunId;

/// Filling tasks are slowed down once a serving task's tail exceeds this share of its target. The
/// figures are rough and half a second old, so that there has to be a margin.
const SLOW_DOWN_AT: f64 = 0.85;

/// Filling tasks are sped up while every tail is below this share of its target.
const SPEED_UP_BELOW: f64 = 0.6;

/// The time between two changes, in which the effect of the first shows in the figures.
const SETTLE: Duration = Duration::from_millis(700);

/// By how many percent filling tasks are sped up at once.
const SPEED_UP_STEP: u32 = 15;

/// A share below this many percent becomes zero.
const LOWEST_CPU_PERCENT: u32 = 20;

impl Shard {
    /// Adjusts the filling tasks of a worker to what its serving tasks report.
    pub(crate) fn adjust_throttling(&mut self, now: Instant, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        if worker
            .throttled_at
            .is_some_and(|at| now.saturating_duration_since(at) < SETTLE)
        {
            return;
        }
        let (mut worst, mut fillers) = (0.0f64, Vec::new());
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
                worst = worst.max(run.metric as f64 / target.max(1.0));
            } else if step.best_effort {
                fillers.push((id, run.cpu_percent));
            }
        }
        let throttled: Vec<(RunId, u32)> = fillers
            .into_iter()
            .filter_map(|(id, cpu_percent)| {
                let next = next_cpu_percent(cpu_percent, worst);
                (next != cpu_percent).then_some((id, next))
            })
            .collect();
        if throttled.is_empty() {
            return;
        }
        for &(id, cpu_percent) in &throttled {
            if let Some(run) = self.run_mut(id) {
                run.cpu_percent = cpu_percent;
            }
            self.effects
                .push(Effect::Throttle(Arc::clone(name), id, cpu_percent));
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.throttled_at = Some(now);
        }
        self.log_event("pace", name, || {
            let percent = (worst * 100.0).round();
            format!("worst_tail_percent={percent} changed={}", throttled.len())
        });
    }

    /// Takes in that a change of the share was not confirmed, so that it is tried again.
    pub fn handle_throttle_failure(&mut self, name: &Name, id: RunId) {
        if let Some(run) = self.run_mut(id).filter(|r| r.worker == *name) {
            // Differs from every share that is ordered, so that the next look orders one.
            run.cpu_percent = UNKNOWN_CPU_PERCENT;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.throttled_at = None;
        }
    }
}

/// Stands for a share that is not known; above every real one.
const UNKNOWN_CPU_PERCENT: u32 = 101;

fn next_cpu_percent(cpu_percent: u32, worst: f64) -> u32 {
    if worst > 1.0 {
        0
    } else if worst > SLOW_DOWN_AT {
        let half = cpu_percent / 2;
        if half < LOWEST_CPU_PERCENT { 0 } else { half }
    } else if worst < SPEED_UP_BELOW {
        (cpu_percent + SPEED_UP_STEP).min(100)
    } else {
        cpu_percent.min(100)
    }
}
