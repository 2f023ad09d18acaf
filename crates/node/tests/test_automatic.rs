//! Tests of the switches that turn automatic actions on and off.

use lavenderhollow_node::AutomaticAction;
use lavenderhollow_node::AutomaticSwitches;

/// Guards against an action that stays enabled because only one of its two switches is off, and
/// against the switches of single actions being lost when the common switch is set.
#[test]
fn an_action_needs_its_own_switch_and_the_common_one() {
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

/// Guards against operator commands that accept another name of an action than the status shows.
#[test]
fn action_names_parse_back() {
    for action in AutomaticAction::ALL {
        assert_eq!(
            action.to_string().parse::<AutomaticAction>().ok(),
            Some(action)
        );
        let document = serde_json::to_string(&action).expect("an action is serializable");
        assert_eq!(document, format!("{:?}", action.to_string()));
    }
}
