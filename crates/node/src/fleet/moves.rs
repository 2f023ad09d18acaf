//! Moves of machines between pools, as the owner of the fleet shard orders them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::PoolDemand;
use lavenderhollow_shard::Record;

use super::DRAIN_GRANT_TTL;
use super::Fleet;
use crate::appender::OwnershipLost;
use crate::automatic::AutomaticAction;
use crate::backend::Machine;
use crate::backend::MachineResponse;
use crate::backend::Machines;
use crate::message::ShardRequest;
use crate::message::ShardResponse;
use crate::rebalancer::PlannedMove;
use crate::shard_id::ShardId;

/// What the keys of the machines' homes begin with.
pub(super) const ORIGIN_PREFIX: &str = "m";

/// After what time a pool's report says nothing any more: several reports are missing.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);

/// The time for a question to the owner of the pool that is to give a worker away.
const LEND_LIMIT: Duration = Duration::from_millis(400);

impl Fleet {
    /// Orders the moves that serve the pools' demands.
    pub(super) async fn balance(
        &mut self,
        machines: &dyn Machines,
        list: &[Machine],
    ) -> Result<(), OwnershipLost> {
        let now = self.context.clock.now();
        for (pool, worker) in self.rebalancer.observe(now, list) {
            self.tell_ended(&pool, worker);
        }
        if self.commands.all_blocked(now) {
            return Ok(());
        }
        let mut moves = self.rebalancer.unconfirmed();
        if self.automatic.is_enabled(AutomaticAction::Moves) {
            moves.extend(self.planned_moves(now, list));
        }
        if moves.is_empty() {
            return Ok(());
        }
        let asked = self.context.clock.now();
        let moves = self.lent(moves).await;
        self.store_origins(&moves).await?;
        let names: Vec<Name> = moves.iter().map(|m| Arc::clone(&m.machine)).collect();
        self.record_orders(&names).await?;
        for planned in moves {
            let age = self.context.clock.now().saturating_duration_since(asked);
            if age > DRAIN_GRANT_TTL {
                log::info!(machine = &*planned.machine, age_ms = age.as_millis() as u64; "move_dropped");
                continue;
            }
            self.order_move(machines, &planned).await?;
        }
        Ok(())
    }

    fn planned_moves(&self, now: Instant, list: &[Machine]) -> Vec<PlannedMove> {
        let config = self.context.current.load();
        let standby: BTreeSet<Name> = config
            .pools
            .iter()
            .filter(|p| p.standby)
            .map(|p| Arc::clone(&p.name))
            .collect();
        let fresh = |at| now.saturating_duration_since(at) < REPORT_LIFE;
        let demands: BTreeMap<Name, PoolDemand> = self
            .demands
            .iter()
            .filter(|(_, (at, _))| fresh(*at))
            .map(|(pool, (_, demand))| (Arc::clone(pool), demand.clone()))
            .collect();
        let kept = self.runs.values().flat_map(|run| run.in_progress());
        let kept: BTreeSet<Name> = kept.chain(self.commands.blocked(now)).collect();
        self.rebalancer.plan(list, &demands, &standby, &kept)
    }

    /// Asks the owners of the pools to give the workers away; returns the moves that they agree to.
    async fn lent(&self, moves: Vec<PlannedMove>) -> Vec<PlannedMove> {
        let deadline = self.context.clock.now() + LEND_LIMIT;
        let asks = moves.into_iter().map(|planned| {
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
                        log::info!(machine = &*planned.machine, error:display; "lend_unanswered");
                        None
                    }
                }
            }
        });
        let lent = futures::future::join_all(asks).await;
        lent.into_iter().flatten().collect()
    }

    /// Stores the homes of machines that leave them, so that a successor knows them.
    async fn store_origins(&mut self, moves: &[PlannedMove]) -> Result<(), OwnershipLost> {
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
        if records.is_empty() {
            return Ok(());
        }
        let sent = self.context.clock.now();
        self.appender.append(&records).await?;
        self.confirmed = sent;
        Ok(())
    }

    async fn order_move(
        &mut self,
        machines: &dyn Machines,
        planned: &PlannedMove,
    ) -> Result<(), OwnershipLost> {
        let name = &planned.machine;
        self.rebalancer
            .mark_ordered(self.context.clock.now(), planned);
        let answer = machines.move_to(&self.holder(), name, &planned.to).await;
        self.commands.mark_sent(self.context.clock.now(), name);
        metrics::counter!("machine_moves_total", "outcome" => answer.to_string()).increment(1);
        log::info!(
            machine = &**name, from = &*planned.from, to = &*planned.to, token = self.fencing_token,
            answer:display; "move_ordered"
        );
        let now = self.context.clock.now();
        match answer {
            MachineResponse::Done => self.rebalancer.mark_confirmed(now, name),
            MachineResponse::StaleToken => return Err(OwnershipLost),
            MachineResponse::Busy | MachineResponse::Unavailable => {
                self.rebalancer.mark_refused(now, name);
            }
            MachineResponse::Invalid => self.rebalancer.mark_invalid(name),
            MachineResponse::OutcomeUnknown => {}
        }
        Ok(())
    }
}
