//! The platform and the witness: calls with lost answers, bills, and seals.

use super::*;

impl World {
    /// Sends a call to the table: it may fail, its answer may be lost, and it may be applied long
    /// after the caller gave up.
    pub(super) fn call_store(&mut self, d: usize, action: Action, delay: u64) {
        let (Action::Read { budget } | Action::Commit { budget, .. }) = &action else {
            return;
        };
        let failed = |fault| Event::Failed {
            budget: budget.clone(),
            fault,
        };
        if !self.reaches_platform(d) {
            let event = failed(StoreError::Unavailable);
            return self.send_event(d, delay, event);
        }
        let lost = self.fault_chance(60);
        if lost {
            self.send_event(d, delay, failed(StoreError::Unknown));
        }
        if !lost || self.random_below(3) > 0 {
            let late = if lost { self.random_below(3_000) } else { 0 };
            self.schedule(delay + late, Delivery::Store(d, action, !lost, delay));
        }
    }

    /// Applies a call to the table and sends the answer if it is not to be lost.
    pub(super) fn apply_call(&mut self, d: usize, action: Action, answered: bool, delay: u64) {
        let (budget, event) = match action {
            Action::Read { budget } => {
                let row = self.store.read(&row_key(&budget));
                let row = row.map(|r| (r.version, r.value.try_into().expect("a budget row")));
                (budget.clone(), Some(Event::Row { budget, row }))
            }
            Action::Commit {
                budget,
                expect,
                row,
            } => (
                budget.clone(),
                self.commit_row(d, budget, Precondition::Version(expect), &row),
            ),
            _ => return,
        };
        let event = event.unwrap_or(Event::Conflict { budget });
        if answered {
            self.send_event(d, delay, event);
        }
    }

    /// Commits a budget row, with the checks that the rules in force demand; `None` on a conflict
    /// or seal.
    pub(super) fn commit_row(
        &mut self,
        d: usize,
        id: BudgetId,
        expect: Precondition,
        row: &Row,
    ) -> Option<Event> {
        self.commits += 1;
        if self.daemons[d].sealed && self.rules != Rules::NoFence {
            self.send_event(d, 1, Event::Mode(Mode::Sealed));
            return None;
        }
        let write = Write {
            key: row_key(&id).into(),
            precondition: match self.rules {
                Rules::NoVersion => Precondition::Any,
                _ => expect,
            },
            change: Change::Put(row.into()),
        };
        match self.store.commit(&[write]) {
            CommitOutcome::Applied(versions) => Some(Event::Committed {
                budget: id,
                version: versions[0],
            }),
            CommitOutcome::Conflict { .. } => None,
        }
    }

    /// Takes a log entry at the witness and acknowledges it.
    pub(super) fn log_at_witness(&mut self, d: usize, epoch: u64, action: Action) {
        let daemon = &mut self.daemons[d];
        if daemon.sealed || daemon.epoch != epoch {
            return;
        }
        if !daemon.witness_up {
            // The daemon repeats log entries that are not acknowledged.
            return self.schedule(100, Delivery::Witness(d, epoch, action));
        }
        let event = match action {
            Action::Issue { budget, total } => {
                daemon.issued.insert(budget.clone(), total);
                Event::Issued { budget, total }
            }
            Action::LogTransfer { transfer, sent } => {
                let figure = daemon.sent.entry(transfer.budget).or_default();
                *figure = sent.max(*figure);
                Event::TransferLogged(transfer.id)
            }
            _ => return,
        };
        // Acknowledgements are dropped when the epoch changes, so that none of an earlier one
        // arrives.
        let delay = 1 + self.random_below(20);
        self.schedule(delay, Delivery::Event(d, event));
    }

