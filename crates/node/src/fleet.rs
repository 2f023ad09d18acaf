//! The owner of the fleet shard as a task: the teams' allotments, maintenance waves, and moves of
//! machines between pools.

mod moves;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::PoolDemand;
use lavenderhollow_shard::Record;
use lavenderhollow_shard::Resources;
use lavenderhollow_types::Clock;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::appender::Appender;
use crate::appender::OWNERSHIP_CHECK_INTERVAL;
use crate::appender::OwnershipLost;
use crate::automatic::AutomaticAction;
use crate::automatic::AutomaticSwitches;
use crate::backend::LeaseHolder;
use crate::backend::Machine;
use crate::backend::MachineResponse;
use crate::backend::Machines;
use crate::backend::Platform;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::claim::ClaimedShard;
use crate::cluster_config::Wave;
use crate::current_config::CurrentConfig;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::message::ShardUsage;
use crate::owner::RELEASE_RECORD_TIMEOUT;
use crate::rebalancer::Rebalancer;
use crate::recent_commands::RecentCommands;
use crate::recent_commands::StoredCommands;
use crate::router::LocalRequest;
use crate::router::Router;
use crate::shard_id::ShardId;
use crate::shard_quotas::ShardQuotas;
use crate::status::FleetView;
use crate::status::LoadView;
use crate::wave::ActiveWave;

/// How often waves and pools are looked after.
const WORK_EVERY: Duration = Duration::from_millis(300);

/// How soon after that a pool that lacks capacity is served.
const HURRY_AFTER: Duration = Duration::from_millis(60);

/// The time for a question to the owner of a machine's pool.
const VACATE_LIMIT: Duration = Duration::from_millis(500);

/// For how long the answer that a machine may go down or leave is acted on. The pool's owner keeps the
/// worker free for four seconds, unless another owner follows it, and a task that is lost elsewhere
/// counts against the budget only after several.
pub(crate) const DRAIN_GRANT_TTL: Duration = Duration::from_secs(1);

/// The time for telling the owner of a pool that a worker's runs are over.
const ENDED_LIMIT: Duration = Duration::from_secs(2);

/// What the keys of a shard's allotments begin with.
const ALLOTMENT_KEY: &str = "a";

/// What the keys of the machines of waves begin with.
const WAVE_KEY: &str = "w";

/// The key of the machines that were ordered lately.
const ORDERED_KEY: &str = "orders";

/// The key of the switches of automatic actions.
const AUTOMATIC_KEY: &str = "switches";

/// What the owner of the fleet shard works with.
pub(crate) struct FleetContext {
    pub(crate) platform: Platform,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) router: Arc<Router>,
    pub(crate) current: Arc<CurrentConfig>,
    /// For how long an earlier owner may still give orders.
    pub(crate) takeover_delay: Duration,
    /// How long an upkeep takes.
    pub(crate) maintenance_time: Duration,
    /// How long a move to another pool takes.
    pub(crate) move_time: Duration,
}

struct Fleet {
    context: FleetContext,
    fencing_token: u64,
    appender: Appender,
    quotas: ShardQuotas,
    started: BTreeMap<u64, BTreeSet<Name>>,
    runs: BTreeMap<u64, ActiveWave>,
    completed: BTreeSet<u64>,
    rebalancer: Rebalancer,
    commands: RecentCommands,
    automatic: AutomaticSwitches,
    /// The machines whose homes are stored.
    stored_origins: BTreeSet<Name>,
    /// What the pools reported, and when.
    demands: BTreeMap<Name, (Instant, PoolDemand)>,
    /// Whether a pool reported since the last work that it lacks capacity.
    lacking: bool,
    since: Instant,
    confirmed: Instant,
}

