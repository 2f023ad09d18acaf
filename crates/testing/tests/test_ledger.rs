use std::collections::BTreeMap;

use bytes::Bytes;
use lavenderhollow_testing::scenario::Ledger;
use lavenderhollow_testing::scenario::Outcome;
use lavenderhollow_testing::standin::answer_body;

fn broken(idempotent: bool, outcomes: &[Outcome], runs: u32) -> Vec<String> {
    let mut ledger = Ledger::default();
    for outcome in outcomes {
        ledger.note("body", idempotent, outcome);
    }
    ledger.check(&BTreeMap::from([("body".to_owned(), runs)]))
}

/// Guards against invariants that hold whatever happened.
#[test]
fn broken_promises_are_found() {
    let ran = || Outcome::Ran(answer_body(b"body"));
    let not_run = || Outcome::NotRun("stale".to_owned());
    let doubt = || Outcome::MayHaveRun(String::new());
    for (promise, idempotent, outcomes, runs) in [
        ("P8", false, vec![doubt()], 2),
        ("P8", false, vec![ran(), ran()], 2),
        ("P7", true, vec![not_run()], 1),
        (
            "P7",
            false,
            vec![not_run(), Outcome::NotSent(String::new())],
            1,
        ),
        ("P6", true, vec![ran()], 0),
        ("P6", true, vec![Outcome::Ran(Bytes::from("other"))], 1),
    ] {
        let broken = broken(idempotent, &outcomes, runs);
        assert!(
            broken.len() == 1 && broken[0].starts_with(promise),
            "{promise}: {broken:?}"
        );
    }
}

/// Guards against a scenario that fails although every promise holds.
#[test]
fn kept_promises_pass() {
    let ran = || Outcome::Ran(answer_body(b"body"));
    let not_run = || Outcome::NotRun("stale".to_owned());
    let doubt = || Outcome::MayHaveRun(String::new());
    for (idempotent, outcomes, runs) in [
        (false, vec![ran(), ran()], 1),
        (true, vec![ran(), ran()], 2),
        (false, vec![doubt()], 0),
        (false, vec![doubt()], 1),
        (false, vec![not_run()], 0),
        (false, vec![not_run(), ran()], 1),
    ] {
        let broken = broken(idempotent, &outcomes, runs);
        assert!(broken.is_empty(), "{outcomes:?}: {broken:?}");
    }
}