    /// Commits the bills of finished requests every 2 s, after a seal as a late batch.
    pub(super) fn commit_bills(&mut self, d: usize) {
        if !self.reaches_platform(d) || self.now % 2_000 > 100 {
            return;
        }
        let (inc, sealed) = (self.daemons[d].inc.clone(), self.daemons[d].sealed);
        if sealed && !self.fault_free {
            return;
        }
        for (budget, total) in self.daemons[d].used_tokens.clone() {
            self.bills
                .entry(budget.clone())
                .or_default()
                .insert(inc.clone(), total);
            if sealed {
                let mut row = self.row(&budget);
                let record = SealRecord {
                    billed: total,
                    ..SealRecord::default()
                };
                let late = row.bill_late(&inc, total);
                if late.is_ok()
                    || (late == Err(RowError::NoShare)
                        && !self.daemons[d].stopping
                        && row.seal_or_add_share(&inc, record).is_ok())
                {
                    self.put(&budget, &row);
                }
            } else {
                self.handle(d, Event::Billed { budget, total });
            }
        }
    }

    /// Gives the witness a snapshot of the shares, which starts a new epoch.
    pub(super) fn attach_witness(&mut self, d: usize) {
        let daemon = &mut self.daemons[d];
        daemon.epoch += 1;
        daemon.no_record = false;
        for s in daemon.manager.share_states() {
            daemon.issued.insert(s.budget.clone(), s.issued);
            daemon.sent.insert(s.budget, s.sent);
        }
        // Acknowledgements of the earlier epoch are dropped.
        self.queue.retain(|_, msg| {
            !matches!(msg, Delivery::Event(to, Event::Issued { .. } | Event::TransferLogged(_)) if *to == d)
        });
    }

    /// Seals a daemon: charges its open requests where it cannot run them, bills it, and schedules
    /// the sealing of its shares in the rows.
    pub(super) fn seal_daemon(&mut self, d: usize) {
        let mirrored = self.is_mirrored();
        let daemon = &mut self.daemons[d];
        daemon.sealed = true;
        // An attached daemon sends no request that its witness does not know. A detached one that
        // was only paused can reuse the rest of a bound, so its bounds are charged only after a
        // crash.
        let charges = daemon.crashed || (daemon.mode == Mode::Attached && mirrored);
        for open in daemon.open.iter_mut().filter(|_| charges) {
            open.charged = true;
            *daemon.used_tokens.entry(open.budget.clone()).or_default() += open.held.bound();
        }
        let inc = daemon.inc.clone();
        for (budget, total) in daemon.used_tokens.clone() {
            self.bills
                .entry(budget)
                .or_default()
                .insert(inc.clone(), total);
        }
        for budget in self.budgets.clone() {
            let delay = 1 + self.random_below(2_000);
            self.schedule(delay, Delivery::Settle(d, budget));
        }
        for to in 0..self.daemons.len() {
            self.send_event(to, 1, Event::PeerSealed(inc.clone()));
        }
        self.update_members();
    }

    /// Seals the share of a sealed daemon in the budget row with the witness's record, if it is
    /// valid.
    pub(super) fn seal_share_in_row(&mut self, d: usize, budget: &BudgetId) {
        let daemon = &self.daemons[d];
        let inc = daemon.inc.clone();
        let issued = daemon.issued.get(budget).copied().unwrap_or(0);
        let bills = self.bills.get(budget).and_then(|b| b.get(&inc)).copied();
        let record = SealRecord {
            issued: Some(issued).filter(|_| !daemon.no_record),
            sent: daemon.sent.get(budget).copied().unwrap_or(0),
            billed: bills.unwrap_or(0),
        };
        let removed = record.issued.is_none() && daemon.stopping;
        let mut row = self.row(budget);
        let done = match removed {
            true => row.seal_share(&inc, record),
            false => row.seal_or_add_share(&inc, record),
        };
        if done.is_ok() {
            self.put(budget, &row);
        } else if !removed && record.issued.unwrap_or(record.billed) > 0 {
            // The sender of a transfer has not written it yet.
            self.schedule(5_000, Delivery::Settle(d, budget.clone()));
        }
    }
}
