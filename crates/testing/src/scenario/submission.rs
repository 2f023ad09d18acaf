//! The steps that submit work and look at its outcome.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;

use eyre::OptionExt;
use eyre::WrapErr;
use http::Method;
use tokio::task::JoinHandle;
use uuid::Uuid;

use super::ledger::Outcome;
use super::load::Load;
use super::runner::Runner;
use super::step::Step;
use super::step::Submit;
use super::submit;
use super::submit::Submission;

/// What was submitted, by the names of the scenario.
#[derive(Default)]
pub(super) struct Submissions {
    sent: BTreeMap<String, Submission>,
    tickets: BTreeMap<String, String>,
    jobs: BTreeMap<String, String>,
    open: BTreeMap<String, JoinHandle<eyre::Result<Outcome>>>,
    count: usize,
}

impl Runner {
    /// Submits a new request or job.
    pub(super) async fn submit(&mut self, step: &Submit) -> eyre::Result<String> {
        let mut shown = Vec::new();
        for entry in self.entries_at(step.at.as_deref())? {
            let submission = self.submission(step)?;
            self.submissions
                .sent
                .insert(step.name.clone(), submission.clone());
            let sent = self.send(
                &step.name,
                submission,
                &entry,
                step.background,
                &step.expect,
            );
            shown.push(sent.await?);
        }
        Ok(shown.join("\n"))
    }

    fn submission(&mut self, step: &Submit) -> eyre::Result<Submission> {
        let ticket = step.ticket.as_ref().map(|name| {
            let ticket = self.submissions.tickets.get(name).cloned();
            ticket.ok_or_else(|| eyre::eyre!("no ticket is called {name:?}"))
        });
        self.submissions.count += 1;
        Ok(Submission {
            durable: step.durable,
            queue: step.queue.clone(),
            key: self.key(step.key.as_deref())?,
            body: format!("{} {}", step.name, self.submissions.count),
            idempotency: step.once.then(|| Uuid::now_v7().to_string()),
            ticket: ticket.transpose()?,
            deadline: step.deadline,
            urgent: step.urgent,
        })
    }

    fn key(&self, name: Option<&str>) -> eyre::Result<Option<String>> {
        let key = name.map(|name| {
            let key = self.keys.get(name).cloned();
            key.ok_or_else(|| eyre::eyre!("no key {name:?} was added; use TEAM/KEY"))
        });
        key.transpose()
    }

    /// Submits the same again.
    pub(super) async fn repeat(
        &mut self,
        name: &str,
        at: Option<&str>,
        background: bool,
        expect: &str,
    ) -> eyre::Result<String> {
        let submission = self.submissions.sent.get(name).cloned();
        let submission = submission.ok_or_eyre("nothing with this name was submitted")?;
        let mut shown = Vec::new();
        for entry in self.entries_at(at)? {
            let sent = self.send(name, submission.clone(), &entry, background, expect);
            shown.push(sent.await?);
        }
        Ok(shown.join("\n"))
    }

    async fn send(
        &mut self,
        name: &str,
        submission: Submission,
        entry: &str,
        background: bool,
        expect: &str,
    ) -> eyre::Result<String> {
        let idempotent = self.document.is_idempotent(&submission.queue);
        let ledger = Arc::clone(&self.ledger);
        let world = self.world()?;
        let (client, address) = (
            world.client().clone(),
            world.process(entry)?.address("callers")?,
        );
        let sending = async move {
            let outcome = submit::submit(&client, address, &submission).await?;
            let mut ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.note(&submission.body, idempotent, &outcome);
            Ok(outcome)
        };
        if background {
            let open = tokio::spawn(sending);
            self.submissions.open.insert(name.to_owned(), open);
            return Ok(format!("{entry}: open"));
        }
        let outcome: eyre::Result<Outcome> = sending.await;
        let settled = self.settle(name, &outcome?, expect);
        settled
            .map(|text| format!("{entry}: {text}"))
            .wrap_err_with(|| format!("at {entry}"))
    }

    fn settle(&mut self, name: &str, outcome: &Outcome, expect: &str) -> eyre::Result<String> {
        eyre::ensure!(outcome.fits(expect), "expected {expect}, got {outcome}");
        if let Outcome::Accepted(job) = outcome {
            self.submissions.jobs.insert(name.to_owned(), job.clone());
        }
        Ok(outcome.to_string())
    }

    /// Waits for the outcome of a submission in the background.
    pub(super) async fn settled(&mut self, name: &str, expect: &str) -> eyre::Result<String> {
        let open = self.submissions.open.remove(name);
        let outcome = open.ok_or_eyre("nothing with this name is open")?.await??;
        self.settle(name, &outcome, expect)
    }

