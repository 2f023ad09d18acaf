//! How well a worker suits a task.

use std::cmp::Reverse;

/// How well an eligible worker suits a task. Placement takes the greatest value: the fields are in
/// the order of their importance, and the later ones decide only between workers that are alike in
/// the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Suitability {
    /// The worker is in the rack of the task's data, if that matters.
    pub(crate) near_data: bool,
    /// The worker is in a rack with other tasks of the step, if that matters.
    pub(crate) in_same_rack: bool,
    /// The step has no more tasks on the worker than may be unavailable at once. Otherwise the disruption
    /// budget blocks the maintenance of its machine.
    pub(crate) within_budget: bool,
    /// The last run of the task did not fail there.
    pub(crate) not_failed: bool,
    /// The number of runs of the task's step there, if the step is long-running; zero otherwise. Tasks
    /// of such a step are spread, since a worker may be lost.
    pub(crate) step_runs: Reverse<u32>,
    /// No task runs there whose image is known to slow the task down, or to be slowed down by it, if
    /// that matters. It is last, since a slower task costs less than what the other fields prevent.
    pub(crate) apart: bool,
}

impl Suitability {
    /// The greatest value. Placement considers no further worker after one that has it.
    pub(crate) const BEST: Self = Self {
        near_data: true,
        in_same_rack: true,
        within_budget: true,
        not_failed: true,
        step_runs: Reverse(0),
        apart: true,
    };

    /// Returns the value without regard to the images on the worker.
    pub(crate) fn anywhere(self) -> Self {
        Self {
            apart: true,
            ..self
        }
    }
}
