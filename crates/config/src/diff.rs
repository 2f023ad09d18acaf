//! Describes the differences between two configurations in sentences.

use std::collections::BTreeMap;
use std::fmt::Debug;

use derive_more::Display;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::TeamName;
use serde::Serialize;

use crate::AutomaticAction;
use crate::Config;
use crate::Pool;
use crate::Queue;
use crate::Team;

/// How safe it is to publish a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Safety {
    /// No request is rejected and no work is interrupted because of the change.
    #[display("safe")]
    Safe,
    /// Some requests are rejected or wait longer, which is probably intended; an operator should
    /// check.
    #[display("look twice")]
    Careful,
    /// The change is not allowed.
    #[display("refused")]
    Refused,
}

/// One change between two configurations.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("[{safety}] {sentence}")]
pub struct Difference {
    /// How safe it is to publish the change.
    pub safety: Safety,
    /// A sentence that names the changed pool, queue, team or setting and the effect.
    pub sentence: String,
}

/// Describes every change from one configuration to another, grouped by section. The command `diff`
/// prints the result.
pub fn diff(old: &Config, new: &Config) -> Vec<Difference> {
    let mut differences = Vec::new();
    diff_zones(old, new, &mut differences);
    for_each_change(&old.pools, &new.pools, |name, old, new| {
        diff_pool(name, old, new, &mut differences);
    });
    for_each_change(&old.queues, &new.queues, |name, old, new| {
        diff_queue(name, old, new, &mut differences);
    });
    for_each_change(&old.teams, &new.teams, |name, old, new| {
        diff_team(name, old, new, &mut differences);
    });
    diff_switches(old, new, &mut differences);
    if old.weights != new.weights {
        add(
            &mut differences,
            Safety::Safe,
            "The planner weighs its measures differently.".to_owned(),
        );
    }
    if old.deployment != new.deployment {
        let sentence = format!("The deployment is called {:?} now.", new.deployment);
        add(&mut differences, Safety::Safe, sentence);
    }
    differences
}

fn add(differences: &mut Vec<Difference>, safety: Safety, sentence: String) {
    differences.push(Difference { safety, sentence });
}

fn for_each_change<K: Ord, V: PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    mut f: impl FnMut(&K, Option<&V>, Option<&V>),
) {
    for (key, value) in old {
        let other = new.get(key);
        if other != Some(value) {
            f(key, Some(value), other);
        }
    }
    for (key, value) in new {
        if !old.contains_key(key) {
            f(key, None, Some(value));
        }
    }
}

fn diff_zones(old: &Config, new: &Config, differences: &mut Vec<Difference>) {
    for_each_change(&old.zones, &new.zones, |name, old, new| match (old, new) {
        (None, _) => add(
            differences,
            Safety::Safe,
            format!("Availability zone {name} is new."),
        ),
        (_, None) => {
            let sentence = format!(
                "Availability zone {name} is gone: its silence no longer stops keyed work elsewhere."
            );
            add(differences, Safety::Careful, sentence);
        }
        _ => add(
            differences,
            Safety::Safe,
            format!("Availability zone {name} is in another region."),
        ),
    });
}

fn diff_pool(
    name: &PoolName,
    old: Option<&Pool>,
    new: Option<&Pool>,
    differences: &mut Vec<Difference>,
) {
    let (Some(old), Some(new)) = (old, new) else {
        let (safety, description) = match new {
            Some(_) => (Safety::Safe, "new"),
            None => (Safety::Careful, "gone: its VMs take no work"),
        };
        return add(
            differences,
            safety,
            format!("Pool {name} is {description}."),
        );
    };
    let mut field_changed = |field: &str, old: &dyn Debug, new: &dyn Debug, safety| {
        add(
            differences,
            safety,
            format!("Pool {name}: {field} changes from {old:?} to {new:?}."),
        );
    };
    if old.max_unavailable != new.max_unavailable {
        let safety = careful_if(new.max_unavailable > old.max_unavailable);
        field_changed(
            "the availability budget",
            &old.max_unavailable,
            &new.max_unavailable,
            safety,
        );
    }
    if old.racks_at_once != new.racks_at_once {
        let safety = careful_if(new.racks_at_once > old.racks_at_once);
        field_changed(
            "the number of racks drained at once",
            &old.racks_at_once,
            &new.racks_at_once,
            safety,
        );
    }
    if old.buffer_slots != new.buffer_slots {
        field_changed(
            "the buffer in slots",
            &old.buffer_slots,
            &new.buffer_slots,
            Safety::Safe,
        );
    }
    if old.spare != new.spare {
        field_changed(
            "lending of VMs to other pools",
            &old.spare,
            &new.spare,
            Safety::Safe,
        );
    }
}