/// Runs the owner of the fleet shard until it is released or loses the shard.
pub(crate) async fn run(
    context: FleetContext,
    claimed: ClaimedShard,
    mut requests: mpsc::Receiver<LocalRequest>,
    mut waves: mpsc::Receiver<Vec<Wave>>,
) {
    let now = context.clock.now();
    let mut fleet = Fleet {
        rebalancer: Rebalancer::new(context.move_time),
        commands: RecentCommands::new(context.takeover_delay),
        automatic: AutomaticSwitches::default(),
        stored_origins: BTreeSet::new(),
        demands: BTreeMap::new(),
        lacking: false,
        context,
        fencing_token: claimed.fencing_token,
        appender: claimed.appender,
        quotas: ShardQuotas::default(),
        started: BTreeMap::new(),
        runs: BTreeMap::new(),
        completed: BTreeSet::new(),
        since: now,
        confirmed: now,
    };
    for entry in &claimed.entries {
        if let Some(value) = &entry.value {
            fleet.restore(&entry.key, value);
        }
    }
    log::info!(token = fleet.fencing_token; "fleet_owned");
    let mut last_work = now;
    let released = loop {
        let every = if fleet.lacking {
            HURRY_AFTER
        } else {
            WORK_EVERY
        };
        let pause = (last_work + every).saturating_duration_since(fleet.context.clock.now());
        let result = tokio::select! {
            Some(request) = requests.recv() => match request {
                LocalRequest::Release(done) => {
                    let stored = tokio::time::timeout(RELEASE_RECORD_TIMEOUT, fleet.store_ages());
                    if !matches!(stored.await, Ok(Ok(()))) {
                        // The successor goes by the ages that were stored before.
                        log::info!(token = fleet.fencing_token; "order_ages_not_stored");
                    }
                    break Some(done);
                }
                LocalRequest::Send(request, answer) => fleet.answer(request, answer).await,
            },
            Some(list) = waves.recv() => {
                fleet.take_waves(list);
                Ok(())
            }
            () = tokio::time::sleep(pause) => {
                fleet.lacking = false;
                let result = fleet.work().await;
                last_work = fleet.context.clock.now();
                result
            }
        };
        if result.is_err() {
            break None;
        }
    };
    log::info!(token = fleet.fencing_token, released = released.is_some(); "fleet_left");
    if let Some(done) = released {
        // The receiver is gone only when the process ends.
        let _ = done.send(());
    }
}

impl Fleet {
    fn restore(&mut self, key: &str, value: &[u8]) {
        if let Some(shard) = key.strip_prefix(ALLOTMENT_KEY).and_then(|s| s.parse().ok()) {
            match postcard::from_bytes::<Vec<(Name, Resources)>>(value) {
                Ok(rows) => self.quotas.restore(ShardId(shard), rows),
                Err(error) => log::error!(key, error:display; "record_unreadable"),
            }
        } else if let Some(wave) = key.strip_prefix(WAVE_KEY).and_then(|s| s.parse().ok()) {
            match postcard::from_bytes::<BTreeSet<Name>>(value) {
                Ok(started) => {
                    self.started.insert(wave, started);
                }
                Err(error) => log::error!(key, error:display; "record_unreadable"),
            }
        } else if key == ORDERED_KEY {
            match postcard::from_bytes::<StoredCommands>(value) {
                Ok(stored) => self.commands.restore(self.since, &stored),
                Err(error) => {
                    self.commands.block_all(self.since);
                    log::error!(key, error:display; "record_unreadable");
                }
            }
        } else if key == AUTOMATIC_KEY {
            match postcard::from_bytes::<AutomaticSwitches>(value) {
                Ok(automatic) => self.automatic = automatic,
                Err(error) => {
                    // Actions that may have been turned off stay off until operators say otherwise.
                    self.automatic.set(None, false);
                    log::error!(key, error:display; "record_unreadable");
                }
            }
        } else if let Some(machine) = key.strip_prefix(moves::ORIGIN_PREFIX) {
            match std::str::from_utf8(value) {
                Ok(origin) => {
                    self.stored_origins.insert(machine.into());
                    self.rebalancer
                        .restore_origin(machine.into(), origin.into());
                }
                Err(error) => log::error!(key, error:display; "record_unreadable"),
            }
        }
    }

