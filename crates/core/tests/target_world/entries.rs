//! What entries do in the world.

use super::*;

impl TargetWorld {
    /// Reads one of the latest lists, since answers may come late.
    pub(super) fn read_list(&mut self, e: usize, back: usize) {
        let index = (self.lists.len() - 1).saturating_sub(back);
        let (list, as_of) = &self.lists[index];
        let entry = &mut self.entries[e];
        if *as_of > entry.newest {
            entry.newest = *as_of;
            entry.seen_leaving = std::array::from_fn(|t| list[t].leaving);
        }
        let as_of = self.time.now() - (self.time.passed - *as_of);
        entry.membership.on_list(list.clone(), as_of);
        entry.membership.publish(self.time.now());
    }

    pub(super) fn follow(&mut self, e: usize, most: usize) {
        let entry = &mut self.entries[e];
        let Ok(items) = self.log.read(entry.fold.next(), most) else {
            return;
        };
        for (position, item) in items {
            entry.fold.apply(position, &item);
        }
        let now = self.time.now();
        let at_head = entry.fold.next() == self.log.head();
        let confirmed = if at_head { now } else { now - self.time.passed };
        entry.membership.on_fold(entry.fold.state(), confirmed);
        entry.membership.publish(now);
    }

    pub(super) fn start(&mut self, e: usize, choice: usize) {
        let now = self.time.now();
        let entry = &mut self.entries[e];
        let loaded = Arc::clone(&entry.loaded);
        let open: Vec<_> = loaded.pools().flat_map(|(_, targets)| targets).collect();
        let target = open.get(choice % open.len().max(1)).copied();
        if entry.waiting == 0 && entry.shutdown.is_some() {
            return;
        }
        entry.waiting = entry.waiting.max(1);
        let Some((target, pass)) = target.and_then(|t| Some((t, t.enter(now)?))) else {
            return;
        };
        let lease_end = self.time.passed + (target.lease_end - now);
        let t = (0..TARGETS).find(|t| vm_name(*t) == target.vm);
        let t = t.expect("the target is known");
        let request = Request {
            by: entry.me,
            _pass: pass,
        };
        entry.waiting -= 1;
        let seen = entry.seen_leaving[t];
        self.network.push(Message::Start {
            target: t,
            lease_end,
            request,
        });
        assert!(
            !seen,
            "entry {e} saw target {t} leaving and started work on it"
        );
        self.check_closing(t, CLOSED_AFTER);
    }

    pub(super) fn lease(&mut self, e: usize, t: usize) {
        let (vm, now) = (vm_name(t), self.time.now());
        let passed = self.time.passed;
        let entry = &mut self.entries[e];
        let worker = &mut self.workers[t];
        let holder = match worker.lease {
            Some((holder, end)) if holder == entry.me && passed < end => Holder::Me,
            Some((_, end)) if passed < end => Holder::Other,
            Some((_, end)) => Holder::Nobody(passed - end),
            None => Holder::Nobody(passed),
        };
        let names: Vec<_> = (0..ENTRIES).map(entry_name).collect();
        let live = names.iter().zip(entry.live).filter(|(_, live)| *live);
        match lease_action(&names[e], &vm, live.map(|(name, _)| name), holder) {
            LeaseAction::Take | LeaseAction::Renew => {
                worker.lease = Some((entry.me, passed + LEASE));
                entry.membership.on_lease(&vm, Some(now + LEASE), now);
            }
            LeaseAction::GiveBack => {
                entry.membership.on_lease(&vm, None, now);
                entry.membership.publish(now);
                if entry.membership.target_view(&vm, now).in_flight == 0 {
                    worker.lease = None;
                }
            }
            LeaseAction::Leave => {}
        }
        entry.membership.publish(now);
    }

    pub(super) fn drive(&mut self, e: usize) {
        let now = self.time.now();
        self.shut_down(e);
        for t in 0..TARGETS {
            let vm = vm_name(t);
            let entry = &mut self.entries[e];
            let state = entry.fold.state();
            let record = state.vm(&vm).and_then(|record| record.drain.as_ref());
            let Some(record) = record else {
                entry.drains.remove(&vm);
                continue;
            };
            let drain = entry.drains.entry(vm.clone());
            let drain = drain.or_insert_with(|| Drain::new(vm.clone(), record, now));
            let view = entry.membership.target_view(&vm, now);
            let by = entry.me;
            match drain.step(state, &view, now) {
                DrainStep::Record(change) => self.append(change),
                DrainStep::Reboot { boot } => {
                    let target = t;
                    self.network
                        .push(Message::Reboot(Reboot { target, by, boot }));
                }
                DrainStep::Done => drop(entry.drains.remove(&vm)),
                DrainStep::Checkpoint | DrainStep::Wait | DrainStep::TakeLease => {}
            }
        }
    }

    /// The requests of an entry that are not answered: waiting, on the way or running.
    pub(super) fn open(&self, e: usize) -> u32 {
        let me = self.entries[e].me;
        let tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
        let running = tasks.filter(|task| task.by == me).count();
        let sent = self.network.iter().filter(|message| match message {
            Message::Start { request, .. } => request.by == me,
            Message::Reboot(_) => false,
        });
        self.entries[e].waiting + (running + sent.count()) as u32
    }

    pub(super) fn shut_down(&mut self, e: usize) {
        let (now, passed) = (self.time.now(), self.time.passed);
        let open = self.open(e);
        let entry = &mut self.entries[e];
        let Some(shutdown) = &mut entry.shutdown else {
            return;
        };
        let me = entry.me;
        let held = self
            .workers
            .iter()
            .filter(|worker| worker.holder(passed) == Some(me));
        let view = ShutdownView {
            open: entry.waiting + in_flight(&entry.membership, now),
            held: held.count() as u32,
        };
        match shutdown.step(&view, now) {
            ShutdownStep::HandOver => {
                for t in 0..TARGETS {
                    entry.membership.on_lease(&vm_name(t), None, now);
                    self.workers[t].lease.take_if(|(holder, _)| *holder == me);
                }
                entry.membership.publish(now);
            }
            ShutdownStep::Exit => {
                assert_eq!(open, 0, "entry {e} exits with {open} open requests");
                self.replace(e);
            }
            ShutdownStep::StopAccepting | ShutdownStep::Finish { .. } => {}
            ShutdownStep::Confirm { .. } => {}
        }
    }
}
