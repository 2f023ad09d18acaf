//! Tests of the switches that turn automatic actions on and off.

use lavenderhollow_node::FleetAction;
use lavenderhollow_node::FleetSwitches;

/// Guards against an action that stays enabled because only one of its two switches is off, and
/// against the switches of single actions being lost when the common switch is set.
#[test]
fn an_action_needs_its_own_switch_and_the_common_one() {
    let mut automatic = FleetSwitches::default();
    assert!(
        FleetAction::ALL
            .into_iter()
            .all(|a| automatic.is_enabled(a))
    );
    automatic.set(Some(FleetAction::Moves), false);
    assert!(automatic.is_enabled(FleetAction::Drains) && !automatic.is_enabled(FleetAction::Moves));
    automatic.set(None, false);
    assert!(
        !FleetAction::ALL
            .into_iter()
            .any(|a| automatic.is_enabled(a))
    );
    automatic.set(None, true);
    assert!(automatic.is_enabled(FleetAction::Drains) && !automatic.is_enabled(FleetAction::Moves));
}

/// Guards against operator commands that accept another name of an action than the status shows.
#[test]
fn action_names_parse_back() {
    for action in FleetAction::ALL {
        assert_eq!(action.to_string().parse::<FleetAction>().ok(), Some(action));
        let document = serde_json::to_string(&action).expect("an action is serializable");
        assert_eq!(document, format!("{:?}", action.to_string()));
    }
}
