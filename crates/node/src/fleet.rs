//! The task that owns the fleet shard. It grants the quotas of the teams, runs maintenance waves
//! and moves machines between pools.

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
use crate::automatic::FleetAction;
use crate::automatic::FleetSwitches;
use crate::backend::LeaseHolder;
use crate::backend::Machine;
use crate::backend::MachineResponse;
use crate::backend::Machines;
use crate::backend::Platform;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::claim::ClaimedShard;
use crate::clock::timestamp;
use crate::cluster_config::Wave;
use crate::command_budget::CommandBudget;
use crate::current_config::CurrentConfig;
use crate::evacuation::EvacuatedZones;
use crate::machine_list::MachineList;
use crate::message::SentQuotas;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::message::ShardUsage;
use crate::owner::OwnerEnd;
use crate::owner::RELEASE_RECORD_TIMEOUT;
use crate::rebalancer::Rebalancer;
use crate::recent_commands::RecentCommands;
use crate::recent_commands::StoredCommands;
use crate::router::LocalRequest;
use crate::router::Responder;
use crate::router::Router;
use crate::shard_id::ShardId;
use crate::shard_quotas::QuotaGrant;
use crate::shard_quotas::ShardQuotas;
use crate::status::FleetView;
use crate::status::LoadView;
use crate::wave::ActiveWave;

/// How often waves are advanced and pools are rebalanced.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(300);

/// How often waves are advanced and pools are rebalanced while a pool reports that it lacks
/// capacity.
const SHORTAGE_INTERVAL: Duration = Duration::from_millis(60);

/// The maximum age of the list of machines that commands are based on, and of the list while waves
/// or moves are in progress or a pool lacks capacity.
const MAX_LIST_AGE: Duration = Duration::from_millis(300);

/// The maximum age of the list of machines while there is nothing to do with it.
const MAX_IDLE_LIST_AGE: Duration = Duration::from_secs(1);

/// The timeout of a drain request to the owner of a machine's pool.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a granted drain or release of a worker remains valid. The pool's owner keeps the worker
/// free for four seconds, unless another owner takes over, and a task that is lost elsewhere counts
/// against the disruption budget of its step only after several seconds.
pub(crate) const DRAIN_GRANT_TTL: Duration = Duration::from_secs(1);

/// The timeout for notifying the owner of a pool that a worker was terminated.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(2);

/// The prefix of the keys of the shards' quotas.
const QUOTA_PREFIX: &str = "a";

/// The prefix of the keys of the machines whose maintenance was started, one record for each wave.
const WAVE_PREFIX: &str = "w";

/// The prefix of the keys of the times at which the first owner began to track a wave.
const WAVE_START_PREFIX: &str = "t";

/// The key of the machines that recently got a command.
const COMMANDS_KEY: &str = "orders";

/// The key of the switches of automatic actions.
const SWITCHES_KEY: &str = "switches";

/// The components and settings that the owner of the fleet shard uses.
pub(crate) struct FleetContext {
    pub(crate) platform: Platform,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) router: Arc<Router>,
    pub(crate) current_config: Arc<CurrentConfig>,
    pub(crate) evacuated: Arc<EvacuatedZones>,
    /// When the claim of the shard was sent. A successor may have claimed it since.
    pub(crate) claimed_at: Instant,
    /// How long an earlier owner may still send commands.
    pub(crate) takeover_delay: Duration,
    /// How long the platform takes to maintain a machine.
    pub(crate) maintenance_time: Duration,
    /// How long the platform takes to move a machine to another pool.
    pub(crate) move_time: Duration,
    /// How many commands per second the machine interface accepts.
    pub(crate) command_rate: f64,
}

