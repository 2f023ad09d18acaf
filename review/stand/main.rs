//! The cases of the review: `stand CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::sync::atomic::Ordering;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: stand CASE RECORD");
        std::process::exit(2);
    };
    let record = record::Record::create(path);
    record.line(&format!("case {case}, trouble: {}", deployment::has_trouble()));
    deployment::watch(&record);
    let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "overdue" => cases::overdue(&record),
        "recurring" => cases::recurring(&record),
        "stale" => cases::stale(&record),
        "hopeless" => cases::hopeless(&record),
        "cap" => cases::cap(&record),
        "gang" => cases::gangs(&record),
        "quota" => cases::quota(&record),
        "lowered" => cases::lowered(&record),
        "born" => cases::born(&record),
        "rejected" => cases::rejected(&record),
        "late" => cases::late(&record),
        _ => false,
    }));
    let ran = ran.unwrap_or(false);
    let code = match (ran, deployment::BROKEN.load(Ordering::SeqCst)) {
        (_, true) => 1,
        (true, false) => 0,
        (false, false) => 2,
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
