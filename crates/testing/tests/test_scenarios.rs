use assert_matches::assert_matches;
use lavenderhollow_testing::scenario::Script;
use lavenderhollow_testing::scenario::run_text;
use tokio::sync::Mutex;

/// Scenarios start about fifteen processes each, so that they run one after the other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn run(file: &str, text: &str) -> eyre::Result<()> {
    let _turn = ONE_AT_A_TIME.lock().await;
    println!("{}", run_text(file, text, true).await?);
    Ok(())
}

macro_rules! scenario {
    ($file:literal) => {
        run($file, include_str!(concat!("../scenarios/", $file))).await
    };
}

/// Guards against a second run after a worker's answer was lost.
#[tokio::test]
async fn lost_answer_does_not_run_twice() -> eyre::Result<()> {
    scenario!("p8-answer-lost.scenario")
}

/// Guards against a second run of a ticket whose owner was killed.
#[tokio::test]
async fn ticket_of_a_killed_owner_does_not_run_twice() -> eyre::Result<()> {
    scenario!("p8-ticket-owner-killed.scenario")
}

/// Guards against an entry that accepts a withdrawn key.
#[tokio::test]
async fn withdrawn_key_is_refused_everywhere() -> eyre::Result<()> {
    scenario!("p4-withdrawn-key.scenario")
}

/// Guards against a zone without the platform that misses a configuration.
#[tokio::test]
async fn configuration_reaches_a_zone_without_the_platform() -> eyre::Result<()> {
    scenario!("p11-cut-from-platform.scenario")
}

/// Guards against work that is taken without a key.
#[tokio::test]
async fn work_without_a_key_is_refused() -> eyre::Result<()> {
    scenario!("p3-keys.scenario")
}

/// Guards against a check at the end that passes whatever ran: a wrong expectation must fail.
#[tokio::test]
async fn wrong_expectation_fails_with_its_line() {
    let text = "zones a\nentries a 1\nrequest r queue=none expect ran\n";
    let error = run("wrong.scenario", text).await.expect_err("it passed");
    assert!(
        format!("{error:#}").contains("wrong.scenario:3"),
        "{error:#}"
    );
}

/// Guards against a mistyped step or option that is silently left out.
#[test]
fn mistakes_are_reported_with_file_line_and_what_is_allowed() {
    for (line, allowed) in [
        ("crash a-e1", "allowed: zones"),
        ("fault log lost", "down, slow, answer-lost, ok"),
        ("request r queue=q kee=k expect ran", "allowed: key="),
        ("request r queue=q expect done", "may_have_run"),
        ("wait 5", "200ms or 8s"),
        ("kill", "the name of a process is missing"),
        ("kill a-e1 a-e2", "too much"),
    ] {
        let parsed = Script::parse("file", &format!("# comment\n\n{line}"));
        assert_matches!(parsed, Err(error) => {
            let text = error.to_string();
            assert!(text.starts_with("file:3: ") && text.contains(allowed), "{text}");
        });
    }
}

/// Guards against scenario files that no longer parse, also those that CI doesn't run.
#[test]
fn all_scenarios_parse() -> eyre::Result<()> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let mut count = 0;
    for file in std::fs::read_dir(folder)? {
        let path = file?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "scenario")
        {
            Script::parse(
                &path.display().to_string(),
                &std::fs::read_to_string(&path)?,
            )?;
            count += 1;
        }
    }
    assert!(count >= 5, "only {count} scenarios");
    Ok(())
}