fn careful_if(careful: bool) -> Safety {
    if careful {
        Safety::Careful
    } else {
        Safety::Safe
    }
}

fn diff_queue(
    name: &QueueName,
    old: Option<&Queue>,
    new: Option<&Queue>,
    differences: &mut Vec<Difference>,
) {
    let (Some(old), Some(new)) = (old, new) else {
        let (safety, description) = match new {
            Some(_) => (Safety::Safe, "new"),
            None => (Safety::Careful, "gone: its requests are refused"),
        };
        return add(
            differences,
            safety,
            format!("Queue {name} is {description}."),
        );
    };
    if old.open != new.open {
        let (safety, description) = if new.open {
            (Safety::Careful, "takes work from anyone, without a key")
        } else {
            (Safety::Careful, "takes work only with a team's key")
        };
        add(differences, safety, format!("Queue {name} {description}."));
    }
    if old.idempotent != new.idempotent {
        let (safety, description) = if new.idempotent {
            (Safety::Careful, "may run a request twice after a failure")
        } else {
            (Safety::Safe, "runs a request at most once")
        };
        add(differences, safety, format!("Queue {name} {description}."));
    }
    if old.pool != new.pool {
        let sentence = format!(
            "Queue {name} is served by pool {} instead of {}.",
            new.pool, old.pool
        );
        add(differences, Safety::Careful, sentence);
    }
    if (old.deadline, old.max_queued) != (new.deadline, new.max_queued) {
        let tighter = new.deadline < old.deadline || new.max_queued < old.max_queued;
        let sentence = format!(
            "Queue {name}: {} requests of a team wait at most {} ms (before: {}, {} ms).",
            new.max_queued,
            new.deadline.as_millis(),
            old.max_queued,
            old.deadline.as_millis()
        );
        add(differences, careful_if(tighter), sentence);
    }
    if (old.run_time, old.size) != (new.run_time, new.size) {
        let sentence = format!("Queue {name} declares another size or run time.");
        add(differences, Safety::Safe, sentence);
    }
}

fn diff_team(
    name: &TeamName,
    old: Option<&Team>,
    new: Option<&Team>,
    differences: &mut Vec<Difference>,
) {
    let (Some(old), Some(new)) = (old, new) else {
        let (safety, description) = match new {
            Some(_) => (Safety::Safe, "new"),
            None => (Safety::Careful, "gone: its keys stop working"),
        };
        return add(
            differences,
            safety,
            format!("Team {name} is {description}."),
        );
    };
    if old.home != new.home {
        let sentence = format!(
            "Team {name}: the home zone can't change from {} to {}; idempotency claims live there.",
            old.home, new.home
        );
        add(differences, Safety::Refused, sentence);
    }
    if old.limit != new.limit {
        let sentence = if new.limit < old.limit {
            format!(
                "Team {name}: the upper limit is lowered from {} to {} slots; running work goes on, \
                 nothing new starts until it is below.",
                old.limit, new.limit
            )
        } else {
            format!(
                "Team {name}: the upper limit rises from {} to {} slots.",
                old.limit, new.limit
            )
        };
        add(differences, careful_if(new.limit < old.limit), sentence);
    }
    if old.share != new.share {
        let sentence = format!(
            "Team {name}: the share changes from {} to {}.",
            old.share, new.share
        );
        add(differences, Safety::Safe, sentence);
    }
    for_each_change(&old.keys, &new.keys, |key, _, after| {
        let (safety, description) = match after {
            Some(_) if old.keys.contains_key(key) => (Safety::Careful, "is replaced"),
            Some(_) => (Safety::Safe, "is added"),
            None => (
                Safety::Careful,
                "is withdrawn and stops working within seconds",
            ),
        };
        add(
            differences,
            safety,
            format!("Team {name}: key {key} {description}."),
        );
    });
}

fn diff_switches(old: &Config, new: &Config, differences: &mut Vec<Difference>) {
    for action in AutomaticAction::ALL {
        let (before, after) = (
            old.automatic.is_enabled(action),
            new.automatic.is_enabled(action),
        );
        if before != after {
            let word = if after { "on" } else { "off" };
            add(
                differences,
                Safety::Safe,
                format!("Automatic action {action} turns {word}."),
            );
        }
    }
}