/// The state of the task that owns the fleet shard.
struct Fleet {
    context: FleetContext,
    fencing_token: u64,
    appender: Appender,
    quotas: ShardQuotas,
    /// The machines whose maintenance earlier owners started, by the number of the wave.
    started_machines: BTreeMap<u64, BTreeSet<Name>>,
    /// When the first owner began to track each wave, since the Unix epoch. The clocks of two VMs may
    /// differ, which moves only the time from which a wave is urgent.
    wave_starts: BTreeMap<u64, Duration>,
    active_waves: BTreeMap<u64, ActiveWave>,
    completed_waves: BTreeSet<u64>,
    rebalancer: Rebalancer,
    list: MachineList,
    commands: RecentCommands,
    command_budget: CommandBudget,
    automatic: FleetSwitches,
    /// The machines whose origin pools are stored.
    stored_origins: BTreeSet<Name>,
    /// The demands that the pools reported last, with the time of the report.
    demands: BTreeMap<Name, (Instant, PoolDemand)>,
    /// Whether a pool has reported that it lacks capacity since the last reconciliation.
    has_shortage: bool,
    owned_since: Instant,
    /// When the ownership was last confirmed by an append or a check.
    confirmed_at: Instant,
}

/// Runs the owner of the fleet shard until the shard is released or another process owns it.
pub(crate) async fn run(
    context: FleetContext,
    claimed: ClaimedShard,
    mut requests: mpsc::Receiver<LocalRequest>,
    mut waves: mpsc::Receiver<Vec<Wave>>,
) -> OwnerEnd {
    let now = context.clock.now();
    let confirmed_at = context.claimed_at;
    let mut fleet = Fleet {
        rebalancer: Rebalancer::new(context.move_time),
        list: MachineList::default(),
        commands: RecentCommands::new(context.takeover_delay),
        command_budget: CommandBudget::new(now, context.command_rate),
        automatic: FleetSwitches::default(),
        stored_origins: BTreeSet::new(),
        demands: BTreeMap::new(),
        has_shortage: false,
        context,
        fencing_token: claimed.fencing_token,
        appender: claimed.appender,
        quotas: ShardQuotas::default(),
        started_machines: BTreeMap::new(),
        wave_starts: BTreeMap::new(),
        active_waves: BTreeMap::new(),
        completed_waves: BTreeSet::new(),
        owned_since: now,
        confirmed_at,
    };
    for entry in &claimed.entries {
        if let Some(value) = &entry.value {
            fleet.restore(&entry.key, value);
        }
    }
    // The fleet shard has no jobs.
    drop(claimed.memory);
    log::info!(token = fleet.fencing_token; "fleet_shard_acquired");
    let mut last_reconciled = now;
    let released = loop {
        let interval = if fleet.has_shortage {
            SHORTAGE_INTERVAL
        } else {
            RECONCILE_INTERVAL
        };
        let pause =
            (last_reconciled + interval).saturating_duration_since(fleet.context.clock.now());
        let result = tokio::select! {
            Some(request) = requests.recv() => {
                let (sent, release) = split_requests(request, &mut requests);
                let result = fleet.handle_requests(sent).await;
                if let (Ok(()), Some(done)) = (result, release) {
                    let stored = tokio::time::timeout(RELEASE_RECORD_TIMEOUT, fleet.store_ages());
                    if !matches!(stored.await, Ok(Ok(_))) {
                        // The successor uses the ages that were stored before.
                        log::info!(token = fleet.fencing_token; "command_ages_not_stored");
                    }
                    break Some(done);
                }
                result
            }
            Some(list) = waves.recv() => fleet.update_waves(list).await,
            () = tokio::time::sleep(pause) => {
                fleet.has_shortage = false;
                let result = fleet.reconcile().await;
                last_reconciled = fleet.context.clock.now();
                result
            }
        };
        if result.is_err() {
            break None;
        }
    };
    log::info!(token = fleet.fencing_token, released = released.is_some(); "fleet_owner_stopped");
    let Some(done) = released else {
        return OwnerEnd::OwnershipLost;
    };
    // The receiver is dropped only when the process ends.
    let _ = done.send(());
    OwnerEnd::Released
}

/// Encodes a record of the fleet shard.
///
/// # Errors
///
/// Returns [`OwnershipLost`] if the value can't be encoded: the owner stops rather than go on with a
/// state that is not stored.
fn encode_record<T: serde::Serialize>(key: String, value: &T) -> Result<Record, OwnershipLost> {
    match postcard::to_allocvec(value) {
        Ok(value) => Ok(Record {
            key,
            value: Some(value),
        }),
        Err(error) => {
            log::error!(key:display, error:display; "record_encode_failed");
            Err(OwnershipLost)
        }
    }
}