    pub(super) async fn finish_background(&mut self) -> eyre::Result<()> {
        for open in std::mem::take(&mut self.submissions.open).into_values() {
            open.await??;
        }
        Ok(())
    }

    /// Takes an execution ticket.
    pub(super) async fn ticket(
        &mut self,
        name: &str,
        key: Option<&str>,
        at: Option<&str>,
    ) -> eyre::Result<String> {
        let key = self.key(key)?;
        let entry = self.entries_at(at)?.remove(0);
        let world = self.world()?;
        let address = world.process(&entry)?.address("callers")?;
        let uri = format!("http://{address}/v1/tickets");
        let answer = submit::call(world.client(), Method::POST, &uri, key.as_deref()).await?;
        let ticket = answer.1["ticket"].as_str();
        let ticket = ticket.ok_or_else(|| eyre::eyre!("no ticket: {} {}", answer.0, answer.1))?;
        self.submissions
            .tickets
            .insert(name.to_owned(), ticket.to_owned());
        Ok(entry)
    }

    /// Checks how often a submission was started at the workers.
    pub(super) async fn expect_runs(&mut self, name: &str, count: u32) -> eyre::Result<String> {
        let sent = self.submissions.sent.get(name);
        let body = sent
            .ok_or_eyre("nothing with this name was submitted")?
            .body
            .clone();
        let runs = self.world()?.runs().await?.get(&body).copied().unwrap_or(0);
        eyre::ensure!(runs == count, "expected {count} runs, got {runs}");
        Ok(format!("{runs} runs"))
    }

    /// Checks the state of a durable job.
    pub(super) async fn job_state(
        &mut self,
        name: &str,
        states: &str,
        at: Option<&str>,
    ) -> eyre::Result<String> {
        let job = self
            .submissions
            .jobs
            .get(name)
            .cloned()
            .ok_or_eyre("no such job")?;
        let key = self
            .submissions
            .sent
            .get(name)
            .and_then(|sent| sent.key.clone());
        let entry = self.entries_at(at)?.remove(0);
        let world = self.world()?;
        let address = world.process(&entry)?.address("callers")?;
        let uri = format!("http://{address}/v1/jobs/{job}");
        let answer = submit::call(world.client(), Method::GET, &uri, key.as_deref()).await?;
        let state = answer.1["state"].as_str().unwrap_or_default();
        let right = states.split('|').any(|wanted| wanted == state);
        eyre::ensure!(right, "expected {states}, got {} {}", answer.0, answer.1);
        Ok(format!(
            "{entry}: {state}, attempts {}",
            answer.1["attempts"]
        ))
    }

    /// Starts a load.
    pub(super) fn load(&mut self, step: &Step) -> eyre::Result<String> {
        let Step::Load {
            name,
            queue,
            key,
            at,
            every,
            once,
        } = step
        else {
            eyre::bail!("not a load");
        };
        let submission = Submission {
            queue: queue.clone(),
            key: self.key(key.as_deref())?,
            body: format!("load {name}"),
            idempotency: once.then(String::new),
            ..Submission::default()
        };
        let balancer = match at {
            Some(names) => self.fixed_balancer(names)?,
            None => Arc::clone(&self.balancer),
        };
        let load = Load::start(
            self.world()?.client().clone(),
            balancer,
            Arc::clone(&self.ledger),
            submission,
            self.document.is_idempotent(queue),
            *every,
        );
        self.loads.insert(name.clone(), load);
        Ok(String::new())
    }

    /// Ends a load and checks every outcome.
    pub(super) async fn end(
        &mut self,
        name: &str,
        expect: &str,
        at_least: u32,
    ) -> eyre::Result<String> {
        let load = self.loads.remove(name).ok_or_eyre("no such load")?;
        let outcomes = load.end().await?;
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for outcome in &outcomes {
            let word = match outcome {
                Outcome::NotRun(kind) => format!("not_run:{kind}"),
                other => other.word().to_owned(),
            };
            *counts.entry(word).or_default() += 1;
        }
        let wrong = outcomes.iter().find(|outcome| !outcome.fits(expect));
        eyre::ensure!(
            wrong.is_none(),
            "expected {expect}, got {wrong:?} of {counts:?}"
        );
        let ran = counts.get("ran").copied().unwrap_or(0);
        eyre::ensure!(
            ran >= at_least as usize,
            "only {ran} requests ran: {counts:?}"
        );
        Ok(format!("{counts:?}"))
    }
}
