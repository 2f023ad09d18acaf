//! Plays the cases of the third review that can't be put as days, each with the project's own node
//! processes on a small platform of stand-ins. Ends with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. With TROUBLE=0 the disruption is left out.

mod advice;
mod capped;
mod foreign;
mod frozen;
mod full;
mod hopeless;
mod http;
mod json;
mod moved;
mod odd;
mod paced;
mod record;
mod replaced;
mod retired;
mod site;
mod store;
mod survivor;
mod tenant;
mod turned;
mod wide;
mod worker;

use std::sync::Arc;

use record::Record;

/// How a case has ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, path) = (args.next().unwrap_or_default(), args.next());
    let path = path.unwrap_or_else(|| "record.txt".to_owned());
    let record = Arc::new(Record::new(&path));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {case}, with the disruption: {trouble}"));
    let verdict = match case.as_str() {
        "moved" => moved::run(&record, trouble),
        "wide" => wide::run(&record, trouble),
        "advice" => advice::run(&record, trouble),
        "capped" => capped::run(&record, trouble),
        "few" => advice::run_few(&record, trouble),
        "burst" => advice::run_burst(&record, trouble),
        "foreign" => foreign::run(&record, trouble),
        "frozen" => frozen::run(&record, trouble),
        "full" => full::run(&record, trouble),
        "hopeless" => hopeless::run(&record, trouble),
        "odd" => odd::run(&record, trouble),
        "paced" => paced::run(&record, trouble),
        "replaced" => replaced::run(&record, trouble),
        "retired" => retired::run(&record, trouble),
        "survivor" => survivor::run(&record, trouble),
        "turned" => turned::run(&record, trouble),
        "tenant" => tenant::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record.line(text);
    println!("{text}");
    std::process::exit(code);
}
