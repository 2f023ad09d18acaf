//! Tests of the questionnaire.

use lavenderhollow_config::Answers;
use lavenderhollow_config::TeamKeys;
use lavenderhollow_config::parse;
use lavenderhollow_config::parse_config;
use lavenderhollow_config::to_text;

fn answers() -> Answers {
    parse(include_str!("../../../examples/board.answers.json")).expect("valid answers")
}

/// Guards against generating an invalid configuration, or a different one from the same answers and
/// keys.
#[test]
fn same_answers_and_keys_give_the_same_configuration() {
    let mut keys = TeamKeys::new();
    answers().generate_keys(&mut keys).expect("valid names");
    let first = to_text(&answers().to_config(&keys).expect("a configuration"));
    answers().generate_keys(&mut keys).expect("valid names");
    let second = to_text(&answers().to_config(&keys).expect("a configuration"));
    assert_eq!(first, second);
    parse_config(&first).expect("the generated configuration is valid");
}

/// Guards against keys in plain text in the configuration.
#[test]
fn keys_do_not_appear_in_the_configuration() {
    let mut keys = TeamKeys::new();
    answers().generate_keys(&mut keys).expect("valid names");
    let text = to_text(&answers().to_config(&keys).expect("a configuration"));
    assert_eq!(keys.len(), 6);
    assert!(keys.values().all(|key| !text.contains(key.as_str())));
}

/// Guards against generating an invalid configuration from invalid answers, and against reporting
/// only the first of them.
#[test]
fn every_invalid_answer_is_reported() {
    let mut answers = answers();
    answers.zones.push("Not A Zone".to_owned());
    answers.services[1].workers = 0;
    answers.organisations[2].limit_percent = 101;
    let problems = answers
        .to_config(&TeamKeys::new())
        .expect_err("three problems");
    let paths: Vec<&str> = problems.iter().map(|p| p.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "zones.3",
            "services.1.workers",
            "organisations.2.limit_percent"
        ]
    );
}
