//! Runs a scenario step by step.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use eyre::WrapErr;
use serde_json::Value;

use super::document::Document;
use super::load::Balancer;
use super::load::Load;
use super::load::SharedLedger;
use super::load::Watch;
use super::step::Script;
use super::step::Step;
use super::submission::Submissions;
use super::world::World;

/// How often a condition of `within` is looked at.
const POLL: Duration = Duration::from_millis(50);

/// How long after the last step the runs are counted, so that a late start is seen.
const SETTLE: Duration = Duration::from_millis(500);

/// The state of a running scenario.
#[derive(Default)]
pub struct Runner {
    pub(super) world: Option<World>,
    pub(super) document: Document,
    pub(super) keys: BTreeMap<String, String>,
    pub(super) submissions: Submissions,
    pub(super) loads: BTreeMap<String, Load>,
    pub(super) watches: Vec<Watch>,
    pub(super) ledger: SharedLedger,
    pub(super) balancer: Balancer,
    pub(super) turn: usize,
}

/// Runs a scenario, prints its steps if `verbose`, and returns a line with the counts of outcomes.
///
/// # Errors
///
/// Fails at the first step that fails, with its line and the processes' last log lines, or with
/// every promise that was broken at the end.
pub async fn run_text(file: &str, text: &str, verbose: bool) -> eyre::Result<String> {
    let script = Script::parse(file, text)?;
    let mut runner = Runner::default();
    let run = run_script(&mut runner, &script, verbose).await;
    run.map_err(|report| {
        let logs = runner.world.as_ref().map(World::log_tails);
        report.wrap_err(logs.unwrap_or_default())
    })
}

async fn run_script(runner: &mut Runner, script: &Script, verbose: bool) -> eyre::Result<String> {
    let started = Instant::now();
    for (line, text, step) in &script.steps {
        let done = runner.run(step).await;
        let done = done.wrap_err_with(|| format!("{}:{line}: {text}", script.file))?;
        if verbose {
            let took = started.elapsed().as_secs_f64();
            println!("{took:6.2} s  {text}");
            done.lines().for_each(|line| println!("          {line}"));
        }
    }
    runner.finish().await
}

impl Runner {
    /// Runs one step and returns what is worth showing.
    pub(super) async fn run(&mut self, step: &Step) -> eyre::Result<String> {
        match step {
            Step::Within { limit, step } => self.within(*limit, step).await,
            step => self.carry_out(step).await,
        }
    }

    /// Repeats a step until it succeeds or the time is over.
    async fn within(&mut self, limit: Duration, step: &Step) -> eyre::Result<String> {
        let started = Instant::now();
        loop {
            let error = match self.carry_out(step).await {
                Ok(done) => {
                    let took = started.elapsed().as_secs_f64();
                    return Ok(format!("after {took:.2} s: {done}"));
                }
                Err(error) => error,
            };
            if started.elapsed() >= limit {
                return Err(error.wrap_err(format!("not within {limit:?}")));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    async fn finish(&mut self) -> eyre::Result<String> {
        for (name, load) in std::mem::take(&mut self.loads) {
            load.end().await.wrap_err(name)?;
        }
        self.finish_background().await?;
        let world = self.world.as_ref().ok_or_eyre("no zones")?;
        world.heal_all();
        tokio::time::sleep(SETTLE).await;
        self.watches.clear();
        let runs = world.runs().await?;
        let ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        let broken = ledger.check(&runs);
        eyre::ensure!(broken.is_empty(), "broken promises:\n{}", broken.join("\n"));
        let counts = ledger.counts().into_iter();
        let counts: Vec<_> = counts
            .map(|(word, count)| format!("{count} {word}"))
            .collect();
        Ok(counts.join(", "))
    }

    pub(super) fn world(&mut self) -> eyre::Result<&mut World> {
        self.world
            .as_mut()
            .ok_or_eyre("the first step must be 'zones NAME...'")
    }

    /// Returns the entry that a step names, all for `every`, or the next one in turn.
    pub(super) fn entries_at(&mut self, at: Option<&str>) -> eyre::Result<Vec<String>> {
        let all = self.world()?.entries();
        Ok(match at {
            Some("every") => all,
            Some(name) => vec![name.to_owned()],
            None => {
                eyre::ensure!(!all.is_empty(), "no entry runs");
                self.turn += 1;
                vec![all[self.turn % all.len()].clone()]
            }
        })
    }

    /// Returns the entry that a step names, or all of them.
    pub(super) fn operators_at(&mut self, at: Option<&str>) -> eyre::Result<Vec<String>> {
        self.entries_at(Some(at.unwrap_or("every")))
    }

    pub(super) async fn status(&mut self) -> eyre::Result<Value> {
        let world = self.world()?;
        let entry = world.entries();
        let entry = entry.first().ok_or_eyre("no entry runs")?;
        world.ask(entry, "/v1/status").await
    }

    /// Returns a balancer for entries whose names are separated by commas.
    pub(super) fn fixed_balancer(&mut self, names: &str) -> eyre::Result<Balancer> {
        let world = self.world()?;
        let address = |name| world.process(name)?.address("callers");
        let addresses: eyre::Result<_> = names.split(',').map(address).collect();
        Ok(Arc::new(Mutex::new(addresses?)))
    }

    /// Tells the balancer which entries run.
    pub(super) fn balance(&mut self) -> eyre::Result<()> {
        let world = self.world()?;
        let mut addresses = Vec::new();
        for entry in world.entries() {
            addresses.push(world.process(&entry)?.address("callers")?);
        }
        let balancer = Arc::clone(&self.balancer);
        *balancer.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
        Ok(())
    }
}
