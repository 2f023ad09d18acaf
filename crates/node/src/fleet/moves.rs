//! Moves of machines between pools, as requested by the owner of the fleet shard.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::PoolDemand;
use lavenderhollow_shard::Record;

use super::COMMANDS_KEY;
use super::DRAIN_GRANT_TTL;
use super::Fleet;
use super::MAX_LIST_AGE;
use super::encode_record;
use crate::appender::OwnershipLost;
use crate::automatic::FleetAction;
use crate::backend::Machine;
use crate::backend::MachineResponse;
use crate::backend::Machines;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::rebalancer::PlannedMove;
use crate::shard_id::ShardId;

/// The prefix of the keys of the machines' origin pools.
pub(super) const ORIGIN_PREFIX: &str = "m";

/// The time after which the report of a pool is ignored, because several later reports are missing.
pub(super) const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// The timeout of a request to the owner of a pool to release a worker.
const WORKER_RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

impl Fleet {
    /// Requests the moves that the demands of the pools call for, and repeats unconfirmed ones.
    pub(super) async fn rebalance(
        &mut self,
        machines: &dyn Machines,
        list: &[Machine],
    ) -> Result<(), OwnershipLost> {
        let now = self.context.clock.now();
        for (pool, worker) in self.rebalancer.observe(now, list) {
            self.notify_termination(&pool, worker);
        }
        if self.commands.all_blocked(now) {
            return Ok(());
        }
        let available = self.command_budget.available(now);
        // One more shows that there are more than can be sent now.
        let mut moves = self.wanted_moves(now, list, available + 1);
        if !moves.is_empty() && !self.list.is_recent(now, MAX_LIST_AGE) {
            let clock = &*self.context.clock;
            let Some(list) = self.list.get(machines, clock, MAX_LIST_AGE).await else {
                return Ok(());
            };
            moves = self.wanted_moves(self.context.clock.now(), &list, available + 1);
        }
        if moves.len() > available {
            // The rest is planned again soon. Its workers stay in use meanwhile.
            moves.truncate(available);
            self.has_shortage = true;
        }
        if moves.is_empty() {
            return Ok(());
        }
        if !self.record_moves(&moves).await? {
            return Ok(());
        }
        let evacuated = self.context.evacuated.load();
        self.rebalancer.set_evacuated_zones(&evacuated);
        let moves = self.rebalancer.without_evacuated(moves, list);
        // A slow store delays the moves only before the workers are released: a release is valid for
        // a short time.
        let requested_at = self.context.clock.now();
        let moves = self.request_releases(moves).await;
        let now = self.context.clock.now();
        let age = |since| now.saturating_duration_since(since);
        let (released, confirmed) = (age(requested_at), age(self.confirmed_at));
        if released > DRAIN_GRANT_TTL || confirmed > self.context.takeover_delay / 2 {
            log::info!(
                machines = moves.len(), released_ms = released.as_millis() as u64,
                confirmed_ms = confirmed.as_millis() as u64; "moves_expired"
            );
            return Ok(());
        }
        self.request_moves(now, machines, &moves).await
    }

    /// Returns the moves whose command got no response, and those that the demands call for, up to
    /// `limit` altogether.
    fn wanted_moves(&self, now: Instant, list: &[Machine], limit: usize) -> Vec<PlannedMove> {
        let mut moves = self.rebalancer.unconfirmed();
        if self.automatic.is_enabled(FleetAction::Moves) {
            let limit = limit.saturating_sub(moves.len());
            moves.extend(self.planned_moves(now, list, limit));
        }
        moves
    }

    /// Plans moves from the recent reports. Machines of waves, and those to which an earlier owner
    /// recently sent a command, are excluded. Returns at most `limit`.
    fn planned_moves(&self, now: Instant, list: &[Machine], limit: usize) -> Vec<PlannedMove> {
        let config = self.context.current_config.load();
        let standby: BTreeSet<Name> = config
            .pools
            .iter()
            .filter(|p| p.standby)
            .map(|p| Arc::clone(&p.name))
            .collect();
        let is_recent = |at| now.saturating_duration_since(at) < REPORT_TTL;
        let demands: BTreeMap<Name, PoolDemand> = self
            .demands
            .iter()
            .filter(|(_, (at, _))| is_recent(*at))
            .map(|(pool, (_, demand))| (Arc::clone(pool), demand.clone()))
            .collect();
        let excluded = self
            .active_waves
            .values()
            .flat_map(|active_wave| active_wave.in_progress());
        let excluded: BTreeSet<Name> = excluded.chain(self.commands.blocked(now)).collect();
        self.rebalancer
            .plan(list, &demands, &standby, &excluded, limit)
    }

