//! Tests of the switches of automatic actions.

use lavenderhollow_node::AutomaticAction;
use lavenderhollow_node::AutomaticSwitches;

/// Guards against an action that goes on because only one of its two switches is off, and against
/// switches of single actions that are lost when all of them are turned.
#[test]
fn an_action_needs_its_own_switch_and_that_of_all() {
    let mut automatic = AutomaticSwitches::default();
    assert!(
        AutomaticAction::ALL
            .into_iter()
            .all(|a| automatic.is_enabled(a))
    );
    automatic.set(Some(AutomaticAction::Moves), false);
    assert!(
        automatic.is_enabled(AutomaticAction::Drains)
            && !automatic.is_enabled(AutomaticAction::Moves)
    );
    automatic.set(None, false);
    assert!(
        !AutomaticAction::ALL
            .into_iter()
            .any(|a| automatic.is_enabled(a))
    );
    automatic.set(None, true);
    assert!(
        automatic.is_enabled(AutomaticAction::Drains)
            && !automatic.is_enabled(AutomaticAction::Moves)
    );
}

/// Guards against commands that name an action otherwise than the list shows it.
#[test]
fn actions_are_read_as_they_are_shown() {
    for action in AutomaticAction::ALL {
        assert_eq!(
            action.to_string().parse::<AutomaticAction>().ok(),
            Some(action)
        );
        let document = serde_json::to_string(&action).expect("a document");
        assert_eq!(document, format!("{:?}", action.to_string()));
    }
}