/// A request of another process or of this one, and where its response goes.
type SentRequest = (ShardRequest, Responder);

/// Takes the requests that have arrived, and a request to release the shard if there is one.
fn split_requests(
    first: LocalRequest,
    requests: &mut mpsc::Receiver<LocalRequest>,
) -> (Vec<SentRequest>, Option<oneshot::Sender<()>>) {
    let (mut sent, mut release) = (Vec::new(), None);
    let mut next = Some(first);
    while let Some(request) = next {
        match request {
            LocalRequest::Send(request, responder) => sent.push((request, responder)),
            LocalRequest::Release(done) => release = Some(done),
        }
        next = requests.try_recv().ok();
    }
    (sent, release)
}

impl Fleet {
    /// Restores the state from a record of an earlier owner.
    fn restore(&mut self, key: &str, value: &[u8]) {
        if let Some(shard) = key.strip_prefix(QUOTA_PREFIX).and_then(|s| s.parse().ok()) {
            match postcard::from_bytes::<Vec<(Name, Resources)>>(value) {
                Ok(quotas) => self.quotas.restore(ShardId(shard), quotas),
                Err(error) => log::error!(key, error:display; "record_decode_failed"),
            }
        } else if let Some(wave) = key.strip_prefix(WAVE_PREFIX).and_then(|s| s.parse().ok()) {
            match postcard::from_bytes::<BTreeSet<Name>>(value) {
                Ok(started) => {
                    self.started_machines.insert(wave, started);
                }
                Err(error) => log::error!(key, error:display; "record_decode_failed"),
            }
        } else if let Some(wave) = key
            .strip_prefix(WAVE_START_PREFIX)
            .and_then(|s| s.parse().ok())
        {
            match postcard::from_bytes::<u64>(value) {
                Ok(unix_ms) => {
                    self.wave_starts
                        .insert(wave, Duration::from_millis(unix_ms));
                }
                Err(error) => log::error!(key, error:display; "record_decode_failed"),
            }
        } else if key == COMMANDS_KEY {
            match postcard::from_bytes::<StoredCommands>(value) {
                Ok(stored) => self.commands.restore(self.owned_since, &stored),
                Err(error) => {
                    self.commands.block_all(self.owned_since);
                    log::error!(key, error:display; "record_decode_failed");
                }
            }
        } else if key == SWITCHES_KEY {
            match postcard::from_bytes::<FleetSwitches>(value) {
                Ok(automatic) => self.automatic = automatic,
                Err(error) => {
                    // Actions that may have been switched off stay off until an operator switches
                    // them on.
                    self.automatic.set(None, false);
                    log::error!(key, error:display; "record_decode_failed");
                }
            }
        } else if let Some(machine) = key.strip_prefix(moves::ORIGIN_PREFIX) {
            match std::str::from_utf8(value) {
                Ok(origin) => {
                    self.stored_origins.insert(machine.into());
                    self.rebalancer
                        .restore_origin(machine.into(), origin.into());
                }
                Err(error) => log::error!(key, error:display; "record_decode_failed"),
            }
        }
    }

