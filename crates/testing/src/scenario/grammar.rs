//! The grammar of steps that declare, operate and submit.

use std::time::Duration;

use serde_json::json;

use super::args::Args;
use super::args::ParseError;
use super::grammar_faults::check;
use super::grammar_faults::disturb;
use super::grammar_faults::observe;
use super::ledger::Outcome;
use super::step::Step;
use super::step::Submit;

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

/// Parses one step.
pub(super) fn step(args: &mut Args) -> Result<Step, ParseError> {
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
pub(super) fn expected(args: &mut Args) -> Result<String, ParseError> {
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
