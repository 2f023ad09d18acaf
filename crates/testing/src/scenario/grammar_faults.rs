//! The grammar of steps that check, observe and disturb.

use serde_json::Value;
use serde_json::json;

use super::args::Args;
use super::args::ParseError;
use super::grammar::expected;
use super::step::Step;

pub(super) fn check(args: &mut Args, word: &str) -> Result<Step, ParseError> {
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

pub(super) fn observe(args: &mut Args, word: &str) -> Result<Step, ParseError> {
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

pub(super) fn disturb(args: &mut Args, word: &str) -> Result<Step, ParseError> {
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