    async fn answer(
        &mut self,
        request: ShardRequest,
        answer: oneshot::Sender<ShardResponse>,
    ) -> Result<(), OwnershipLost> {
        let reply = match request {
            ShardRequest::ReportUsage(report) => {
                let now = self.context.clock.now();
                for (pool, demand) in &report.pools {
                    self.lacking |= demand.is_short();
                    let pool = Arc::clone(pool);
                    self.demands.insert(pool, (now, demand.clone()));
                }
                self.allot(&report).await?
            }
            ShardRequest::FleetStatus => ShardResponse::Fleet(Box::new(self.view())),
            ShardRequest::SetSwitch { action, on } => {
                let mut automatic = self.automatic;
                automatic.set(action, on);
                self.store(AUTOMATIC_KEY.to_owned(), &automatic).await?;
                self.automatic = automatic;
                let action = action.map_or_else(|| "all".to_owned(), |a| a.to_string());
                log::info!(action = &*action, on; "automatic_switched");
                ShardResponse::Accepted
            }
            _ => ShardResponse::NotOwner,
        };
        // The asker may have given up; it asks again.
        let _ = answer.send(reply);
        Ok(())
    }

    /// Returns what operators are shown.
    fn view(&self) -> FleetView {
        let waves = self.runs.iter().map(|(number, run)| (*number, run.view()));
        let loads = self.demands.iter().map(|(pool, (_, demand))| {
            let view = LoadView {
                offered: demand.offered.cpu,
                needed: demand.needed.cpu,
                idle: demand.idle.len(),
            };
            (Arc::clone(pool), view)
        });
        FleetView {
            automatic: self.automatic,
            waves: waves.collect(),
            loads: loads.collect(),
            moving: self.rebalancer.moving_count(),
        }
    }

    async fn allot(&mut self, report: &ShardUsage) -> Result<ShardResponse, OwnershipLost> {
        let config = self.context.current.load();
        let shards = config.shards().len().saturating_sub(1);
        let limits = config.team_limits();
        let grant = self.quotas.update(&limits, shards, report);
        if grant.increased {
            let key = format!("{ALLOTMENT_KEY}{}", report.shard);
            self.store(key, &grant.quotas).await?;
        }
        Ok(ShardResponse::Quotas(grant.quotas))
    }

    async fn store<T: serde::Serialize>(
        &mut self,
        key: String,
        value: &T,
    ) -> Result<(), OwnershipLost> {
        let value = match postcard::to_allocvec(value) {
            Ok(value) => value,
            Err(error) => {
                log::error!(key:display, error:display; "record_not_encoded");
                return Err(OwnershipLost);
            }
        };
        let record = Record {
            key,
            value: Some(value),
        };
        let sent = self.context.clock.now();
        self.appender.append(&[record]).await?;
        self.confirmed = sent;
        Ok(())
    }

    fn take_waves(&mut self, waves: Vec<Wave>) {
        for wave in waves {
            let number = wave.number;
            if self.completed.contains(&number) {
                continue;
            }
            if let Some(run) = self.runs.get_mut(&number) {
                run.update(wave);
                continue;
            }
            log::info!(
                wave = number, machines = wave.machines.len(), at_once = wave.max_unavailable;
                "wave_taken"
            );
            let started = self.started.get(&number).cloned().unwrap_or_default();
            let run = ActiveWave::new(
                self.context.clock.now(),
                wave,
                started,
                self.context.maintenance_time,
            );
            self.runs.insert(number, run);
        }
    }

    /// Confirms the ownership, moves the waves on and balances the pools.
    async fn work(&mut self) -> Result<(), OwnershipLost> {
        let now = self.context.clock.now();
        let due = now.saturating_duration_since(self.confirmed) > OWNERSHIP_CHECK_INTERVAL;
        if due && !self.confirm_with_ages().await? {
            return Ok(());
        }
        let Some(machines) = self.context.platform.machines.clone() else {
            return Ok(());
        };
        let Some(list) = machines.list().await else {
            log::warn!("machines_unlisted");
            return Ok(());
        };
        if now.saturating_duration_since(self.since) < self.context.takeover_delay {
            // The machines that an earlier owner took down may not show it yet.
            return self.balance(&*machines, &list).await;
        }
        let numbers: Vec<u64> = self.runs.keys().copied().collect();
        for number in numbers {
            self.advance(number, &*machines, &list).await?;
        }
        self.balance(&*machines, &list).await
    }

