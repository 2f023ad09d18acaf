//! Slowing down filling tasks that disturb serving tasks on the same worker.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::active::Phase;
use crate::job::Name;
use crate::shard::Effect;
use crate::shard::Shard;
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
const LOWEST_PACE: u32 = 20;

impl Shard {
    /// Adjusts the filling tasks of a worker to what its serving tasks report.
    pub(crate) fn judge_serving(&mut self, now: Instant, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        if worker
            .paced_at
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
            if let Some(target) = step.target {
                let target = target.as_secs_f64() * 1_000.0;
                worst = worst.max(run.usage as f64 / target.max(1.0));
            } else if step.fills {
                fillers.push((id, run.pace));
            }
        }
        let paced: Vec<(RunId, u32)> = fillers
            .into_iter()
            .filter_map(|(id, pace)| {
                let next = next_pace(pace, worst);
                (next != pace).then_some((id, next))
            })
            .collect();
        if paced.is_empty() {
            return;
        }
        for &(id, pace) in &paced {
            if let Some(run) = self.run_mut(id) {
                run.pace = pace;
            }
            self.effects.push(Effect::Pace(Arc::clone(name), id, pace));
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.paced_at = Some(now);
        }
        self.note("pace", name, || {
            let percent = (worst * 100.0).round();
            format!("worst_tail_percent={percent} changed={}", paced.len())
        });
    }

    /// Takes in that a change of the share was not confirmed, so that it is tried again.
    pub fn pace_failed(&mut self, name: &Name, id: RunId) {
        if let Some(run) = self.run_mut(id).filter(|r| r.worker == *name) {
            // Differs from every share that is ordered, so that the next look orders one.
            run.pace = UNKNOWN_PACE;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.paced_at = None;
        }
    }
}

/// Stands for a share that is not known; above every real one.
const UNKNOWN_PACE: u32 = 101;

fn next_pace(pace: u32, worst: f64) -> u32 {
    if worst > 1.0 {
        0
    } else if worst > SLOW_DOWN_AT {
        let half = pace / 2;
        if half < LOWEST_PACE { 0 } else { half }
    } else if worst < SPEED_UP_BELOW {
        (pace + SPEED_UP_STEP).min(100)
    } else {
        pace.min(100)
    }
}
