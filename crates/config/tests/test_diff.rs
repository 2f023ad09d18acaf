//! Tests of the differences between configurations.

use lavenderhollow_config::Config;
use lavenderhollow_config::Safety;
use lavenderhollow_config::diff;
use lavenderhollow_config::parse_config;

fn example() -> Config {
    parse_config(include_str!("../../../examples/hamakaze.config.json")).expect("a valid example")
}

fn sentences(old: &Config, new: &Config) -> Vec<String> {
    diff(old, new).iter().map(ToString::to_string).collect()
}

/// Guards against differences that are reported although nothing changes.
#[test]
fn equal_configurations_have_no_differences() {
    assert!(diff(&example(), &example()).is_empty());
}

/// Guards against a dangerous change that is described as safe or left out.
#[test]
fn lowered_limits_and_raised_budgets_are_careful_changes() {
    let old = example();
    let mut new = old.clone();
    new.teams.get_mut("kanmon-tugs").expect("a team").limit = 10;
    new.pools.get_mut("fees").expect("a pool").max_unavailable = 5;
    new.queues.get_mut("fees").expect("a queue").idempotent = true;
    new.automatic.all = false;
    let differences = sentences(&old, &new);
    assert_eq!(
        differences[..3],
        [
            "[look twice] Pool fees: the availability budget changes from 2 to 5.",
            "[look twice] Queue fees may run a request twice after a failure.",
            "[look twice] Team kanmon-tugs: the upper limit is lowered from 100 to 10 slots; \
             running work goes on, nothing new starts until it is below.",
        ]
    );
    assert_eq!(
        differences.len(),
        3 + 7,
        "each automatic action is named: {differences:?}"
    );
}

/// Guards against a forbidden change that is described as allowed.
#[test]
fn changed_home_zone_is_refused() {
    let old = example();
    let mut new = old.clone();
    let team = new.teams.get_mut("kanmon-tugs").expect("a team");
    team.home = "kyushu-a".parse().expect("a name");
    assert_eq!(diff(&old, &new)[0].safety, Safety::Refused);
}