    async fn advance(
        &mut self,
        number: u64,
        machines: &dyn Machines,
        list: &[Machine],
    ) -> Result<(), OwnershipLost> {
        let now = self.context.clock.now();
        let Some(run) = self.runs.get_mut(&number) else {
            return Ok(());
        };
        if run.observe(now, list) {
            return self.complete(number).await;
        }
        let ended = run.terminated_workers(list);
        for (pool, worker) in ended {
            self.tell_ended(&pool, worker);
        }
        let Some(run) = self.runs.get(&number) else {
            return Ok(());
        };
        let by_name: BTreeMap<&Name, &Machine> = list.iter().map(|m| (&m.name, m)).collect();
        let (draining, urgent) = (run.draining(), run.is_urgent(now));
        let unconfirmed: BTreeSet<Name> = run.unconfirmed().into_iter().collect();
        let mut asked = unconfirmed.clone();
        if self.automatic.is_enabled(AutomaticAction::Drains) {
            asked.extend(draining);
        }
        let asked: Vec<Name> = asked.into_iter().collect();
        let (vacant, needed) = self.vacate(&asked, urgent, &by_name).await;
        if let Some(run) = self.runs.get_mut(&number) {
            for name in &needed {
                run.defer(now, name);
            }
        }
        for name in vacant {
            let age = self.context.clock.now().saturating_duration_since(now);
            // An order without an answer is repeated, but only while the machine may go down.
            let repeated = unconfirmed.contains(&name);
            let below_limit = || self.runs.get(&number).is_some_and(ActiveWave::below_limit);
            if age > DRAIN_GRANT_TTL || !(repeated || below_limit()) {
                continue;
            }
            let worker = by_name.get(&name).and_then(|m| m.worker.clone());
            let worker = worker.filter(|_| !repeated);
            self.order(number, machines, &name, worker).await?;
        }
        Ok(())
    }

    /// Tells the owner of a pool that a worker's runs are over. Without it they count as running
    /// until their lease has lapsed.
    fn tell_ended(&self, pool: &Name, worker: Name) {
        let (router, shard) = (Arc::clone(&self.context.router), ShardId::of_pool(pool));
        let deadline = self.context.clock.now() + ENDED_LIMIT;
        tokio::spawn(async move {
            let request = ShardRequest::WorkerTerminated(worker);
            if let Err(error) = router.send(shard, &request, deadline).await {
                log::info!(shard:display, error:display; "ended_worker_untold");
            }
        });
    }

    /// Asks the owners of the machines' pools to keep them free; returns those that may go down, and
    /// those that their pools need now.
    async fn vacate(
        &self,
        draining: &[Name],
        urgent: bool,
        machines: &BTreeMap<&Name, &Machine>,
    ) -> (Vec<Name>, Vec<Name>) {
        let deadline = self.context.clock.now() + VACATE_LIMIT;
        let asks = draining.iter().filter_map(|name| {
            let machine = machines.get(name)?;
            let router = Arc::clone(&self.context.router);
            Some(async move {
                let Some(worker) = machine.worker.clone() else {
                    return Some((Arc::clone(name), ShardResponse::Drained));
                };
                let shard = ShardId::of_pool(&machine.pool);
                let request = ShardRequest::DrainWorker { worker, urgent };
                match router.send(shard, &request, deadline).await {
                    Ok(reply @ (ShardResponse::Drained | ShardResponse::Deferred)) => {
                        Some((Arc::clone(name), reply))
                    }
                    Ok(ShardResponse::Busy) => None,
                    // An owner that does not know the worker yet can't tell what runs there.
                    Ok(reply) => {
                        log::info!(machine = &**name, reply:? = reply; "vacate_refused");
                        None
                    }
                    Err(error) => {
                        log::info!(machine = &**name, error:display; "vacate_unanswered");
                        None
                    }
                }
            })
        });
        let answers = futures::future::join_all(asks).await;
        let answers = answers.into_iter().flatten();
        let (vacant, needed): (Vec<_>, Vec<_>) =
            answers.partition(|(_, reply)| *reply == ShardResponse::Drained);
        let names =
            |rows: Vec<(Name, ShardResponse)>| rows.into_iter().map(|(name, _)| name).collect();
        (names(vacant), names(needed))
    }

