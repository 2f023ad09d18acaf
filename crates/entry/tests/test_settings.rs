//! Guards against settings that are taken with a mistake, and examples that are out of date.

use lavenderhollow_entry::Settings;

#[test]
fn examples_are_valid() -> eyre::Result<()> {
    let hamakaze = include_str!("../../../examples/hamakaze.entry.json");
    let board = include_str!("../../../examples/board.entry.json");
    assert_eq!(Settings::from_text(hamakaze)?.zone.as_str(), "kyushu-a");
    assert_eq!(Settings::from_text(board)?.zone.as_str(), "lahore");
    Ok(())
}

#[test]
fn every_problem_is_named_with_its_place() {
    let text = include_str!("../../../examples/board.entry.json")
        .replace(
            "\"traces\": \"log\"",
            "\"lease_ms\": 100, \"probe_ms\": 90, \"heartbeat_ms\": 9000",
        )
        .replace("replace with a secret of your own", "short");
    let error = Settings::from_text(&text).expect_err("four problems");
    let paths: Vec<&str> = error.problems().iter().map(|p| p.path.as_str()).collect();
    assert_eq!(
        paths,
        ["peer_secret", "lease_ms", "probe_ms", "heartbeat_ms"]
    );
    let unknown = text.replace("lease_ms", "leese_ms");
    let error = Settings::from_text(&unknown).expect_err("an unknown field");
    assert_eq!(error.problems()[0].path, "leese_ms");
}
