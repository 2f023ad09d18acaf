//! Differences between two configurations, in sentences.

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

/// Whether a change may be published now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Safety {
    /// Nobody is refused or interrupted.
    #[display("safe")]
    Safe,
    /// Somebody is refused or waits longer, as is probably meant.
    #[display("look twice")]
    Careful,
    /// The system refuses the change.
    #[display("refused")]
    Refused,
}

/// One change, for whom, and whether it is safe.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("[{safety}] {sentence}")]
pub struct Difference {
    /// Whether it may be published now.
    pub safety: Safety,
    /// The change in a sentence.
    pub sentence: String,
}

/// Describes what changes from one configuration to another.
pub fn diff(old: &Config, new: &Config) -> Vec<Difference> {
    let mut out = Vec::new();
    diff_zones(old, new, &mut out);
    for_each(&old.pools, &new.pools, |name, a, b| {
        diff_pool(name, a, b, &mut out);
    });
    for_each(&old.queues, &new.queues, |name, a, b| {
        diff_queue(name, a, b, &mut out);
    });
    for_each(&old.teams, &new.teams, |name, a, b| {
        diff_team(name, a, b, &mut out);
    });
    diff_switches(old, new, &mut out);
    if old.weights != new.weights {
        add(
            &mut out,
            Safety::Safe,
            "The planner weighs its measures differently.".to_owned(),
        );
    }
    if old.deployment != new.deployment {
        let sentence = format!("The deployment is called {:?} now.", new.deployment);
        add(&mut out, Safety::Safe, sentence);
    }
    out
}

fn add(out: &mut Vec<Difference>, safety: Safety, sentence: String) {
    out.push(Difference { safety, sentence });
}

fn for_each<K: Ord, V: PartialEq>(
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

fn diff_zones(old: &Config, new: &Config, out: &mut Vec<Difference>) {
    for_each(&old.zones, &new.zones, |name, a, b| match (a, b) {
        (None, _) => add(
            out,
            Safety::Safe,
            format!("Availability zone {name} is new."),
        ),
        (_, None) => {
            let sentence = format!(
                "Availability zone {name} is gone: its silence no longer stops keyed work elsewhere."
            );
            add(out, Safety::Careful, sentence);
        }
        _ => add(
            out,
            Safety::Safe,
            format!("Availability zone {name} is in another region."),
        ),
    });
}

fn diff_pool(name: &PoolName, a: Option<&Pool>, b: Option<&Pool>, out: &mut Vec<Difference>) {
    let (Some(a), Some(b)) = (a, b) else {
        let (safety, what) = match b {
            Some(_) => (Safety::Safe, "new"),
            None => (Safety::Careful, "gone: its VMs take no work"),
        };
        return add(out, safety, format!("Pool {name} is {what}."));
    };
    let mut changed = |field: &str, a: &dyn Debug, b: &dyn Debug, safety| {
        add(
            out,
            safety,
            format!("Pool {name}: {field} changes from {a:?} to {b:?}."),
        );
    };
    if a.max_unavailable != b.max_unavailable {
        let safety = when(b.max_unavailable > a.max_unavailable);
        changed(
            "the availability budget",
            &a.max_unavailable,
            &b.max_unavailable,
            safety,
        );
    }
    if a.racks_at_once != b.racks_at_once {
        let safety = when(b.racks_at_once > a.racks_at_once);
        changed(
            "the number of racks drained at once",
            &a.racks_at_once,
            &b.racks_at_once,
            safety,
        );
    }
    if a.buffer_slots != b.buffer_slots {
        changed(
            "the buffer in slots",
            &a.buffer_slots,
            &b.buffer_slots,
            Safety::Safe,
        );
    }
    if a.spare != b.spare {
        changed(
            "lending of VMs to other pools",
            &a.spare,
            &b.spare,
            Safety::Safe,
        );
    }
}

fn when(careful: bool) -> Safety {
    if careful {
        Safety::Careful
    } else {
        Safety::Safe
    }
}

fn diff_queue(name: &QueueName, a: Option<&Queue>, b: Option<&Queue>, out: &mut Vec<Difference>) {
    let (Some(a), Some(b)) = (a, b) else {
        let (safety, what) = match b {
            Some(_) => (Safety::Safe, "new"),
            None => (Safety::Careful, "gone: its requests are refused"),
        };
        return add(out, safety, format!("Queue {name} is {what}."));
    };
    if a.open != b.open {
        let (safety, what) = if b.open {
            (Safety::Careful, "takes work from anyone, without a key")
        } else {
            (Safety::Careful, "takes work only with a team's key")
        };
        add(out, safety, format!("Queue {name} {what}."));
    }
    if a.idempotent != b.idempotent {
        let (safety, what) = if b.idempotent {
            (Safety::Careful, "may run a request twice after a failure")
        } else {
            (Safety::Safe, "runs a request at most once")
        };
        add(out, safety, format!("Queue {name} {what}."));
    }
    if a.pool != b.pool {
        let sentence = format!(
            "Queue {name} is served by pool {} instead of {}.",
            b.pool, a.pool
        );
        add(out, Safety::Careful, sentence);
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
        add(out, when(tighter), sentence);
    }
    if (a.run_time, a.size) != (b.run_time, b.size) {
        let sentence = format!("Queue {name} declares another size or run time.");
        add(out, Safety::Safe, sentence);
    }
}

fn diff_team(name: &TeamName, a: Option<&Team>, b: Option<&Team>, out: &mut Vec<Difference>) {
    let (Some(a), Some(b)) = (a, b) else {
        let (safety, what) = match b {
            Some(_) => (Safety::Safe, "new"),
            None => (Safety::Careful, "gone: its keys stop working"),
        };
        return add(out, safety, format!("Team {name} is {what}."));
    };
    if a.home != b.home {
        let sentence = format!(
            "Team {name}: the home zone can't change from {} to {}; idempotency claims live there.",
            a.home, b.home
        );
        add(out, Safety::Refused, sentence);
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
        add(out, when(b.limit < a.limit), sentence);
    }
    if a.share != b.share {
        let sentence = format!(
            "Team {name}: the share changes from {} to {}.",
            a.share, b.share
        );
        add(out, Safety::Safe, sentence);
    }
    for_each(&a.keys, &b.keys, |key, _, after| {
        let (safety, what) = match after {
            Some(_) if a.keys.contains_key(key) => (Safety::Careful, "is replaced"),
            Some(_) => (Safety::Safe, "is added"),
            None => (
                Safety::Careful,
                "is withdrawn and stops working within seconds",
            ),
        };
        add(out, safety, format!("Team {name}: key {key} {what}."));
    });
}

fn diff_switches(old: &Config, new: &Config, out: &mut Vec<Difference>) {
    for action in AutomaticAction::ALL {
        let (before, after) = (
            old.automatic.is_enabled(action),
            new.automatic.is_enabled(action),
        );
        if before != after {
            let word = if after { "on" } else { "off" };
            add(
                out,
                Safety::Safe,
                format!("Automatic action {action} turns {word}."),
            );
        }
    }
}