    /// Stores that machines are about to be ordered, unless that is stored already. A successor
    /// leaves them alone for a while, and an owner that has lost the shard learns it here.
    async fn record_orders(&mut self, machines: &[Name]) -> Result<(), OwnershipLost> {
        let now = self.context.clock.now();
        match self.commands.begin(now, machines) {
            Some(recent) => self.store(ORDERED_KEY.to_owned(), &recent).await,
            None => self.confirm().await.map(|_| ()),
        }
    }

    /// Stores the present ages of the orders if they differ from those that are stored.
    async fn store_ages(&mut self) -> Result<(), OwnershipLost> {
        match self.commands.refresh_ages(self.context.clock.now()) {
            Some(recent) => self.store(ORDERED_KEY.to_owned(), &recent).await,
            None => Ok(()),
        }
    }

    /// Checks that the shard is still this owner's, and stores the ages of the orders; false when the
    /// store does not tell.
    async fn confirm_with_ages(&mut self) -> Result<bool, OwnershipLost> {
        let confirmed = self.confirm().await?;
        if confirmed {
            self.store_ages().await?;
        }
        Ok(confirmed)
    }

    /// Checks that the shard is still this owner's; false when the store does not tell.
    async fn confirm(&mut self) -> Result<bool, OwnershipLost> {
        let now = self.context.clock.now();
        match self.appender.check_ownership().await {
            Ok(()) => {
                self.confirmed = now;
                Ok(true)
            }
            Err(StoreError::OffsetMismatch { .. }) => Err(OwnershipLost),
            Err(error) => {
                log::warn!(error:display; "fleet_confirm_failed");
                Ok(false)
            }
        }
    }

    fn holder(&self) -> LeaseHolder {
        LeaseHolder {
            name: Arc::clone(&self.context.router.me.vm),
            fencing_token: self.fencing_token,
        }
    }

    async fn order(
        &mut self,
        number: u64,
        machines: &dyn Machines,
        name: &Name,
        worker: Option<Name>,
    ) -> Result<(), OwnershipLost> {
        self.record_orders(std::slice::from_ref(name)).await?;
        let holder = self.holder();
        let now = self.context.clock.now();
        if let Some(run) = self.runs.get_mut(&number) {
            run.mark_ordered(now, name, worker);
        }
        let answer = machines.start_maintenance(&holder, name, number).await;
        self.commands.mark_sent(self.context.clock.now(), name);
        log::info!(wave = number, machine = &**name, token = self.fencing_token, answer:display; "upkeep_ordered");
        let Some(run) = self.runs.get_mut(&number) else {
            return Ok(());
        };
        match answer {
            MachineResponse::Done => run.mark_confirmed(name),
            MachineResponse::StaleToken => return Err(OwnershipLost),
            MachineResponse::Busy | MachineResponse::Unavailable => run.mark_refused(now, name),
            MachineResponse::Invalid => run.mark_skipped(name),
            MachineResponse::OutcomeUnknown => return Ok(()),
        }
        let started = run.started().clone();
        if matches!(answer, MachineResponse::Done | MachineResponse::Invalid) {
            self.store(format!("{WAVE_KEY}{number}"), &started).await?;
        }
        Ok(())
    }

    async fn complete(&mut self, number: u64) -> Result<(), OwnershipLost> {
        let record = self.context.platform.codec.wave_status(number, true);
        let store = &self.context.platform.store;
        match store.append(Topic::Status, None, &[record]).await {
            Ok(_) => {
                log::info!(wave = number; "wave_completed");
                self.runs.remove(&number);
                self.completed.insert(number);
            }
            Err(error) => log::warn!(wave = number, error:display; "wave_status_not_written"),
        }
        Ok(())
    }
}
