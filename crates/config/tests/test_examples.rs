//! Guards against examples that no longer match the questionnaire that made them.

use lavenderhollow_config::Answers;
use lavenderhollow_config::TeamKeys;
use lavenderhollow_config::parse;
use lavenderhollow_config::to_text;

fn generated(answers: &str) -> String {
    let answers: Answers = parse(answers).expect("valid answers");
    to_text(
        &answers
            .to_config(&TeamKeys::new())
            .expect("a configuration"),
    )
}

#[test]
fn hamakaze_matches_its_answers() {
    let config = generated(include_str!("../../../examples/hamakaze.answers.json"));
    assert_eq!(
        config,
        include_str!("../../../examples/hamakaze.config.json")
    );
}

#[test]
fn board_matches_its_answers() {
    let config = generated(include_str!("../../../examples/board.answers.json"));
    assert_eq!(config, include_str!("../../../examples/board.config.json"));
}
