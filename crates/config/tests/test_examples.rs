//! Tests of the example configurations.

use lavenderhollow_config::Answers;
use lavenderhollow_config::TeamKeys;
use lavenderhollow_config::parse;
use lavenderhollow_config::to_text;

fn generate(answers: &str) -> String {
    let answers: Answers = parse(answers).expect("valid answers");
    to_text(
        &answers
            .to_config(&TeamKeys::new())
            .expect("a configuration"),
    )
}

/// Guards against an example that differs from what the questionnaire generates from its answers.
#[test]
fn hamakaze_matches_its_answers() {
    let config = generate(include_str!("../../../examples/hamakaze.answers.json"));
    assert_eq!(
        config,
        include_str!("../../../examples/hamakaze.config.json")
    );
}

/// Guards against an example that differs from what the questionnaire generates from its answers.
#[test]
fn board_matches_its_answers() {
    let config = generate(include_str!("../../../examples/board.answers.json"));
    assert_eq!(config, include_str!("../../../examples/board.config.json"));
}
