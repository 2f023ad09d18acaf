//! Tests of the switches of automatic actions.

use lavenderhollow_node::Action;
use lavenderhollow_node::Automatic;

/// Guards against an action that goes on because only one of its two switches is off, and against
/// switches of single actions that are lost when all of them are turned.
#[test]
fn an_action_needs_its_own_switch_and_that_of_all() {
    let mut automatic = Automatic::default();
    assert!(Action::ALL.into_iter().all(|a| automatic.allows(a)));
    automatic.set(Some(Action::Moves), false);
    assert!(automatic.allows(Action::Drains) && !automatic.allows(Action::Moves));
    automatic.set(None, false);
    assert!(!Action::ALL.into_iter().any(|a| automatic.allows(a)));
    automatic.set(None, true);
    assert!(automatic.allows(Action::Drains) && !automatic.allows(Action::Moves));
}

/// Guards against commands that name an action otherwise than the list shows it.
#[test]
fn actions_are_read_as_they_are_shown() {
    for action in Action::ALL {
        assert_eq!(action.to_string().parse::<Action>().ok(), Some(action));
        let document = serde_json::to_string(&action).expect("a document");
        assert_eq!(document, format!("{:?}", action.to_string()));
    }
}
