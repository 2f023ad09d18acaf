//! Tests of the parser.

use assert_matches::assert_matches;
use lavenderhollow_config::Config;
use lavenderhollow_config::ParseError;
use lavenderhollow_config::parse;
use lavenderhollow_config::parse_config;

fn problems(text: &str) -> Vec<String> {
    let error = parse_config(text).expect_err("the document has problems");
    error.problems().iter().map(ToString::to_string).collect()
}

/// Guards against reporting only the first of several values that can't be parsed, or accepting
/// unknown fields.
#[test]
fn every_malformed_value_is_reported_at_once() {
    let text = r#"{
        "deployment": "d", "colour": 1,
        "zones": {"a": {"region": "r"}},
        "pools": {"p": {"max_unavailable": "two"}},
        "queues": {"q": {"pool": "p", "deadline_ms": -1, "run_time_ms": 10}},
        "teams": {"t": {"share": 1, "limit": 5, "home": "a", "limits": 3}}
    }"#;
    let reported = problems(text);
    let paths: Vec<&str> = reported
        .iter()
        .filter_map(|p| p.split(':').next())
        .collect();
    assert_eq!(
        paths,
        [
            "colour",
            "pools.p.max_unavailable",
            "queues.q.deadline_ms",
            "teams.t.limits"
        ]
    );
}

/// Guards against reporting only the first of several values that break a rule, or accepting them.
#[test]
fn every_violated_rule_is_reported_at_once() {
    let text = r#"{
        "deployment": "d",
        "zones": {"a": {"region": "r"}},
        "pools": {"p": {"max_unavailable": 1, "racks_at_once": 0}},
        "queues": {"q": {"pool": "x", "deadline_ms": 5, "run_time_ms": 0}},
        "teams": {"t": {"share": 0, "limit": 5, "home": "b"}}
    }"#;
    assert_eq!(
        problems(text),
        [
            "pools.p.racks_at_once: 0 is not allowed: 1 or more",
            "queues.q.pool: \"x\" is not allowed: a declared pool (p)",
            "queues.q.run_time_ms: 0 is not allowed: 1 to 604800000 (seven days)",
            "teams.t.share: 0 is not allowed: 1 to 1000000",
            "teams.t.home: \"b\" is not allowed: a declared availability zone (a)",
        ]
    );
}

/// Guards against accepting a key that identifies two teams.
#[test]
fn key_of_two_teams_is_rejected() {
    let hash = "11".repeat(32);
    let text = format!(
        r#"{{
        "deployment": "d",
        "zones": {{"a": {{"region": "r"}}}},
        "pools": {{"p": {{"max_unavailable": 1}}}},
        "queues": {{"q": {{"pool": "p", "deadline_ms": 5, "run_time_ms": 1}}}},
        "teams": {{
            "t": {{"share": 1, "limit": 5, "home": "a", "keys": {{"k": "{hash}"}}}},
            "u": {{"share": 1, "limit": 5, "home": "a", "keys": {{"k": "{hash}"}}}}
        }}}}"#
    );
    assert_eq!(
        problems(&text),
        [
            "teams.u.keys.k: \"KeyHash(1111..)\" is not allowed: a key of its own; teams.t.keys.k is the same"
        ]
    );
}

/// Guards against accepting a truncated document, or reporting it without the place of the error.
#[test]
fn truncated_document_is_a_syntax_error_with_its_line() {
    let error = parse::<Config>("{\"deployment\": \"d\",").expect_err("the document is truncated");
    assert_matches!(error, ParseError::Syntax { message } if message.contains("line 1"));
}
