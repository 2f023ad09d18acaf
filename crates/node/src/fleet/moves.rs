//! Moves of machines between pools, as the owner of the fleet shard orders them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::PoolDemand;
use lavenderhollow_shard::Record;

use super::Fleet;
use super::VACANCY_LIFE;
use crate::appender::Lost;
use crate::automatic::Action;
use crate::backend::Machine;
use crate::backend::MachineAnswer;
use crate::backend::Machines;
use crate::balance::PlannedMove;
use crate::message::Question;
use crate::message::Reply;
use crate::shard_id::ShardId;

/// What the keys of the machines' homes begin with.
pub(super) const HOME_KEY: &str = "m";

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
    ) -> Result<(), Lost> {
        let now = self.parts.clock.now();
        for (pool, worker) in self.balance.take_list(now, list) {
            self.tell_ended(&pool, worker);
        }
        if self.orders.is_closed(now) {
            return Ok(());
        }
        let mut moves = self.balance.unconfirmed();
        if self.automatic.allows(Action::Moves) {
            moves.extend(self.planned_moves(now, list));
        }
        if moves.is_empty() {
            return Ok(());
        }
        let asked = self.parts.clock.now();
        let moves = self.lent(moves).await;
        self.store_homes(&moves).await?;
        let names: Vec<Name> = moves.iter().map(|m| Arc::clone(&m.machine)).collect();
        self.record_orders(&names).await?;
        for planned in moves {
            let age = self.parts.clock.now().saturating_duration_since(asked);
            if age > VACANCY_LIFE {
                log::info!(machine = &*planned.machine, age_ms = age.as_millis() as u64; "move_dropped");
                continue;
            }
            self.order_move(machines, &planned).await?;
        }
        Ok(())
    }

    fn planned_moves(&self, now: Instant, list: &[Machine]) -> Vec<PlannedMove> {
        let catalog = self.parts.current.load();
        let standby: BTreeSet<Name> = catalog
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
        let kept = self.runs.values().flat_map(|run| run.held());
        let kept: BTreeSet<Name> = kept.chain(self.orders.inherited(now)).collect();
        self.balance.plan(list, &demands, &standby, &kept)
    }

    /// Asks the owners of the pools to give the workers away; returns the moves that they agree to.
    async fn lent(&self, moves: Vec<PlannedMove>) -> Vec<PlannedMove> {
        let deadline = self.parts.clock.now() + LEND_LIMIT;
        let asks = moves.into_iter().map(|planned| {
            let router = Arc::clone(&self.parts.router);
            async move {
                let Some(worker) = planned.worker.clone() else {
                    return Some(planned);
                };
                let shard = ShardId::of_pool(&planned.from);
                match router.ask(shard, &Question::Lend(worker), deadline).await {
                    Ok(Reply::Vacant) => Some(planned),
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
    async fn store_homes(&mut self, moves: &[PlannedMove]) -> Result<(), Lost> {
        let mut records = Vec::new();
        for planned in moves {
            if !self.stored_homes.insert(Arc::clone(&planned.machine)) {
                continue;
            }
            let home = self.balance.home(&planned.machine).unwrap_or(&planned.from);
            records.push(Record {
                key: format!("{HOME_KEY}{}", planned.machine),
                value: Some(home.as_bytes().to_vec()),
            });
        }
        if records.is_empty() {
            return Ok(());
        }
        let sent = self.parts.clock.now();
        self.appender.append(&records).await?;
        self.confirmed = sent;
        Ok(())
    }

    async fn order_move(
        &mut self,
        machines: &dyn Machines,
        planned: &PlannedMove,
    ) -> Result<(), Lost> {
        let name = &planned.machine;
        self.balance.order(self.parts.clock.now(), planned);
        let answer = machines.move_to(&self.holder(), name, &planned.to).await;
        self.orders.ordered(self.parts.clock.now(), name);
        metrics::counter!("machine_moves_total", "outcome" => answer.to_string()).increment(1);
        log::info!(
            machine = &**name, from = &*planned.from, to = &*planned.to, token = self.token,
            answer:display; "move_ordered"
        );
        let now = self.parts.clock.now();
        match answer {
            MachineAnswer::Done => self.balance.confirm(now, name),
            MachineAnswer::StaleToken => return Err(Lost),
            MachineAnswer::Busy | MachineAnswer::Refused => self.balance.refuse(now, name),
            MachineAnswer::Impossible => self.balance.rule_out(name),
            MachineAnswer::Unknown => {}
        }
        Ok(())
    }
}
