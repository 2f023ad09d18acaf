//! The steps of a scenario.

use std::time::Duration;

use serde_json::Value;

use super::args::Args;
use super::args::ParseError;
use super::grammar::step;

/// A request, a durable job, or one of its repeats.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Submit {
    /// The name of the submission in the scenario.
    pub name: String,
    /// Whether it is a durable job.
    pub durable: bool,
    /// The queue.
    pub queue: String,
    /// The key, as `TEAM/KEY`.
    pub key: Option<String>,
    /// The entry, or `every`; any entry when absent.
    pub at: Option<String>,
    /// The ticket to spend.
    pub ticket: Option<String>,
    /// Whether it carries an idempotency key.
    pub once: bool,
    /// The time that the caller waits.
    pub deadline: Option<Duration>,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Whether the next steps go on before the answer.
    pub background: bool,
    /// The outcomes that are right.
    pub expect: String,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "the grammar in scenarios/README.md describes each step"
)]
pub enum Step {
    Zones(Vec<String>),
    Declare {
        section: &'static str,
        name: String,
        fields: Value,
    },
    Entries {
        zone: String,
        count: u32,
    },
    Workers {
        zone: String,
        count: u32,
        pool: String,
        racks: u32,
        settings: Value,
    },
    Publish {
        at: Option<String>,
        in_force: bool,
    },
    Key {
        add: bool,
        team: String,
        key: String,
        at: Option<String>,
    },
    Automatic {
        on: bool,
        action: Option<String>,
    },
    Wave {
        pools: Vec<String>,
    },
    Submit(Submit),
    Repeat {
        name: String,
        at: Option<String>,
        background: bool,
        expect: String,
    },
    Ticket {
        name: String,
        key: Option<String>,
        at: Option<String>,
    },
    Await {
        name: String,
        expect: String,
    },
    ExpectRuns {
        name: String,
        count: u32,
    },
    JobState {
        name: String,
        states: String,
        at: Option<String>,
    },
    Load {
        name: String,
        queue: String,
        key: Option<String>,
        at: Option<String>,
        every: Duration,
        once: bool,
    },
    End {
        name: String,
        expect: String,
        at_least: u32,
    },
    Fault {
        target: String,
        patch: Value,
    },
    Cut {
        zone: String,
        other: String,
        cut: bool,
    },
    HealAll,
    Kill(String),
    Stop(String),
    Pause {
        name: String,
        paused: bool,
    },
    Replace(String),
    List {
        name: String,
        leaving: bool,
    },
    Wait(Duration),
    InForce {
        at: Option<String>,
    },
    Keyed {
        entry: String,
        taken: bool,
    },
    WaveDone,
    Show(String),
    Dump(String),
    ExpectBoots(u32),
    Open {
        entry: String,
        pool: String,
        count: u32,
    },
    Watch {
        pool: Option<String>,
        max: u32,
    },
    Say(String),
    Within {
        limit: Duration,
        step: Box<Step>,
    },
}

/// The steps of a file with their lines.
#[derive(Clone, Debug)]
pub struct Script {
    /// The file.
    pub file: String,
    /// The number and the text of each line, and its step.
    pub steps: Vec<(usize, String, Step)>,
}

impl Script {
    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Fails at the first line that is no step, and says what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self, ParseError> {
        let mut steps = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let mut args = Args::split(file, index + 1, line)?;
            if args.is_empty() {
                continue;
            }
            let step = step(&mut args)?;
            args.finish()?;
            steps.push((index + 1, line.trim().to_owned(), step));
        }
        if steps.is_empty() {
            return Err(Args::split(file, 1, "")?.error("no step; the first is 'zones NAME...'"));
        }
        Ok(Self {
            file: file.to_owned(),
            steps,
        })
    }
}
