//! Guards against a dangerous change that reads as a harmless one.

use lavenderhollow_config::Config;
use lavenderhollow_config::Safety;
use lavenderhollow_config::diff;
use lavenderhollow_config::parse_config;

fn example() -> Config {
    parse_config(include_str!("../../../examples/hamakaze.config.json")).expect("a valid example")
}

fn lines(old: &Config, new: &Config) -> Vec<String> {
    diff(old, new).iter().map(ToString::to_string).collect()
}

#[test]
fn equal_configurations_differ_in_nothing() {
    assert!(diff(&example(), &example()).is_empty());
}

#[test]
fn lowered_limits_raised_budgets_and_opened_queues_ask_for_a_second_look() {
    let old = example();
    let mut new = old.clone();
    new.teams.get_mut("kanmon-tugs").expect("a team").limit = 10;
    new.pools.get_mut("fees").expect("a pool").max_unavailable = 5;
    new.queues.get_mut("fees").expect("a queue").idempotent = true;
    new.automatic.all = false;
    let found = lines(&old, &new);
    assert_eq!(
        found[..3],
        [
            "[look twice] Pool fees: the availability budget changes from 2 to 5.",
            "[look twice] Queue fees may run a request twice after a failure.",
            "[look twice] Team kanmon-tugs: the upper limit is lowered from 100 to 10 slots; \
             running work goes on, nothing new starts until it is below.",
        ]
    );
    assert_eq!(
        found.len(),
        3 + 7,
        "each automatic action is named: {found:?}"
    );
}

#[test]
fn a_changed_home_zone_is_refused() {
    let old = example();
    let mut new = old.clone();
    let team = new.teams.get_mut("kanmon-tugs").expect("a team");
    team.home = "kyushu-a".parse().expect("a name");
    assert_eq!(diff(&old, &new)[0].safety, Safety::Refused);
}
