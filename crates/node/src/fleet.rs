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

use crate::allotment::Allotments;
use crate::appender::Appender;
use crate::appender::CONFIRM_EVERY;
use crate::appender::Lost;
use crate::automatic::Action;
use crate::automatic::Automatic;
use crate::backend::Holder;
use crate::backend::Machine;
use crate::backend::MachineAnswer;
use crate::backend::Machines;
use crate::backend::Platform;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::balance::Balance;
use crate::catalog::Wave;
use crate::claim::Claimed;
use crate::current::Current;
use crate::message::Question;
use crate::message::Reply;
use crate::message::ShardUse;
use crate::owner::RELEASE_RECORD_LIMIT;
use crate::recent_orders::RecentOrders;
use crate::recent_orders::StoredOrders;
use crate::router::LocalRequest;
use crate::router::Router;
use crate::shard_id::ShardId;
use crate::status::FleetView;
use crate::status::LoadView;
use crate::wave::WaveRun;

/// How often waves and pools are looked after.
const WORK_EVERY: Duration = Duration::from_millis(300);

/// How soon after that a pool that lacks capacity is served.
const HURRY_AFTER: Duration = Duration::from_millis(60);

/// The time for a question to the owner of a machine's pool.
const VACATE_LIMIT: Duration = Duration::from_millis(500);

/// For how long the answer that a machine may go down or leave is acted on. The pool's owner keeps the
/// worker free for four seconds, unless another owner follows it, and a task that is lost elsewhere
/// counts against the budget only after several.
pub(crate) const VACANCY_LIFE: Duration = Duration::from_secs(1);

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
pub(crate) struct FleetParts {
    pub(crate) platform: Platform,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) router: Arc<Router>,
    pub(crate) current: Arc<Current>,
    /// For how long an earlier owner may still give orders.
    pub(crate) quiet: Duration,
    /// How long an upkeep takes.
    pub(crate) upkeep: Duration,
    /// How long a move to another pool takes.
    pub(crate) migration: Duration,
}

struct Fleet {
    parts: FleetParts,
    token: u64,
    appender: Appender,
    allotments: Allotments,
    begun: BTreeMap<u64, BTreeSet<Name>>,
    runs: BTreeMap<u64, WaveRun>,
    completed: BTreeSet<u64>,
    balance: Balance,
    orders: RecentOrders,
    automatic: Automatic,
    /// The machines whose homes are stored.
    stored_homes: BTreeSet<Name>,
    /// What the pools reported, and when.
    demands: BTreeMap<Name, (Instant, PoolDemand)>,
    /// Whether a pool reported since the last work that it lacks capacity.
    lacking: bool,
    since: Instant,
    confirmed: Instant,
}

