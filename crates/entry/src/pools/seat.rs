//! Requests that wait for a target.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Instant;

use lavenderhollow_config::Team;
use lavenderhollow_core::queue::Queue;
use lavenderhollow_core::queue::Supply;
use lavenderhollow_core::queue::Ticket;
use lavenderhollow_core::queue::Waiting;
use lavenderhollow_core::share::Amount;
use lavenderhollow_core::share::Shares;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;
use tokio::sync::oneshot;

use super::grant::Grant;
use super::grant::Wanted;
use super::pool::Pool;
use crate::context::Context;
use crate::context::RETRY_AFTER;

/// A waiting request.
pub(super) struct Seat {
    wanted: Wanted,
    answer: oneshot::Sender<Result<Grant, Refusal>>,
}

/// The waiting requests of a pool in the order of shares and deadlines.
pub(super) struct Waiters {
    queue: Queue<Seat>,
    shares: Shares,
    /// What the shares were told to be running.
    counted: HashMap<TeamName, u64>,
    sizes: HashMap<TeamName, Amount>,
}

impl Waiters {
    pub(super) fn new(bound: usize) -> Self {
        Self {
            queue: Queue::new(bound),
            shares: Shares::new(Amount::default()),
            counted: HashMap::new(),
            sizes: HashMap::new(),
        }
    }

    pub(super) fn set_weights(&mut self, teams: &BTreeMap<TeamName, Team>) {
        for (team, settings) in teams {
            self.shares.set_weight(team, settings.share);
        }
    }

    /// Tells the shares what started and ended since they were told last.
    fn settle(&mut self, slots: u32, running: Vec<(TeamName, u64)>) {
        self.shares.set_capacity(Amount {
            slots: slots.into(),
            ..Amount::default()
        });
        for (team, running) in running {
            self.settle_team(&team, running);
        }
    }

    fn settle_team(&mut self, team: &TeamName, running: u64) {
        let one_slot = Amount {
            slots: 1,
            ..Amount::default()
        };
        let amount = self.sizes.get(team).copied().unwrap_or(one_slot);
        let counted = self.counted.entry(team.clone()).or_default();
        while *counted < running {
            self.shares.started(team, &amount);
            *counted += 1;
        }
        while *counted > running {
            self.shares.finished(team, &amount);
            *counted -= 1;
        }
    }

    fn mark_waiting(&mut self, team: &TeamName) {
        let waits = self.queue.waiting(team) > 0;
        self.shares.set_waiting(team, waits);
    }
}

/// Takes a waiting request out of its queue when its caller stops waiting.
struct Seated {
    pool: Arc<Pool>,
    ticket: Ticket,
}

impl Drop for Seated {
    fn drop(&mut self) {
        self.pool.waiters().queue.cancel(&self.ticket);
        self.pool.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Pool {
    pub(super) fn waiters(&self) -> MutexGuard<'_, Waiters> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many requests of a team wait.
    pub(super) fn waiting(&self, team: &TeamName) -> usize {
        match self.waiting.load(Ordering::Acquire) {
            0 => 0,
            _ => self.waiters().queue.waiting(team),
        }
    }

    /// Waits for a target until the deadline.
    ///
    /// # Errors
    ///
    /// Refuses when the team's queue is full or the deadline can't be met.
    pub(super) async fn wait(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        wanted: &Wanted,
        deadline: Instant,
    ) -> Result<Grant, Refusal> {
        let (answer, granted) = oneshot::channel();
        let seated = self.enqueue(cx, wanted, deadline, answer)?;
        self.pump(cx);
        let left = deadline.saturating_duration_since(cx.clock.now());
        let result = tokio::time::timeout(left, granted).await;
        drop(seated);
        match result {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => {
                let detail = "no target became free before the deadline";
                Err(Refusal::new(RefusalKind::Overloaded, detail).retry_after(RETRY_AFTER))
            }
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        cx: &Context,
        wanted: &Wanted,
        deadline: Instant,
        answer: oneshot::Sender<Result<Grant, Refusal>>,
    ) -> Result<Seated, Refusal> {
        let team = wanted.share_team();
        let usable = match &wanted.team {
            Some(team) => cx.meters.usable(team),
            None => u32::MAX,
        };
        let waiting = Waiting {
            team: team.clone(),
            class: wanted.class,
            deadline,
            run_time: wanted.run_time,
            item: Seat {
                wanted: wanted.clone(),
                answer,
            },
        };
        let supply = self.supply(usable);
        let mut waiters = self.waiters();
        let ticket = waiters.queue.push(cx.clock.now(), waiting, supply)?;
        waiters
            .sizes
            .insert(team.clone(), Amount::request(&wanted.size));
        waiters.mark_waiting(&team);
        drop(waiters);
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Ok(Seated {
            pool: Arc::clone(self),
            ticket,
        })
    }

    fn supply(&self, usable: u32) -> Supply {
        Supply {
            serving: self.slots().min(usable),
            free: self.free().min(usable),
            buffer: self.buffer(),
        }
    }

    /// Gives free targets to waiting requests, the team furthest below its share first.
    pub(super) fn pump(&self, cx: &Context) {
        let mut waiters = self.waiters();
        for (waiting, refusal) in waiters.queue.expire(cx.clock.now()) {
            let _ = waiting.item.answer.send(Err(refusal));
        }
        waiters.settle(self.slots(), self.running());
        loop {
            let order: Vec<TeamName> = waiters.shares.order().cloned().collect();
            let mut teams = order.iter();
            if !teams.any(|team| self.serve_team(cx, &mut waiters, team)) {
                return;
            }
            waiters.settle(self.slots(), self.running());
        }
    }

    /// Serves the next request of a team, and tells whether it did.
    fn serve_team(&self, cx: &Context, waiters: &mut Waiters, team: &TeamName) -> bool {
        let supply = self.supply(u32::MAX);
        let Some(next) = waiters.queue.peek(team, supply) else {
            return false;
        };
        let result = match self.grab(cx, &next.item.wanted) {
            Err(refusal) if refusal.kind != RefusalKind::Impossible => return false,
            result => result,
        };
        if let Some(waiting) = waiters.queue.pop(team, supply) {
            // A grant that nobody waits for is dropped, which frees its target and slot.
            let _ = waiting.item.answer.send(result);
        }
        waiters.mark_waiting(team);
        true
    }
}
