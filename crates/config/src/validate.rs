//! Validates a configuration against the rules that its format can't express.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhollow_types::TeamName;

use crate::Config;
use crate::KeyHash;
use crate::Pool;
use crate::Problem;
use crate::Queue;
use crate::Team;

/// The longest deadline and run time of a queue: seven days.
const MAX_DURATION: Duration = Duration::from_hours(7 * 24);

/// The largest share, which keeps sums of shares far from integer overflow.
const MAX_SHARE: u32 = 1_000_000;

/// The largest limit and buffer, in slots: twice the slots of the largest fleet, at eight slots per
/// worker.
const MAX_SLOTS: u32 = 240_000;

/// Checks all rules and returns every problem, ordered by section. [`crate::parse_config`] and the
/// questionnaire call it.
pub fn validate(config: &Config) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_sections(config, &mut problems);
    for (name, pool) in &config.pools {
        check_pool(&format!("pools.{name}"), pool, &mut problems);
    }
    for (name, queue) in &config.queues {
        check_queue(&format!("queues.{name}"), queue, config, &mut problems);
    }
    for (name, team) in &config.teams {
        check_team(&format!("teams.{name}"), team, config, &mut problems);
    }
    check_keys(config, &mut problems);
    check_weights(config, &mut problems);
    problems
}

fn check_sections(config: &Config, problems: &mut Vec<Problem>) {
    if config.deployment.trim().is_empty() {
        problems.push(Problem::new(
            "deployment",
            &config.deployment,
            "a name that is not empty",
        ));
    }
    let sections = [
        ("zones", config.zones.is_empty()),
        ("pools", config.pools.is_empty()),
        ("queues", config.queues.is_empty()),
    ];
    for (section, empty) in sections {
        if empty {
            let none: [u8; 0] = [];
            problems.push(Problem::new(section, &none, "at least one entry"));
        }
    }
}

fn check_pool(path: &str, pool: &Pool, problems: &mut Vec<Problem>) {
    if pool.racks_at_once == 0 {
        let full_path = format!("{path}.racks_at_once");
        problems.push(Problem::new(full_path, &pool.racks_at_once, "1 or more"));
    }
    if pool.buffer_slots > MAX_SLOTS {
        let full_path = format!("{path}.buffer_slots");
        problems.push(Problem::new(
            full_path,
            &pool.buffer_slots,
            format!("at most {MAX_SLOTS}"),
        ));
    }
}

fn check_queue(path: &str, queue: &Queue, config: &Config, problems: &mut Vec<Problem>) {
    if !config.pools.contains_key(&queue.pool) {
        let full_path = format!("{path}.pool");
        problems.push(Problem::new(
            full_path,
            &queue.pool,
            allowed_names("pool", config.pools.keys()),
        ));
    }
    if queue.max_queued == 0 {
        let full_path = format!("{path}.max_queued");
        problems.push(Problem::new(full_path, &queue.max_queued, "1 or more"));
    }
    let times = [
        ("deadline_ms", queue.deadline),
        ("run_time_ms", queue.run_time),
    ];
    for (field, time) in times {
        if time.is_zero() || time > MAX_DURATION {
            let allowed = format!("1 to {} (seven days)", MAX_DURATION.as_millis());
            problems.push(Problem::new(
                format!("{path}.{field}"),
                &time.as_millis(),
                allowed,
            ));
        }
    }
}

fn check_team(path: &str, team: &Team, config: &Config, problems: &mut Vec<Problem>) {
    if team.share == 0 || team.share > MAX_SHARE {
        let allowed = format!("1 to {MAX_SHARE}");
        problems.push(Problem::new(format!("{path}.share"), &team.share, allowed));
    }
    if team.limit > MAX_SLOTS {
        let allowed = format!("at most {MAX_SLOTS}");
        problems.push(Problem::new(format!("{path}.limit"), &team.limit, allowed));
    }
    if !config.zones.contains_key(&team.home) {
        let allowed = allowed_names("availability zone", config.zones.keys());
        problems.push(Problem::new(format!("{path}.home"), &team.home, allowed));
    }
}

/// Rejects a key that occurs twice, since a key that two teams share would not identify the team of
/// a caller.
fn check_keys(config: &Config, problems: &mut Vec<Problem>) {
    let mut owners: BTreeMap<[u8; 32], (&TeamName, &str)> = BTreeMap::new();
    for (team, settings) in &config.teams {
        for (name, hash) in &settings.keys {
            if let Some((other, key)) = owners.insert(hash.bytes(), (team, name)) {
                let full_path = format!("teams.{team}.keys.{name}");
                let allowed = format!("a key of its own; teams.{other}.keys.{key} is the same");
                problems.push(Problem::new(full_path, &short_hash(hash), allowed));
            }
        }
    }
}

fn check_weights(config: &Config, problems: &mut Vec<Problem>) {
    let weights = &config.weights;
    let values = [
        ("buffer_hour", weights.buffer_hour),
        ("vm_move", weights.vm_move),
        ("rollout_hour", weights.rollout_hour),
        ("share_distance", weights.share_distance),
    ];
    for (field, value) in values {
        if !value.is_finite() || value < 0.0 {
            problems.push(Problem::new(
                format!("weights.{field}"),
                &value,
                "0 or more",
            ));
        }
    }
}

fn short_hash(hash: &KeyHash) -> String {
    format!("{hash:?}")
}

fn allowed_names<T: ToString>(kind: &str, names: impl Iterator<Item = T>) -> String {
    const MAX_LISTED: usize = 8;
    let names: Vec<String> = names.map(|name| name.to_string()).collect();
    let listed = names[..names.len().min(MAX_LISTED)].join(", ");
    let more = if names.len() > MAX_LISTED {
        ", …"
    } else {
        ""
    };
    format!("a declared {kind} ({listed}{more})")
}
