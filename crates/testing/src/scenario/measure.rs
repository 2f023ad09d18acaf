//! Measures how long a configuration and a withdrawn key take to every entry.

use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use http::Method;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;

use super::runner::Runner;
use super::step::Script;
use super::submit;
use super::submit::Submission;
use super::world::TOKEN;

const SETUP: &str = "\
zones a b c
pool services out=1
queue checks pool=services idempotent run=10ms
team agency home=a limit=90
entries a 3
entries b 3
entries c 3
workers a 3 pool=services
workers b 3 pool=services
workers c 3 pool=services
publish in-force
within 20s in-force everywhere
";

/// How often each entry is asked. It limits the resolution of the results.
const POLL: Duration = Duration::from_millis(10);

/// After how long a round fails.
const ROUND_LIMIT: Duration = Duration::from_secs(30);

/// The times of one series, in seconds.
#[derive(Clone, Debug, Default)]
struct Series {
    in_force: Vec<f64>,
    withdrawn: Vec<f64>,
}

/// Measures `rounds` rounds with all zones connected and as many with one zone cut off from the
/// platform, and prints median and maximum.
///
/// # Errors
///
/// Fails when a process does not start or a round takes too long.
pub async fn measure(rounds: u32, seed: u64) -> eyre::Result<()> {
    println!("seed {seed}, 9 entries in 3 zones, {rounds} rounds each");
    let mut random = StdRng::seed_from_u64(seed);
    let mut runner = Runner::default();
    run(&mut runner, SETUP).await?;
    let connected = series(&mut runner, rounds, &mut random, None).await?;
    print("all zones connected", connected);
    let zones = ["a", "b", "c"];
    let zone = zones[random.random_range(0..zones.len())];
    run(&mut runner, &format!("cut {zone} platform")).await?;
    let cut = series(&mut runner, rounds, &mut random, Some(zone)).await?;
    print(&format!("zone {zone} cut off from the platform"), cut);
    Ok(())
}

async fn run(runner: &mut Runner, text: &str) -> eyre::Result<()> {
    for (_, _, step) in Script::parse("measure", text)?.steps {
        runner.run(&step).await?;
    }
    Ok(())
}

async fn series(
    runner: &mut Runner,
    rounds: u32,
    random: &mut StdRng,
    cut: Option<&str>,
) -> eyre::Result<Series> {
    let entries = runner.world()?.entries();
    let own_zone = |entry: &String| cut.is_some_and(|zone| entry.starts_with(zone));
    let reached: Vec<_> = entries
        .into_iter()
        .filter(|entry| !own_zone(entry))
        .collect();
    let mut series = Series::default();
    for round in 0..rounds {
        let at = &reached[random.random_range(0..reached.len())];
        let limit = 90 + (round + 1) % 2;
        run(runner, &format!("team agency home=a limit={limit}")).await?;
        let started = Instant::now();
        run(runner, &format!("publish at={at}")).await?;
        in_force(runner, at).await?;
        series.in_force.push(started.elapsed().as_secs_f64());

        run(runner, &format!("key add agency k at={at}")).await?;
        in_force(runner, at).await?;
        let started = Instant::now();
        run(runner, &format!("key withdraw agency k at={at}")).await?;
        refused(runner).await?;
        series.withdrawn.push(started.elapsed().as_secs_f64());
    }
    Ok(series)
}

/// Waits until every entry has the version of the entry `at`.
async fn in_force(runner: &mut Runner, at: &str) -> eyre::Result<()> {
    let world = runner.world()?;
    let version = world.ask(at, "/v1/config").await?["version"].as_u64();
    let version = version.ok_or_eyre("no version")?;
    let mut waits = JoinSet::new();
    for entry in world.entries() {
        let client = world.client().clone();
        let uri = format!(
            "http://{}/v1/config",
            world.process(&entry)?.address("operators")?
        );
        waits.spawn(async move {
            loop {
                let answer = submit::call(&client, Method::GET, &uri, Some(TOKEN)).await?;
                if answer.1["version"].as_u64() >= Some(version) {
                    return eyre::Ok(());
                }
                tokio::time::sleep(POLL).await;
            }
        });
    }
    all(waits).await
}

/// Waits until every entry refuses the key `k`.
async fn refused(runner: &mut Runner) -> eyre::Result<()> {
    let key = runner.keys.get("agency/k").cloned();
    let world = runner.world()?;
    let mut waits = JoinSet::new();
    for entry in world.entries() {
        let client = world.client().clone();
        let address = world.process(&entry)?.address("callers")?;
        let submission = Submission {
            queue: "checks".to_owned(),
            key: key.clone(),
            body: "measure".to_owned(),
            deadline: Some(Duration::from_secs(1)),
            ..Submission::default()
        };
        waits.spawn(async move {
            while !submit::submit(&client, address, &submission)
                .await?
                .fits("not_run:unauthorized")
            {
                tokio::time::sleep(POLL).await;
            }
            eyre::Ok(())
        });
    }
    all(waits).await
}

async fn all(mut waits: JoinSet<eyre::Result<()>>) -> eyre::Result<()> {
    let joined = async {
        while let Some(done) = waits.join_next().await {
            done??;
        }
        eyre::Ok(())
    };
    tokio::time::timeout(ROUND_LIMIT, joined).await?
}

fn print(what: &str, series: Series) {
    let named = [
        ("published to in force at every entry", series.in_force),
        ("withdrawn to refused at every entry", series.withdrawn),
    ];
    for (name, mut times) in named {
        times.sort_by(f64::total_cmp);
        let median = times.get(times.len() / 2).copied().unwrap_or(f64::NAN);
        let max = times.last().copied().unwrap_or(f64::NAN);
        println!("{what}: {name}: median {median:.2} s, maximum {max:.2} s");
    }
}
