//! The steps that start, operate, disturb and observe the deployment.

use std::collections::BTreeMap;
use std::sync::Arc;

use eyre::OptionExt;
use http::Method;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::Limits;
use lavenderhollow_platform::json_request;
use serde_json::Value;

use super::load::Bound;
use super::load::Watch;
use super::runner::Runner;
use super::step::Step;
use super::world::World;

const CALL_LIMITS: Limits = Limits {
    time: std::time::Duration::from_secs(2),
    body: 1 << 20,
};

impl Runner {
    /// Carries out a step once.
    pub(super) async fn carry_out(&mut self, step: &Step) -> eyre::Result<String> {
        match step {
            Step::Submit(submit) => self.submit(submit).await,
            Step::Repeat {
                name,
                at,
                background,
                expect,
            } => self.repeat(name, at.as_deref(), *background, expect).await,
            Step::Ticket { name, key, at } => {
                self.ticket(name, key.as_deref(), at.as_deref()).await
            }
            Step::Await { name, expect } => self.settled(name, expect).await,
            Step::ExpectRuns { name, count } => self.expect_runs(name, *count).await,
            Step::JobState { name, states, at } => {
                self.job_state(name, states, at.as_deref()).await
            }
            Step::Load { .. } => self.load(step),
            Step::End {
                name,
                expect,
                at_least,
            } => self.end(name, expect, *at_least).await,
            Step::Within { .. } => Err(eyre::eyre!("'within' can't be nested")),
            Step::Zones(_) | Step::Declare { .. } | Step::Entries { .. } | Step::Workers { .. } => {
                self.declare(step).await
            }
            Step::Publish { .. }
            | Step::Key { .. }
            | Step::Automatic { .. }
            | Step::Wave { .. } => self.operate(step).await,
            Step::InForce { .. }
            | Step::Keyed { .. }
            | Step::WaveDone
            | Step::Show(_)
            | Step::Dump(_)
            | Step::ExpectBoots(_)
            | Step::Open { .. }
            | Step::Watch { .. } => self.observe(step).await,
            other => self.disturb(other).await,
        }
    }

    async fn declare(&mut self, step: &Step) -> eyre::Result<String> {
        match step {
            Step::Zones(zones) => {
                eyre::ensure!(self.world.is_none(), "the zones are declared already");
                let region = serde_json::json!({ "region": "region" });
                zones
                    .iter()
                    .for_each(|zone| self.document.set("zones", zone, &region));
                self.world = Some(World::start(zones).await?);
            }
            Step::Declare {
                section,
                name,
                fields,
            } => self.document.set(section, name, fields),
            Step::Entries { zone, count } => {
                for _ in 0..*count {
                    let world = self.world()?;
                    let name = world.next_name(zone, 'e');
                    world.add_entry(&name, zone).await?;
                }
                self.balance()?;
            }
            Step::Workers {
                zone,
                count,
                pool,
                racks,
                settings,
            } => {
                for number in 0..*count {
                    let rack = format!("{zone}-r{}", number % racks + 1);
                    let world = self.world()?;
                    let name = world.next_name(zone, 'w');
                    world
                        .add_worker(&name, zone, &rack, pool, settings.clone())
                        .await?;
                }
            }
            _ => {}
        }
        Ok(String::new())
    }

    async fn operate(&mut self, step: &Step) -> eyre::Result<String> {
        match step {
            Step::Publish { at, in_force } => self.publish(at.as_deref(), *in_force).await,
            Step::Key { add, team, key, at } => {
                let at = self.operators_at(at.as_deref())?;
                let word = if *add { "add" } else { "withdraw" };
                let args = ["key", word, team, key, "--json"];
                let text = self.world()?.command(&args, &at).await?;
                let answer: Value = serde_json::from_str(&text)?;
                if let Some(secret) = answer["key"].as_str() {
                    self.keys.insert(format!("{team}/{key}"), secret.to_owned());
                }
                Ok(format!("version {}", answer["version"]))
            }
            Step::Automatic { on, action } => {
                let at = self.operators_at(None)?;
                let mut args = vec!["automatic", if *on { "on" } else { "off" }];
                args.extend(action.as_deref());
                self.world()?.command(&args, &at).await
            }
            Step::Wave { pools } => {
                let at = self.operators_at(None)?;
                let mut args = vec!["wave", "start"];
                pools.iter().for_each(|pool| args.extend(["--pool", pool]));
                self.world()?.command(&args, &at).await
            }
            _ => Ok(String::new()),
        }
    }

    async fn publish(&mut self, at: Option<&str>, in_force: bool) -> eyre::Result<String> {
        let at = self.operators_at(at)?;
        let entry = at.first().ok_or_eyre("no entry runs")?;
        let present = self.world()?.ask(entry, "/v1/config").await?;
        self.document.take_present(&present["config"]);
        let file = self.world()?.folder().join("config.json");
        self.document.write(&file)?;
        let wait = if in_force { "in-force" } else { "accepted" };
        let file = file.to_string_lossy();
        let text = self
            .world()?
            .command(&["publish", "--wait", wait, &file], &at)
            .await?;
        let shown = text.lines().filter(|line| {
            line.starts_with("accepted")
                || line.starts_with("in force")
                || line.starts_with("nothing")
        });
        Ok(shown.collect::<Vec<_>>().join("\n"))
    }

