//! The steps of a scenario.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use super::args::Args;
use super::args::ParseError;
use super::ledger::Outcome;

/// The words with which a step may begin.
const STEPS: &[&str] = &[
    "zones",
    "pool",
    "queue",
    "team",
    "entries",
    "workers",
    "publish",
    "key",
    "automatic",
    "wave",
    "request",
    "job",
    "ticket",
    "repeat",
    "await",
    "expect-runs",
    "job-state",
    "load",
    "end",
    "fault",
    "cut",
    "heal",
    "kill",
    "stop",
    "pause",
    "resume",
    "replace",
    "leaving",
    "unlist",
    "wait",
    "in-force",
    "keyed",
    "wave-done",
    "show",
    "dump",
    "expect-boots",
    "open",
    "watch",
    "say",
    "within",
];

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

fn step(args: &mut Args) -> Result<Step, ParseError> {
    let word = args.one_of(STEPS)?;
    match word.as_str() {
        "zones" | "pool" | "queue" | "team" | "entries" | "workers" => declare(args, &word),
        "publish" | "key" | "automatic" | "wave" => operate(args, &word),
        "request" | "job" | "ticket" | "repeat" | "load" => submit(args, &word),
        "await" | "expect-runs" | "job-state" | "end" => check(args, &word),
        "in-force" | "keyed" | "wave-done" | "show" | "dump" | "expect-boots" | "open"
        | "watch" => observe(args, &word),
        "within" => {
            let limit = args.time()?;
            let step = Box::new(step(args)?);
            Ok(Step::Within { limit, step })
        }
        "say" => Ok(Step::Say(args.rest().join(" "))),
        "wait" => Ok(Step::Wait(args.time()?)),
        _ => disturb(args, &word),
    }
}

fn declare(args: &mut Args, word: &str) -> Result<Step, ParseError> {
    if word == "zones" {
        return Ok(Step::Zones(args.rest()));
    }
    let name = args.word("a name")?;
    match word {
        "pool" => {
            let out = args.number("out")?.unwrap_or(1);
            let racks = args.number("racks")?.unwrap_or(1);
            let fields = json!({ "max_unavailable": out, "racks_at_once": racks });
            Ok(Step::Declare {
                section: "pools",
                name,
                fields,
            })
        }
        "queue" => {
            let run = args
                .time_option("run")?
                .unwrap_or(Duration::from_millis(50));
            let deadline = args
                .time_option("deadline")?
                .unwrap_or(Duration::from_secs(10));
            let fields = json!({
                "pool": args.required("pool")?,
                "run_time_ms": run.as_millis(),
                "deadline_ms": deadline.as_millis(),
                "open": args.flag("open"),
                "idempotent": args.flag("idempotent"),
            });
            Ok(Step::Declare {
                section: "queues",
                name,
                fields,
            })
        }
        "team" => {
            let fields = json!({
                "share": args.number("share")?.unwrap_or(1),
                "limit": args.number("limit")?.unwrap_or(100),
                "home": args.required("home")?,
            });
            Ok(Step::Declare {
                section: "teams",
                name,
                fields,
            })
        }
        "entries" => Ok(Step::Entries {
            zone: name,
            count: args.value("a number")?,
        }),
        _ => Ok(Step::Workers {
            zone: name,
            count: args.value("a number")?,
            pool: args.required("pool")?,
            racks: args.number("racks")?.unwrap_or(1),
            settings: json!({
                "slots": args.number("slots")?.unwrap_or(8),
                "reboot_ms": args.time_option("reboot")?.map_or(500, |time| time.as_millis()),
            }),
        }),
    }
}

fn operate(args: &mut Args, word: &str) -> Result<Step, ParseError> {
    match word {
        "publish" => Ok(Step::Publish {
            at: args.option("at"),
            in_force: args.flag("in-force"),
        }),
        "key" => Ok(Step::Key {
            add: args.one_of(&["add", "withdraw"])? == "add",
            team: args.word("a team")?,
            key: args.word("a key's name")?,
            at: args.option("at"),
        }),
        "automatic" => Ok(Step::Automatic {
            on: args.one_of(&["on", "off"])? == "on",
            action: args.word("").ok(),
        }),
        _ => {
            args.one_of(&["start"])?;
            Ok(Step::Wave { pools: args.rest() })
        }
    }
}

fn submit(args: &mut Args, word: &str) -> Result<Step, ParseError> {
    let name = args.word("a name")?;
    let (key, at) = (args.option("key"), args.option("at"));
    match word {
        "ticket" => Ok(Step::Ticket { name, key, at }),
        "load" => Ok(Step::Load {
            name,
            queue: args.required("queue")?,
            key,
            at,
            every: args
                .time_option("every")?
                .unwrap_or(Duration::from_millis(50)),
            once: args.flag("once"),
        }),
        "repeat" => Ok(Step::Repeat {
            name,
            at,
            background: args.flag("background"),
            expect: expected(args)?,
        }),
        _ => Ok(Step::Submit(Submit {
            name,
            durable: word == "job",
            queue: args.required("queue")?,
            key,
            at,
            ticket: args.option("ticket"),
            deadline: args.time_option("deadline")?,
            once: args.flag("once"),
            urgent: args.flag("urgent"),
            background: args.flag("background"),
            expect: expected(args)?,
        })),
    }
}