/// Runs the owner of the fleet shard until it is released or loses the shard.
pub(crate) async fn run(
    parts: FleetParts,
    claimed: Claimed,
    mut requests: mpsc::Receiver<LocalRequest>,
    mut waves: mpsc::Receiver<Vec<Wave>>,
) {
    let now = parts.clock.now();
    let mut fleet = Fleet {
        balance: Balance::new(parts.migration),
        orders: RecentOrders::new(parts.quiet),
        automatic: Automatic::default(),
        stored_homes: BTreeSet::new(),
        demands: BTreeMap::new(),
        lacking: false,
        parts,
        token: claimed.token,
        appender: claimed.appender,
        allotments: Allotments::default(),
        begun: BTreeMap::new(),
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
    log::info!(token = fleet.token; "fleet_owned");
    let mut last_work = now;
    let released = loop {
        let every = if fleet.lacking {
            HURRY_AFTER
        } else {
            WORK_EVERY
        };
        let pause = (last_work + every).saturating_duration_since(fleet.parts.clock.now());
        let result = tokio::select! {
            Some(request) = requests.recv() => match request {
                LocalRequest::Release(done) => {
                    let stored = tokio::time::timeout(RELEASE_RECORD_LIMIT, fleet.store_ages());
                    if !matches!(stored.await, Ok(Ok(()))) {
                        // The successor goes by the ages that were stored before.
                        log::info!(token = fleet.token; "order_ages_not_stored");
                    }
                    break Some(done);
                }
                LocalRequest::Ask(question, answer) => fleet.answer(question, answer).await,
            },
            Some(list) = waves.recv() => {
                fleet.take_waves(list);
                Ok(())
            }
            () = tokio::time::sleep(pause) => {
                fleet.lacking = false;
                let result = fleet.work().await;
                last_work = fleet.parts.clock.now();
                result
            }
        };
        if result.is_err() {
            break None;
        }
    };
    log::info!(token = fleet.token, released = released.is_some(); "fleet_left");
    if let Some(done) = released {
        // The receiver is gone only when the process ends.
        let _ = done.send(());
    }
}

impl Fleet {
    fn restore(&mut self, key: &str, value: &[u8]) {
        if let Some(shard) = key.strip_prefix(ALLOTMENT_KEY).and_then(|s| s.parse().ok()) {
            match postcard::from_bytes::<Vec<(Name, Resources)>>(value) {
                Ok(rows) => self.allotments.restore(ShardId(shard), rows),
                Err(error) => log::error!(key, error:display; "record_unreadable"),
            }
        } else if let Some(wave) = key.strip_prefix(WAVE_KEY).and_then(|s| s.parse().ok()) {
            match postcard::from_bytes::<BTreeSet<Name>>(value) {
                Ok(begun) => {
                    self.begun.insert(wave, begun);
                }
                Err(error) => log::error!(key, error:display; "record_unreadable"),
            }
        } else if key == ORDERED_KEY {
            match postcard::from_bytes::<StoredOrders>(value) {
                Ok(stored) => self.orders.inherit(self.since, &stored),
                Err(error) => {
                    self.orders.inherit_unknown(self.since);
                    log::error!(key, error:display; "record_unreadable");
                }
            }
        } else if key == AUTOMATIC_KEY {
            match postcard::from_bytes::<Automatic>(value) {
                Ok(automatic) => self.automatic = automatic,
                Err(error) => {
                    // Actions that may have been turned off stay off until operators say otherwise.
                    self.automatic.set(None, false);
                    log::error!(key, error:display; "record_unreadable");
                }
            }
        } else if let Some(machine) = key.strip_prefix(moves::HOME_KEY) {
            match std::str::from_utf8(value) {
                Ok(home) => {
                    self.stored_homes.insert(machine.into());
                    self.balance.restore(machine.into(), home.into());
                }
                Err(error) => log::error!(key, error:display; "record_unreadable"),
            }
        }
    }

    async fn answer(
        &mut self,
        question: Question,
        answer: oneshot::Sender<Reply>,
    ) -> Result<(), Lost> {
        let reply = match question {
            Question::Allot(report) => {
                let now = self.parts.clock.now();
                for (pool, demand) in &report.pools {
                    self.lacking |= demand.is_short();
                    let pool = Arc::clone(pool);
                    self.demands.insert(pool, (now, demand.clone()));
                }
                self.allot(&report).await?
            }
            Question::Fleet => Reply::Fleet(Box::new(self.view())),
            Question::Switch { action, on } => {
                let mut automatic = self.automatic;
                automatic.set(action, on);
                self.store(AUTOMATIC_KEY.to_owned(), &automatic).await?;
                self.automatic = automatic;
                let action = action.map_or_else(|| "all".to_owned(), |a| a.to_string());
                log::info!(action = &*action, on; "automatic_switched");
                Reply::Accepted
            }
            _ => Reply::NotOwner,
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
            moving: self.balance.moving(),
        }
    }

    async fn allot(&mut self, report: &ShardUse) -> Result<Reply, Lost> {
        let catalog = self.parts.current.load();
        let shards = catalog.shards().len().saturating_sub(1);
        let limits = catalog.team_limits();
        let allotted = self.allotments.report(&limits, shards, report);
        if allotted.grew {
            let key = format!("{ALLOTMENT_KEY}{}", report.shard);
            self.store(key, &allotted.rows).await?;
        }
        Ok(Reply::Allotted(allotted.rows))
    }

    async fn store<T: serde::Serialize>(&mut self, key: String, value: &T) -> Result<(), Lost> {
        let value = match postcard::to_allocvec(value) {
            Ok(value) => value,
            Err(error) => {
                log::error!(key:display, error:display; "record_not_encoded");
                return Err(Lost);
            }
        };
        let record = Record {
            key,
            value: Some(value),
        };
        let sent = self.parts.clock.now();
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
                wave = number, machines = wave.machines.len(), at_once = wave.at_once;
                "wave_taken"
            );
            let begun = self.begun.get(&number).cloned().unwrap_or_default();
            let run = WaveRun::new(self.parts.clock.now(), wave, begun, self.parts.upkeep);
            self.runs.insert(number, run);
        }
    }

    /// Confirms the ownership, moves the waves on and balances the pools.
    async fn work(&mut self) -> Result<(), Lost> {
        let now = self.parts.clock.now();
        let due = now.saturating_duration_since(self.confirmed) > CONFIRM_EVERY;
        if due && !self.confirm_with_ages().await? {
            return Ok(());
        }
        let Some(machines) = self.parts.platform.machines.clone() else {
            return Ok(());
        };
        let Some(list) = machines.list().await else {
            log::warn!("machines_unlisted");
            return Ok(());
        };
        if now.saturating_duration_since(self.since) < self.parts.quiet {
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
    ) -> Result<(), Lost> {
        let now = self.parts.clock.now();
        let Some(run) = self.runs.get_mut(&number) else {
            return Ok(());
        };
        if run.take_list(now, list) {
            return self.complete(number).await;
        }
        let ended = run.ended_workers(list);
        for (pool, worker) in ended {
            self.tell_ended(&pool, worker);
        }
        let Some(run) = self.runs.get(&number) else {
            return Ok(());
        };
        let by_name: BTreeMap<&Name, &Machine> = list.iter().map(|m| (&m.name, m)).collect();
        let (chosen, urgent) = (run.chosen(), run.is_urgent(now));
        let unconfirmed: BTreeSet<Name> = run.unconfirmed().into_iter().collect();
        let mut asked = unconfirmed.clone();
        if self.automatic.allows(Action::Drains) {
            asked.extend(chosen);
        }
        let asked: Vec<Name> = asked.into_iter().collect();
        let (vacant, needed) = self.vacate(&asked, urgent, &by_name).await;
        if let Some(run) = self.runs.get_mut(&number) {
            for name in &needed {
                run.pass(now, name);
            }
        }
        for name in vacant {
            let age = self.parts.clock.now().saturating_duration_since(now);
            // An order without an answer is repeated, but only while the machine may go down.
            let repeated = unconfirmed.contains(&name);
            let has_room = || self.runs.get(&number).is_some_and(WaveRun::has_room);
            if age > VACANCY_LIFE || !(repeated || has_room()) {
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
        let (router, shard) = (Arc::clone(&self.parts.router), ShardId::of_pool(pool));
        let deadline = self.parts.clock.now() + ENDED_LIMIT;
        tokio::spawn(async move {
            let question = Question::Ended(worker);
            if let Err(error) = router.ask(shard, &question, deadline).await {
                log::info!(shard:display, error:display; "ended_worker_untold");
            }
        });
    }

    /// Asks the owners of the machines' pools to keep them free; returns those that may go down, and
    /// those that their pools need now.
    async fn vacate(
        &self,
        chosen: &[Name],
        urgent: bool,
        machines: &BTreeMap<&Name, &Machine>,
    ) -> (Vec<Name>, Vec<Name>) {
        let deadline = self.parts.clock.now() + VACATE_LIMIT;
        let asks = chosen.iter().filter_map(|name| {
            let machine = machines.get(name)?;
            let router = Arc::clone(&self.parts.router);
            Some(async move {
                let Some(worker) = machine.worker.clone() else {
                    return Some((Arc::clone(name), Reply::Vacant));
                };
                let shard = ShardId::of_pool(&machine.pool);
                let question = Question::Vacate { worker, urgent };
                match router.ask(shard, &question, deadline).await {
                    Ok(reply @ (Reply::Vacant | Reply::Later)) => Some((Arc::clone(name), reply)),
                    Ok(Reply::Busy) => None,
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
            answers.partition(|(_, reply)| *reply == Reply::Vacant);
        let names = |rows: Vec<(Name, Reply)>| rows.into_iter().map(|(name, _)| name).collect();
        (names(vacant), names(needed))
    }

    /// Stores that machines are about to be ordered, unless that is stored already. A successor
    /// leaves them alone for a while, and an owner that has lost the shard learns it here.
    async fn record_orders(&mut self, machines: &[Name]) -> Result<(), Lost> {
        let now = self.parts.clock.now();
        match self.orders.add(now, machines) {
            Some(recent) => self.store(ORDERED_KEY.to_owned(), &recent).await,
            None => self.confirm().await.map(|_| ()),
        }
    }

    /// Stores the present ages of the orders if they differ from those that are stored.
    async fn store_ages(&mut self) -> Result<(), Lost> {
        match self.orders.refresh(self.parts.clock.now()) {
            Some(recent) => self.store(ORDERED_KEY.to_owned(), &recent).await,
            None => Ok(()),
        }
    }

    /// Checks that the shard is still this owner's, and stores the ages of the orders; false when the
    /// store does not tell.
    async fn confirm_with_ages(&mut self) -> Result<bool, Lost> {
        let confirmed = self.confirm().await?;
        if confirmed {
            self.store_ages().await?;
        }
        Ok(confirmed)
    }

    /// Checks that the shard is still this owner's; false when the store does not tell.
    async fn confirm(&mut self) -> Result<bool, Lost> {
        let now = self.parts.clock.now();
        match self.appender.confirm().await {
            Ok(()) => {
                self.confirmed = now;
                Ok(true)
            }
            Err(StoreError::Moved { .. }) => Err(Lost),
            Err(error) => {
                log::warn!(error:display; "fleet_confirm_failed");
                Ok(false)
            }
        }
    }

    fn holder(&self) -> Holder {
        Holder {
            name: Arc::clone(&self.parts.router.me.vm),
            token: self.token,
        }
    }

    async fn order(
        &mut self,
        number: u64,
        machines: &dyn Machines,
        name: &Name,
        worker: Option<Name>,
    ) -> Result<(), Lost> {
        self.record_orders(std::slice::from_ref(name)).await?;
        let holder = self.holder();
        let now = self.parts.clock.now();
        if let Some(run) = self.runs.get_mut(&number) {
            run.order(now, name, worker);
        }
        let answer = machines.upkeep(&holder, name, number).await;
        self.orders.ordered(self.parts.clock.now(), name);
        log::info!(wave = number, machine = &**name, token = self.token, answer:display; "upkeep_ordered");
        let Some(run) = self.runs.get_mut(&number) else {
            return Ok(());
        };
        match answer {
            MachineAnswer::Done => run.confirm(name),
            MachineAnswer::StaleToken => return Err(Lost),
            MachineAnswer::Busy | MachineAnswer::Refused => run.refuse(now, name),
            MachineAnswer::Impossible => run.skip(name),
            MachineAnswer::Unknown => return Ok(()),
        }
        let begun = run.begun().clone();
        if matches!(answer, MachineAnswer::Done | MachineAnswer::Impossible) {
            self.store(format!("{WAVE_KEY}{number}"), &begun).await?;
        }
        Ok(())
    }

    async fn complete(&mut self, number: u64) -> Result<(), Lost> {
        let record = self.parts.platform.codec.wave_status(number, true);
        let store = &self.parts.platform.store;
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
