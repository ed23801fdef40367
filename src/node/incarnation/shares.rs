//! Runs the actions of an incarnation's budget shares, and releases what waits for the witness.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use super::{
    IncarnationState,
    Requester,
    Waiter, //
};
use crate::{
    budget::{
        self,
        Mode,
        Row, //
    },
    mirror::{
        Message,
        Op,
        StoreReply,
        StoreRequest,
        fence_key, //
    },
    model::{
        BudgetId,
        Tokens,
        Version, //
    },
    node::Action,
    store::{
        Change as Put,
        CommitOutcome,
        Precondition,
        StoreError,
        Write, //
    },
};

impl IncarnationState {
    /// Releases what has been acknowledged and runs the actions of the budget shares, until neither is
    /// left.
    pub(super) fn poll_shares(&mut self, now: Duration) {
        loop {
            let released = self.release_waiters(now);
            let actions = self.shares.poll(now);
            if !released && actions.is_empty() {
                return;
            }
            for action in actions {
                self.run_share_action(now, action);
            }
        }
    }

    /// Runs the waiters whose operations have been acknowledged; returns whether there were any.
    pub(super) fn release_waiters(&mut self, now: Duration) -> bool {
        if self.mode == Mode::Sealed {
            return false;
        }
        let counted = self.primary.last_counted();
        let later = self.waiters.split_off(&(counted + 1));
        let released = std::mem::replace(&mut self.waiters, later);
        let any = !released.is_empty();
        for waiter in released.into_values().flatten() {
            match waiter {
                Waiter::Ready(seq) => self.set_ready(seq),
                Waiter::Issued(budget, total) => {
                    self.handle_share_event(now, budget::Event::Issued { budget, total });
                }
                Waiter::Logged(id) => {
                    self.handle_share_event(now, budget::Event::TransferLogged(id))
                }
                Waiter::Commit(budget, expect, row) => self.send_commit(now, budget, expect, &row),
            }
        }
        any
    }

    /// Runs one action of the budget shares.
    pub(super) fn run_share_action(&mut self, now: Duration, action: budget::Action) {
        match action {
            budget::Action::Read { budget } => {
                let request = StoreRequest::Read(format!("budget/{budget}").into());
                self.push_request(Requester::Shares(budget), request);
            }
            budget::Action::Commit {
                budget,
                expect,
                row,
            } => self.commit_announced(now, budget, expect, row),
            budget::Action::Issue { budget, total } => self.issue(now, budget, total),
            budget::Action::LogTransfer { transfer, sent } => {
                let budget = transfer.budget;
                let op = Op::Sent {
                    budget,
                    total: sent,
                };
                let number = self.primary.append(now, op);
                self.wait_for_ack(number, Waiter::Logged(transfer.id));
            }
            budget::Action::Retry { budget } => self.actions.push(Action::Retry { budget }),
            budget::Action::Sealed => self.probe_at = now,
            budget::Action::Short { budget, to } => {
                for to in to {
                    let budget = budget.clone();
                    self.send(to, Message::Short { budget });
                }
            }
            budget::Action::Ask { to, budget, tokens } => {
                self.send(to, Message::Ask { budget, tokens });
            }
            budget::Action::SendTransfer(transfer) => self.send(
                transfer.id.to.clone(),
                Message::Transfer {
                    to: transfer.id.to,
                    id: transfer.id.number,
                    budget: transfer.budget,
                    tokens: transfer.tokens,
                },
            ),
            budget::Action::ConfirmTransfer(id) => self.send(
                id.from.clone(),
                Message::TransferAck {
                    from: id.from,
                    id: id.number,
                },
            ),
        }
    }

    /// Mirrors the total issued from a share, and waits until it is acknowledged.
    pub(super) fn issue(&mut self, now: Duration, budget: BudgetId, total: Tokens) {
        let op = Op::Issue {
            budget: budget.clone(),
            total,
        };
        let number = self.primary.append(now, op);
        self.known_budgets.entry(budget.clone()).or_insert(number);
        self.wait_for_ack(number, Waiter::Issued(budget, total));
    }

    /// Writes a budget row once the witness knows of the budget.
    pub(super) fn commit_announced(
        &mut self,
        now: Duration,
        budget: BudgetId,
        expect: Version,
        row: Row,
    ) {
        if !self.known_budgets.contains_key(&budget) {
            let op = Op::Issue {
                budget: budget.clone(),
                total: 0,
            };
            let number = self.primary.append(now, op);
            self.known_budgets.insert(budget.clone(), number);
        }
        let number = self.known_budgets[&budget];
        self.wait_for_ack(number, Waiter::Commit(budget, expect, row));
    }

    /// Writes a budget row on condition that the own fence row has not changed.
    pub(super) fn send_commit(
        &mut self,
        now: Duration,
        budget: BudgetId,
        expect: Version,
        row: &Row,
    ) {
        let Some(version) = self.primary.version() else {
            let fault = StoreError::Unavailable;
            return self.handle_share_event(now, budget::Event::Failed { budget, fault });
        };
        let key: Arc<str> = format!("budget/{budget}").into();
        let writes = vec![
            Write {
                key,
                precondition: Precondition::Version(expect),
                change: Put::Put(row.into()),
            },
            Write {
                key: fence_key(&self.inc),
                precondition: Precondition::Version(version),
                change: Put::Check,
            },
        ];
        self.push_request(Requester::Shares(budget), StoreRequest::Commit(writes));
    }

    /// Issued totals for a snapshot. The snapshot replaces the log entries before it, so it holds the
    /// totals that still wait for the witness.
    pub(super) fn issued_totals(&self) -> BTreeMap<BudgetId, Tokens> {
        let states = self.shares.share_states();
        let mut issued: BTreeMap<_, _> = states.map(|s| (s.budget, s.issued)).collect();
        for waiter in self.waiters.values().flatten() {
            if let Waiter::Issued(budget, total) = waiter {
                issued.insert(budget.clone(), *total);
            }
        }
        issued
    }

    /// Passes the reply to a read or write of a budget row to the budget shares.
    pub(super) fn handle_share_reply(
        &mut self,
        now: Duration,
        budget: BudgetId,
        reply: StoreReply,
    ) {
        let event = match reply {
            StoreReply::Row(row) => {
                let row = row.and_then(|row| Some((row.version, Row::try_from(row.value).ok()?)));
                budget::Event::Row { budget, row }
            }
            StoreReply::Commit(CommitOutcome::Applied(versions)) => budget::Event::Committed {
                budget,
                version: versions[0],
            },
            StoreReply::Commit(CommitOutcome::Conflict { key, row }) => {
                if key == fence_key(&self.inc) {
                    self.primary.observe_row(now, row.as_ref());
                }
                budget::Event::Conflict { budget }
            }
            StoreReply::Failed(fault) => budget::Event::Failed { budget, fault },
            reply => panic!("reply {reply:?} is not one to a budget row operation"),
        };
        self.handle_share_event(now, event);
    }
}