    /// Handles the requests that have arrived. What they change is stored together before any of them
    /// is answered, so that a slow store delays the owner once.
    async fn handle_requests(&mut self, requests: Vec<SentRequest>) -> Result<(), OwnershipLost> {
        let mut records = Vec::new();
        let mut automatic = self.automatic;
        let mut switched = Vec::new();
        let mut responses = Vec::new();
        for (request, responder) in requests {
            let response = match request {
                ShardRequest::ReportUsage(report) => {
                    let now = self.context.clock.now();
                    for (pool, demand) in &report.pools {
                        self.has_shortage |= demand.is_short();
                        let pool = Arc::clone(pool);
                        self.demands.insert(pool, (now, demand.clone()));
                    }
                    let grant = self.update_quotas(&report);
                    if grant.increased {
                        let key = format!("{QUOTA_PREFIX}{}", report.shard);
                        records.push(encode_record(key, &grant.quotas)?);
                    }
                    ShardResponse::Quotas(SentQuotas {
                        quotas: grant.quotas,
                        claimed: grant.claimed,
                    })
                }
                ShardRequest::FleetStatus => ShardResponse::Fleet(Box::new(self.view())),
                ShardRequest::SetSwitch { action, on } => {
                    automatic.set(action, on);
                    records.push(encode_record(SWITCHES_KEY.to_owned(), &automatic)?);
                    switched.push((action, on));
                    ShardResponse::Accepted
                }
                _ => ShardResponse::NotOwner,
            };
            responses.push((responder, response));
        }
        self.append(&records).await?;
        self.automatic = automatic;
        for (action, on) in switched {
            let action = action.map_or_else(|| "all".to_owned(), |a| a.to_string());
            log::info!(action = &*action, on; "automatic_switched");
        }
        for (responder, response) in responses {
            // The caller may have stopped waiting; it repeats the request.
            let _ = responder.send(response);
        }
        Ok(())
    }

