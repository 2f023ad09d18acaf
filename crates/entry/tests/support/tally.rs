//! Verdicts that callers got, to be compared with the runs that the workers counted.

use std::collections::BTreeMap;

use lavenderhollow_types::RequestId;

use super::Answer;

/// The number of requests by verdict. Repeats of a request are not counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) ran: u32,
    pub(crate) may_have_run: u32,
    pub(crate) not_run: u32,
}

impl Tally {
    /// Counts an answer to a request with this body; an answer that ran has to be the whole one.
    #[track_caller]
    pub(crate) fn count(&mut self, answer: &Answer, body: &[u8]) {
        match answer.verdict() {
            "ran" => {
                answer.assert_ran(body);
                self.ran += 1;
            }
            "may_have_run" => self.may_have_run += 1,
            "not_run" => self.not_run += 1,
            other => panic!("no verdict but {other:?}: {answer:?}"),
        }
    }

    /// Checks that no request ran twice, none ran that is said not to have run, and each ran that
    /// is said to have run.
    #[track_caller]
    pub(crate) fn assert_once(&self, runs: &BTreeMap<RequestId, u32>) {
        let twice = runs.iter().filter(|(_, runs)| **runs > 1).count();
        assert_eq!(twice, 0, "requests that ran more than once, {self:?}");
        let total: u32 = runs.values().sum();
        assert!(total >= self.ran, "{total} runs, {self:?}");
        assert!(
            total <= self.ran + self.may_have_run,
            "{total} runs, {self:?}"
        );
    }
}