    /// Asks the owners of the pools to release the workers. Returns the moves whose workers are
    /// released.
    async fn request_releases(&self, moves: Vec<PlannedMove>) -> Vec<PlannedMove> {
        let deadline = self.context.clock.now() + WORKER_RELEASE_TIMEOUT;
        let requests = moves.into_iter().map(|planned| {
            let router = Arc::clone(&self.context.router);
            async move {
                let Some(worker) = planned.worker.clone() else {
                    return Some(planned);
                };
                let shard = ShardId::of_pool(&planned.from);
                match router
                    .send(shard, &ShardRequest::ReleaseWorker(worker), deadline)
                    .await
                {
                    Ok(ShardResponse::Drained) => Some(planned),
                    Ok(_) => None,
                    Err(error) => {
                        log::info!(
                            machine = &*planned.machine, error:display; "release_request_failed"
                        );
                        None
                    }
                }
            }
        });
        let released = futures::future::join_all(requests).await;
        released.into_iter().flatten().collect()
    }

    /// Stores that machines are about to move, or only checks the ownership if that is stored
    /// already. Returns whether the commands may be sent, see [`Fleet::record_commands`].
    async fn record_moves(&mut self, moves: &[PlannedMove]) -> Result<bool, OwnershipLost> {
        let names: Vec<Name> = moves.iter().map(|m| Arc::clone(&m.machine)).collect();
        let mut records = self.origin_records(moves);
        if let Some(to_store) = self.commands.begin(self.context.clock.now(), &names) {
            records.push(encode_record(COMMANDS_KEY.to_owned(), &to_store)?);
        }
        if records.is_empty() {
            return self.check_ownership().await;
        }
        self.append(&records).await?;
        Ok(true)
    }

    /// Returns the records of the origin pools of machines that are about to move, so that a successor
    /// knows them. Each is returned once.
    fn origin_records(&mut self, moves: &[PlannedMove]) -> Vec<Record> {
        let mut records = Vec::new();
        for planned in moves {
            if !self.stored_origins.insert(Arc::clone(&planned.machine)) {
                continue;
            }
            let origin = self
                .rebalancer
                .origin_pool(&planned.machine)
                .unwrap_or(&planned.from);
            records.push(Record {
                key: format!("{ORIGIN_PREFIX}{}", planned.machine),
                value: Some(origin.as_bytes().to_vec()),
            });
        }
        records
    }

    /// Sends the move commands at the same time and records their responses. One after the other,
    /// the commands of a peak would take seconds.
    async fn request_moves(
        &mut self,
        now: Instant,
        machines: &dyn Machines,
        moves: &[PlannedMove],
    ) -> Result<(), OwnershipLost> {
        self.command_budget.take(now, moves.len());
        for planned in moves {
            self.rebalancer.mark_requested(now, planned);
        }
        let holder = self.holder();
        let commands = moves
            .iter()
            .map(|planned| machines.move_to(&holder, &planned.machine, &planned.to));
        let answers = futures::future::join_all(commands).await;
        let mut result = Ok(());
        for (planned, answer) in moves.iter().zip(answers) {
            result = result.and(self.record_answer(planned, answer));
        }
        result
    }

    /// Records the response to a move command.
    fn record_answer(
        &mut self,
        planned: &PlannedMove,
        answer: MachineResponse,
    ) -> Result<(), OwnershipLost> {
        let name = &planned.machine;
        self.commands.mark_finished(self.context.clock.now(), name);
        metrics::counter!("machine_moves_total", "outcome" => answer.to_string()).increment(1);
        log::info!(
            machine = &**name, from = &*planned.from, to = &*planned.to, token = self.fencing_token,
            answer:display; "move_requested"
        );
        let now = self.context.clock.now();
        match answer {
            MachineResponse::Done => self.rebalancer.mark_confirmed(now, name),
            MachineResponse::StaleToken => return Err(OwnershipLost),
            MachineResponse::Busy | MachineResponse::Unavailable => {
                self.rebalancer.mark_rejected(now, name);
            }
            MachineResponse::Invalid => self.rebalancer.mark_invalid(name),
            MachineResponse::OutcomeUnknown => {}
        }
        Ok(())
    }
}
