//! What was submitted, what was answered, and what that promises.

use std::collections::BTreeMap;

use bytes::Bytes;
use derive_more::Display;

use crate::standin::answer_body;

/// What a submission was answered with.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran, with this answer.
    #[display("ran ({} bytes)", _0.len())]
    Ran(Bytes),
    /// The request did not run; the kind of refusal is given.
    #[display("not_run:{_0}")]
    NotRun(String),
    /// The request may have run.
    #[display("may_have_run ({_0})")]
    MayHaveRun(String),
    /// A durable job was taken, with this id.
    #[display("accepted ({_0})")]
    Accepted(String),
    /// No connection was made.
    #[display("not_sent ({_0})")]
    NotSent(String),
    /// The connection broke before the answer.
    #[display("cut ({_0})")]
    Cut(String),
}

impl Outcome {
    /// The words that scenarios use for outcomes.
    pub const WORDS: [&'static str; 6] = [
        "ran",
        "not_run",
        "may_have_run",
        "accepted",
        "not_sent",
        "cut",
    ];

    /// Tells whether `expected` describes this outcome. Alternatives are separated by `|`, and
    /// `not_run:KIND` names the kind of refusal.
    pub fn fits(&self, expected: &str) -> bool {
        expected
            .split('|')
            .any(|word| match (self, word.split_once(':')) {
                (Self::NotRun(kind), Some(("not_run", wanted))) => kind == wanted,
                (_, Some(_)) => false,
                (_, None) => self.word() == word,
            })
    }

    /// Returns the word for this outcome.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::NotRun(_) => "not_run",
            Self::MayHaveRun(_) => "may_have_run",
            Self::Accepted(_) => "accepted",
            Self::NotSent(_) => "not_sent",
            Self::Cut(_) => "cut",
        }
    }

    fn says_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::NotSent(_))
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    idempotent: bool,
    outcomes: Vec<Outcome>,
}

/// All submissions of a scenario, by their bodies, which are unique.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<String, Entry>,
    violations: Vec<String>,
}

impl Ledger {
    /// Notes an outcome, and checks that an answer is the whole answer to its own request.
    pub fn note(&mut self, body: &str, idempotent: bool, outcome: &Outcome) {
        if let Outcome::Ran(answer) = outcome
            && *answer != answer_body(body.as_bytes())
        {
            self.violate(format!("P6: {body:?} got another answer than its own"));
        }
        let entry = self.entries.entry(body.to_owned()).or_default();
        entry.idempotent = idempotent;
        entry.outcomes.push(outcome.clone());
    }

    /// Notes a broken promise.
    pub fn violate(&mut self, violation: String) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }

    /// Compares the outcomes with how often each body was started at the workers, and returns
    /// every broken promise.
    pub fn check(&self, runs: &BTreeMap<String, u32>) -> Vec<String> {
        let mut broken = self.violations.clone();
        for (body, entry) in &self.entries {
            let runs = runs.get(body).copied().unwrap_or(0);
            if !entry.idempotent && runs > 1 {
                broken.push(format!(
                    "P8: {body:?} is not idempotent and ran {runs} times"
                ));
            }
            if runs > 0 && entry.outcomes.iter().all(Outcome::says_not_run) {
                broken.push(format!(
                    "P7: {body:?} was answered not_run and ran {runs} times"
                ));
            }
            if runs == 0 && entry.outcomes.iter().any(|o| o.word() == "ran") {
                broken.push(format!("P6: {body:?} was answered ran and did not run"));
            }
        }
        broken
    }

    /// Counts the outcomes by their words.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for outcome in self.entries.values().flat_map(|entry| &entry.outcomes) {
            *counts.entry(outcome.word()).or_default() += 1;
        }
        counts
    }
}