    /// Returns the status of the fleet that operators see.
    fn view(&self) -> FleetView {
        let waves = self
            .active_waves
            .iter()
            .map(|(number, active_wave)| (*number, active_wave.view()));
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

    /// Computes the quotas of a shard. Increased ones have to be stored before they are granted.
    fn update_quotas(&mut self, report: &ShardUsage) -> QuotaGrant {
        let config = self.context.current_config.load();
        let shards = config.quota_shards();
        let limits = config.team_limits();
        let now = self.context.clock.now();
        self.quotas.update(now, &limits, shards, report)
    }

    /// Appends a record, which also confirms the ownership.
    async fn store<T: serde::Serialize>(
        &mut self,
        key: String,
        value: &T,
    ) -> Result<(), OwnershipLost> {
        let record = encode_record(key, value)?;
        self.append(&[record]).await
    }

    /// Appends records, which also confirms the ownership if there are any.
    async fn append(&mut self, records: &[Record]) -> Result<(), OwnershipLost> {
        if records.is_empty() {
            return Ok(());
        }
        let sent = self.context.clock.now();
        self.appender.append(records).await?;
        self.confirmed_at = sent;
        Ok(())
    }

    /// Starts tracking new waves and updates known ones from the list of published waves.
    async fn update_waves(&mut self, waves: Vec<Wave>) -> Result<(), OwnershipLost> {
        for wave in waves {
            let number = wave.number;
            if self.completed_waves.contains(&number) {
                continue;
            }
            if let Some(active_wave) = self.active_waves.get_mut(&number) {
                active_wave.update(wave);
                continue;
            }
            log::info!(
                wave = number, machines = wave.machines.len(), at_once = wave.max_unavailable;
                "wave_started"
            );
            let started = self
                .started_machines
                .get(&number)
                .cloned()
                .unwrap_or_default();
            let tracked_since = self.wave_start(number).await?;
            let mut active_wave =
                ActiveWave::new(tracked_since, wave, started, self.context.maintenance_time);
            active_wave.inherit(
                self.commands.inherited(),
                self.owned_since + self.context.takeover_delay,
            );
            self.active_waves.insert(number, active_wave);
        }
        Ok(())
    }

    /// Returns when the first owner began to track a wave, and stores it if this is the first one. A
    /// wave that starts over with each owner would never become urgent.
    async fn wave_start(&mut self, number: u64) -> Result<Instant, OwnershipLost> {
        let at = timestamp(&*self.context.clock);
        if let Some(start) = self.wave_starts.get(&number) {
            let age = at.unix.saturating_sub(*start);
            return Ok(at.now.checked_sub(age).unwrap_or(at.now));
        }
        let unix_ms = u64::try_from(at.unix.as_millis()).unwrap_or(0);
        self.store(format!("{WAVE_START_PREFIX}{number}"), &unix_ms)
            .await?;
        self.wave_starts.insert(number, at.unix);
        Ok(at.now)
    }

    /// Checks the ownership if it was not confirmed recently, advances the waves and rebalances the
    /// pools. A new owner that does not know what an earlier one commanded leaves the waves alone for
    /// [`FleetContext::takeover_delay`].
    async fn reconcile(&mut self) -> Result<(), OwnershipLost> {
        let now = self.context.clock.now();
        let check_due = now.saturating_duration_since(self.confirmed_at) > OWNERSHIP_CHECK_INTERVAL;
        if check_due && !self.check_ownership_and_ages().await? {
            return Ok(());
        }
        let Some(machines) = self.context.platform.machines.clone() else {
            return Ok(());
        };
        let max_age = if self.needs_recent_list(now) {
            MAX_LIST_AGE
        } else {
            MAX_IDLE_LIST_AGE
        };
        let clock = &*self.context.clock;
        let Some(list) = self.list.get(&*machines, clock, max_age).await else {
            return Ok(());
        };
        let evacuated = self.context.evacuated.load();
        self.rebalancer.set_evacuated_zones(&evacuated);
        for active_wave in self.active_waves.values_mut() {
            active_wave.set_evacuated_zones(&evacuated);
        }
        if self.commands.all_blocked(now) {
            // Machines that an earlier owner took down may still be listed as up.
            return self.rebalance(&*machines, &list).await;
        }
        let numbers: Vec<u64> = self.active_waves.keys().copied().collect();
        for number in numbers {
            self.advance_wave(number, &*machines, &list).await?;
        }
        self.rebalance(&*machines, &list).await
    }

    /// Returns whether waves or moves are in progress or a pool lacks capacity.
    fn needs_recent_list(&self, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < moves::REPORT_TTL;
        let mut demands = self.demands.values();
        !self.active_waves.is_empty()
            || self.rebalancer.moving_count() > 0
            || demands.any(|(at, demand)| is_recent(at) && demand.is_short())
    }

    /// Drains the next machines of a wave and requests maintenance for those that are drained.
    async fn advance_wave(
        &mut self,
        number: u64,
        machines: &dyn Machines,
        list: &[Machine],
    ) -> Result<(), OwnershipLost> {
        let now = self.context.clock.now();
        let Some(active_wave) = self.active_waves.get_mut(&number) else {
            return Ok(());
        };
        if active_wave.observe(now, list) {
            return self.complete_wave(number).await;
        }
        let terminated = active_wave.terminated_workers(list);
        for (pool, worker) in terminated {
            self.notify_termination(&pool, worker);
        }
        let Some(active_wave) = self.active_waves.get(&number) else {
            return Ok(());
        };
        let by_name: BTreeMap<&Name, &Machine> = list.iter().map(|m| (&m.name, m)).collect();
        let (draining, urgent) = (active_wave.draining(), active_wave.is_urgent(now));
        let unconfirmed: BTreeSet<Name> = active_wave.unconfirmed().into_iter().collect();
        let mut to_drain = unconfirmed.clone();
        if self.automatic.is_enabled(FleetAction::Drains) {
            to_drain.extend(draining);
        }
        let to_drain: Vec<Name> = to_drain.into_iter().collect();
        let evacuated = self.context.evacuated.load();
        let (drained, deferred) = self
            .drain_machines(&to_drain, &evacuated, urgent, &by_name)
            .await;
        if let Some(active_wave) = self.active_waves.get_mut(&number) {
            for name in &deferred {
                active_wave.defer(now, name);
            }
        }
        // A command without a response is repeated, but only while its worker is drained.
        let (mut repeated, mut first): (Vec<Name>, Vec<Name>) =
            drained.into_iter().partition(|n| unconfirmed.contains(n));
        let is_evacuated = |name: &Name| by_name.get(name).is_some_and(|m| m.is_in(&evacuated));
        first.sort_by_key(|name| !is_evacuated(name));
        let free_slots = self.active_waves.get(&number);
        let free_slots = free_slots.map_or(0, ActiveWave::free_slots);
        first.truncate(free_slots);
        repeated.append(&mut first);
        repeated.truncate(self.command_budget.available(now));
        let commands: Vec<(Name, Option<Name>)> = repeated
            .into_iter()
            .map(|name| {
                let worker = by_name.get(&name).and_then(|m| m.worker.clone());
                let worker = worker.filter(|_| !unconfirmed.contains(&name));
                (name, worker)
            })
            .collect();
        self.request_maintenance(number, machines, now, &commands)
            .await
    }

    /// Tells the owner of a pool that a worker was terminated. Otherwise its runs count as running
    /// until their lease expires.
    fn notify_termination(&self, pool: &Name, worker: Name) {
        let (router, shard) = (Arc::clone(&self.context.router), ShardId::of_pool(pool));
        let deadline = self.context.clock.now() + TERMINATION_TIMEOUT;
        tokio::spawn(async move {
            let request = ShardRequest::WorkerTerminated(worker);
            if let Err(error) = router.send(shard, &request, deadline).await {
                log::info!(shard:display, error:display; "worker_termination_not_delivered");
            }
        });
    }

    /// Asks the owners of the machines' pools to drain the workers. Returns the machines whose
    /// workers are drained, and those whose drain is deferred because the pool is under load. Drains of
    /// machines in `evacuated` zones are not deferred.
    async fn drain_machines(
        &self,
        draining: &[Name],
        evacuated: &BTreeSet<Name>,
        urgent: bool,
        machines: &BTreeMap<&Name, &Machine>,
    ) -> (Vec<Name>, Vec<Name>) {
        let deadline = self.context.clock.now() + DRAIN_TIMEOUT;
        let requests = draining.iter().filter_map(|name| {
            let machine = machines.get(name)?;
            let router = Arc::clone(&self.context.router);
            Some(async move {
                let Some(worker) = machine.worker.clone() else {
                    return Some((Arc::clone(name), ShardResponse::Drained));
                };
                let shard = ShardId::of_pool(&machine.pool);
                let urgent = urgent || machine.is_in(evacuated);
                let request = ShardRequest::DrainWorker { worker, urgent };
                match router.send(shard, &request, deadline).await {
                    Ok(response @ (ShardResponse::Drained | ShardResponse::Deferred)) => {
                        Some((Arc::clone(name), response))
                    }
                    Ok(ShardResponse::Busy) => None,
                    // An owner that does not know the worker yet can't determine what runs on it.
                    Ok(response) => {
                        log::info!(machine = &**name, reply:? = response; "drain_rejected");
                        None
                    }
                    Err(error) => {
                        log::info!(machine = &**name, error:display; "drain_request_failed");
                        None
                    }
                }
            })
        });
        let responses = futures::future::join_all(requests).await;
        let responses = responses.into_iter().flatten();
        let (drained, deferred): (Vec<_>, Vec<_>) =
            responses.partition(|(_, response)| *response == ShardResponse::Drained);
        let machine_names =
            |rows: Vec<(Name, ShardResponse)>| rows.into_iter().map(|(name, _)| name).collect();
        (machine_names(drained), machine_names(deferred))
    }

    /// Stores that machines are about to get a command, or only checks the ownership if that is
    /// stored already. A successor sends these machines no commands for a while, and an owner that
    /// has lost the shard stops here. Returns whether the commands may be sent: not if the store can't
    /// be read, since a successor may have sent commands.
    async fn record_commands(&mut self, machines: &[Name]) -> Result<bool, OwnershipLost> {
        let now = self.context.clock.now();
        match self.commands.begin(now, machines) {
            Some(to_store) => {
                self.store(COMMANDS_KEY.to_owned(), &to_store).await?;
                Ok(true)
            }
            None => self.check_ownership().await,
        }
    }

    /// Stores the current ages of the commands if they differ from the stored ones. Returns whether
    /// they do.
    async fn store_ages(&mut self) -> Result<bool, OwnershipLost> {
        match self.commands.refresh_ages(self.context.clock.now()) {
            Some(to_store) => {
                self.store(COMMANDS_KEY.to_owned(), &to_store).await?;
                Ok(true)
            }
            None => Ok(false),
        }
    }

    /// Stores the ages of the commands, which also confirms that this process still owns the shard,
    /// or else checks that. Returns `false` if the store can't be read.
    async fn check_ownership_and_ages(&mut self) -> Result<bool, OwnershipLost> {
        Ok(self.store_ages().await? || self.check_ownership().await?)
    }

    /// Checks that this process still owns the shard. Returns `false` if the store can't be read.
    async fn check_ownership(&mut self) -> Result<bool, OwnershipLost> {
        let now = self.context.clock.now();
        match self.appender.check_ownership().await {
            Ok(()) => {
                self.confirmed_at = now;
                Ok(true)
            }
            Err(StoreError::OffsetMismatch { .. }) => Err(OwnershipLost),
            Err(error) => {
                log::warn!(error:display; "fleet_ownership_check_failed");
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

    /// Sends the maintenance commands for machines at the same time and records their responses.
    /// Each machine comes with the worker that the command terminates; their drains were requested
    /// at `requested_at`. One after the other, with a record before and after each, the commands of a
    /// wave would take longer than its time limit while the store is slow.
    async fn request_maintenance(
        &mut self,
        number: u64,
        machines: &dyn Machines,
        requested_at: Instant,
        commands: &[(Name, Option<Name>)],
    ) -> Result<(), OwnershipLost> {
        if commands.is_empty() {
            return Ok(());
        }
        let names: Vec<Name> = commands.iter().map(|(name, _)| Arc::clone(name)).collect();
        if !self.record_commands(&names).await? {
            return Ok(());
        }
        let now = self.context.clock.now();
        let age = now.saturating_duration_since(requested_at);
        if age > DRAIN_GRANT_TTL {
            let age_ms = age.as_millis() as u64;
            log::info!(wave = number, machines = names.len(), age_ms; "drains_expired");
            return Ok(());
        }
        let Some(wave) = self.active_waves.get_mut(&number) else {
            return Ok(());
        };
        for (name, worker) in commands {
            wave.mark_requested(now, name, worker.clone());
        }
        self.command_budget.take(now, names.len());
        let holder = self.holder();
        let calls = names
            .iter()
            .map(|name| machines.start_maintenance(&holder, name, number));
        let answers = futures::future::join_all(calls).await;
        self.list.invalidate();
        let mut started_before = 0;
        let mut result = Ok(());
        if let Some(wave) = self.active_waves.get(&number) {
            started_before = wave.started().len();
        }
        for (name, answer) in names.iter().zip(answers) {
            result = result.and(self.record_maintenance(number, name, answer));
        }
        result?;
        let started = self.active_waves.get(&number).map(|w| w.started().clone());
        match started.filter(|started| started.len() > started_before) {
            Some(started) => self.store(format!("{WAVE_PREFIX}{number}"), &started).await,
            None => Ok(()),
        }
    }

    /// Records the response to a maintenance command.
    fn record_maintenance(
        &mut self,
        number: u64,
        name: &Name,
        answer: MachineResponse,
    ) -> Result<(), OwnershipLost> {
        let now = self.context.clock.now();
        self.commands.mark_finished(now, name);
        log::info!(
            wave = number, machine = &**name, token = self.fencing_token, answer:display;
            "maintenance_requested"
        );
        let Some(wave) = self.active_waves.get_mut(&number) else {
            return Ok(());
        };
        match answer {
            MachineResponse::Done => wave.mark_confirmed(name),
            MachineResponse::StaleToken => return Err(OwnershipLost),
            MachineResponse::Busy | MachineResponse::Unavailable => wave.mark_rejected(now, name),
            MachineResponse::Invalid => wave.mark_skipped(name),
            MachineResponse::OutcomeUnknown => {}
        }
        Ok(())
    }

    /// Publishes that a wave is completed and stops tracking it.
    async fn complete_wave(&mut self, number: u64) -> Result<(), OwnershipLost> {
        let record = self.context.platform.codec.wave_status(number, true);
        let store = &self.context.platform.store;
        match store.append(Topic::Status, None, &[record]).await {
            Ok(_) => {
                log::info!(wave = number; "wave_completed");
                self.active_waves.remove(&number);
                self.completed_waves.insert(number);
            }
            Err(error) => log::warn!(wave = number, error:display; "wave_status_write_failed"),
        }
        Ok(())
    }
}