    async fn observe(&mut self, step: &Step) -> eyre::Result<String> {
        match step {
            Step::InForce { at } => {
                let entry = self.entries_at(at.as_deref())?.remove(0);
                let world = self.world()?;
                let config = world.ask(&entry, "/v1/config").await?;
                let path = format!("/v1/in-force/{}", config["version"]);
                let view = world.ask(&entry, &path).await?;
                eyre::ensure!(
                    view["everywhere"] == true,
                    "not confirmed: {}",
                    view["unconfirmed"]
                );
                Ok(format!("version {}", config["version"]))
            }
            Step::Keyed { entry, taken } => {
                let status = self.world()?.ask(entry, "/v1/status").await?;
                eyre::ensure!(status["takes_keyed"] == *taken, "{entry} does otherwise");
                Ok(String::new())
            }
            Step::WaveDone => {
                let status = self.status().await?;
                let open = status["waves"].as_object().map_or(0, serde_json::Map::len);
                eyre::ensure!(
                    open == 0 && status["drains"] == 0,
                    "open: {}",
                    status["waves"]
                );
                Ok(String::new())
            }
            Step::Show(entry) => {
                let status = self.world()?.ask(entry, "/v1/status").await?;
                Ok(status.to_string())
            }
            Step::Dump(stream) => self.dump(stream).await,
            Step::ExpectBoots(count) => self.expect_boots(*count).await,
            Step::Open { entry, pool, count } => {
                let status = self.world()?.ask(entry, "/v1/status").await?;
                let open = &status["pools"][pool]["open_here"];
                eyre::ensure!(
                    open == *count,
                    "{open} open; closed: {}",
                    status["closed_here"]
                );
                Ok(String::new())
            }
            Step::Watch { pool, max } => {
                let max = *max as usize;
                let bound = match pool {
                    Some(_) => Bound::Out(max),
                    None => Bound::Running(max),
                };
                let workers = self.world()?.worker_addresses(pool.as_deref())?;
                let watch = Watch::start(workers, bound, Arc::clone(&self.ledger));
                self.watches.push(watch);
                Ok(String::new())
            }
            _ => Ok(String::new()),
        }
    }

    /// Returns the records of a stream, one a line.
    async fn dump(&mut self, stream: &str) -> eyre::Result<String> {
        let client = HttpClient::new(CALL_LIMITS.time, 0);
        let address = self.world()?.process("log")?.address("listening")?;
        let path = format!("/streams/{stream}/records?from=0").replace("zone/", "zone%2F");
        let request = json_request::<()>(Method::GET, address, &path, None)?;
        let response = client.call(request, CALL_LIMITS).await?;
        let page: Value = serde_json::from_slice(response.body())?;
        let records = page["records"].as_array().into_iter().flatten();
        let lines: Vec<_> = records.map(|record| record.to_string()).collect();
        Ok(lines.join("\n"))
    }

    /// Checks how often all workers together have rebooted.
    async fn expect_boots(&mut self, count: u32) -> eyre::Result<String> {
        let client = HttpClient::new(CALL_LIMITS.time, 0);
        let workers: BTreeMap<_, _> = self.world()?.worker_addresses(None)?;
        let mut boots = 0;
        for address in workers.into_values() {
            let request = json_request::<()>(Method::GET, address, "/usage", None)?;
            let response = client.call(request, CALL_LIMITS).await?;
            let usage: Value = serde_json::from_slice(response.body())?;
            boots += usage["boots"].as_u64().unwrap_or(0);
        }
        eyre::ensure!(boots == u64::from(count), "{boots} reboots");
        Ok(format!("{boots} reboots"))
    }

    async fn disturb(&mut self, step: &Step) -> eyre::Result<String> {
        let world = self.world()?;
        match step {
            Step::Fault { target, patch } if target == "list" => {
                for zone in world.zones() {
                    world
                        .control(&format!("vms-{zone}"))?
                        .patch(patch.clone())
                        .await?;
                }
            }
            Step::Fault { target, patch } => world.control(target)?.patch(patch.clone()).await?,
            Step::Cut { zone, other, cut } => world.set_cut(zone, other, *cut)?,
            Step::HealAll => world.heal_all(),
            Step::Kill(name) => {
                world.kill(name).await?;
                self.balance()?;
            }
            Step::Stop(name) => {
                world.stop(name).await?;
                self.balance()?;
            }
            Step::Replace(name) => {
                world.replace(name).await?;
                self.balance()?;
            }
            Step::Pause { name, paused } => world.set_paused(name, *paused)?,
            Step::List {
                name,
                leaving: true,
            } => world.list(name, "leaving").await?,
            Step::List { name, .. } => world.unlist(name).await?,
            Step::Wait(time) => tokio::time::sleep(*time).await,
            _ => {}
        }
        Ok(String::new())
    }
}
