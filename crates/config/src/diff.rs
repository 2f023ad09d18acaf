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
    for_each_change(&old.pools, &new.pools, |name, a, b| {
        diff_pool(name, a, b, &mut differences);
    });
    for_each_change(&old.queues, &new.queues, |name, a, b| {
        diff_queue(name, a, b, &mut differences);
    });
    for_each_change(&old.teams, &new.teams, |name, a, b| {
        diff_team(name, a, b, &mut differences);
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
    for_each_change(&old.zones, &new.zones, |name, a, b| match (a, b) {
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
    a: Option<&Pool>,
    b: Option<&Pool>,
    differences: &mut Vec<Difference>,
) {
    let (Some(a), Some(b)) = (a, b) else {
        let (safety, description) = match b {
            Some(_) => (Safety::Safe, "new"),
            None => (Safety::Careful, "gone: its VMs take no work"),
        };
        return add(
            differences,
            safety,
            format!("Pool {name} is {description}."),
        );
    };
    let mut field_changed = |field: &str, a: &dyn Debug, b: &dyn Debug, safety| {
        add(
            differences,
            safety,
            format!("Pool {name}: {field} changes from {a:?} to {b:?}."),
        );
    };
    if a.max_unavailable != b.max_unavailable {
        let safety = careful_if(b.max_unavailable > a.max_unavailable);
        field_changed(
            "the availability budget",
            &a.max_unavailable,
            &b.max_unavailable,
            safety,
        );
    }
    if a.racks_at_once != b.racks_at_once {
        let safety = careful_if(b.racks_at_once > a.racks_at_once);
        field_changed(
            "the number of racks drained at once",
            &a.racks_at_once,
            &b.racks_at_once,
            safety,
        );
    }
    if a.buffer_slots != b.buffer_slots {
        field_changed(
            "the buffer in slots",
            &a.buffer_slots,
            &b.buffer_slots,
            Safety::Safe,
        );
    }
    if a.spare != b.spare {
        field_changed(
            "lending of VMs to other pools",
            &a.spare,
            &b.spare,
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
    a: Option<&Queue>,
    b: Option<&Queue>,
    differences: &mut Vec<Difference>,
) {
    let (Some(a), Some(b)) = (a, b) else {
        let (safety, description) = match b {
            Some(_) => (Safety::Safe, "new"),
            None => (Safety::Careful, "gone: its requests are refused"),
        };
        return add(
            differences,
            safety,
            format!("Queue {name} is {description}."),
        );
    };
    if a.open != b.open {
        let (safety, description) = if b.open {
            (Safety::Careful, "takes work from anyone, without a key")
        } else {
            (Safety::Careful, "takes work only with a team's key")
        };
        add(differences, safety, format!("Queue {name} {description}."));
    }
    if a.idempotent != b.idempotent {
        let (safety, description) = if b.idempotent {
            (Safety::Careful, "may run a request twice after a failure")
        } else {
            (Safety::Safe, "runs a request at most once")
        };
        add(differences, safety, format!("Queue {name} {description}."));
    }
    if a.pool != b.pool {
        let sentence = format!(
            "Queue {name} is served by pool {} instead of {}.",
            b.pool, a.pool
        );
        add(differences, Safety::Careful, sentence);
    }
    if (a.deadline, a.max_queued) != (b.deadline, b.max_queued) {
        let tighter = b.deadline < a.deadline || b.max_queued < a.max_queued;
        let sentence = format!(
            "Queue {name}: {} requests of a team wait at most {} ms (before: {}, {} ms).",
            b.max_queued,
            b.deadline.as_millis(),
            a.max_queued,
            a.deadline.as_millis()
        );
        add(differences, careful_if(tighter), sentence);
    }
    if (a.run_time, a.size) != (b.run_time, b.size) {
        let sentence = format!("Queue {name} declares another size or run time.");
        add(differences, Safety::Safe, sentence);
    }
}

fn diff_team(
    name: &TeamName,
    a: Option<&Team>,
    b: Option<&Team>,
    differences: &mut Vec<Difference>,
) {
    let (Some(a), Some(b)) = (a, b) else {
        let (safety, description) = match b {
            Some(_) => (Safety::Safe, "new"),
            None => (Safety::Careful, "gone: its keys stop working"),
        };
        return add(
            differences,
            safety,
            format!("Team {name} is {description}."),
        );
    };
    if a.home != b.home {
        let sentence = format!(
            "Team {name}: the home zone can't change from {} to {}; idempotency claims live there.",
            a.home, b.home
        );
        add(differences, Safety::Refused, sentence);
    }
    if a.limit != b.limit {
        let sentence = if b.limit < a.limit {
            format!(
                "Team {name}: the upper limit is lowered from {} to {} slots; running work goes on, \
                 nothing new starts until it is below.",
                a.limit, b.limit
            )
        } else {
            format!(
                "Team {name}: the upper limit rises from {} to {} slots.",
                a.limit, b.limit
            )
        };
        add(differences, careful_if(b.limit < a.limit), sentence);
    }
    if a.share != b.share {
        let sentence = format!(
            "Team {name}: the share changes from {} to {}.",
            a.share, b.share
        );
        add(differences, Safety::Safe, sentence);
    }
    for_each_change(&a.keys, &b.keys, |key, _, after| {
        let (safety, description) = match after {
            Some(_) if a.keys.contains_key(key) => (Safety::Careful, "is replaced"),
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