/// Takes `expect OUTCOME`; in the background there may be none.
fn expected(args: &mut Args) -> Result<String, ParseError> {
    let Some(text) = args.after("expect") else {
        return Ok(String::new());
    };
    for word in text.split('|') {
        let word = word.split(':').next().unwrap_or_default();
        if !Outcome::WORDS.contains(&word) {
            let allowed = Outcome::WORDS.join(", ");
            return Err(args.error(format!("{word:?} is no outcome; allowed: {allowed}")));
        }
    }
    Ok(text)
}

fn check(args: &mut Args, word: &str) -> Result<Step, ParseError> {
    let name = args.word("a name")?;
    match word {
        "await" => Ok(Step::Await {
            name,
            expect: expected(args)?,
        }),
        "expect-runs" => Ok(Step::ExpectRuns {
            name,
            count: args.value("a number")?,
        }),
        "job-state" => Ok(Step::JobState {
            name,
            states: args.word("a state")?,
            at: args.option("at"),
        }),
        _ => Ok(Step::End {
            name,
            at_least: args.number("at-least")?.unwrap_or(1),
            expect: expected(args)?,
        }),
    }
}

fn observe(args: &mut Args, word: &str) -> Result<Step, ParseError> {
    match word {
        "in-force" => {
            args.one_of(&["everywhere"])?;
            Ok(Step::InForce {
                at: args.option("at"),
            })
        }
        "keyed" => Ok(Step::Keyed {
            entry: args.word("an entry")?,
            taken: args.one_of(&["taken", "refused"])? == "taken",
        }),
        "wave-done" => Ok(Step::WaveDone),
        "dump" => Ok(Step::Dump(args.word("a stream")?)),
        "show" => Ok(Step::Show(args.word("an entry")?)),
        "expect-boots" => Ok(Step::ExpectBoots(args.value("a number")?)),
        "open" => Ok(Step::Open {
            entry: args.word("an entry")?,
            pool: args.word("a pool")?,
            count: args.value("a number")?,
        }),
        _ => {
            let what = args.one_of(&["out", "running"])?;
            let pool = if what == "out" {
                Some(args.word("a pool")?)
            } else {
                None
            };
            Ok(Step::Watch {
                pool,
                max: args.value("a number")?,
            })
        }
    }
}

fn disturb(args: &mut Args, word: &str) -> Result<Step, ParseError> {
    match word {
        "fault" => fault(args),
        "heal" if args.flag("all") => Ok(Step::HealAll),
        "cut" | "heal" => Ok(Step::Cut {
            zone: args.word("a zone")?,
            other: args.word("platform, peers, another zone or a worker")?,
            cut: word == "cut",
        }),
        _ => {
            let name = args.word("the name of a process")?;
            Ok(match word {
                "kill" => Step::Kill(name),
                "stop" => Step::Stop(name),
                "pause" => Step::Pause { name, paused: true },
                "resume" => Step::Pause {
                    name,
                    paused: false,
                },
                "replace" => Step::Replace(name),
                other => Step::List {
                    name,
                    leaving: other == "leaving",
                },
            })
        }
    }
}

fn fault(args: &mut Args) -> Result<Step, ParseError> {
    let kind = args.one_of(&["log", "list", "worker"])?;
    let target = if kind == "worker" {
        args.word("a worker")?
    } else {
        kind.clone()
    };
    let patch = match kind.as_str() {
        "log" => match args
            .one_of(&["down", "slow", "answer-lost", "ok"])?
            .as_str()
        {
            "down" => json!({ "down": true }),
            "slow" => json!({ "slow_ms": args.time()?.as_millis() }),
            "answer-lost" => json!({ "answer_lost": true }),
            _ => json!({ "down": false, "slow_ms": 0, "answer_lost": false }),
        },
        "list" => match args.one_of(&["down", "lag", "ok"])?.as_str() {
            "down" => json!({ "down": true }),
            "lag" => json!({ "lag_ms": args.time()?.as_millis() }),
            _ => json!({ "down": false, "lag_ms": 0 }),
        },
        _ => worker_fault(args)?,
    };
    Ok(Step::Fault { target, patch })
}

fn worker_fault(args: &mut Args) -> Result<Value, ParseError> {
    let faults = [
        "fail-all",
        "answer-late",
        "answer-lost",
        "crossed",
        "cut-body",
        "altered-body",
        "leaving",
        "ok",
    ];
    Ok(match args.one_of(&faults)?.as_str() {
        "fail-all" => json!({ "fail_all": true }),
        "answer-late" => json!({ "late_ms": args.time()?.as_millis() }),
        "answer-lost" => json!({ "answer_lost": true }),
        "crossed" => json!({ "crossed": true }),
        "cut-body" => json!({ "body": "cut" }),
        "altered-body" => json!({ "body": "altered" }),
        "leaving" => json!({ "leaving": true }),
        _ => json!({
            "fail_all": false, "late_ms": 0, "answer_lost": false, "crossed": false,
            "body": "none", "leaving": false,
        }),
    })
}
