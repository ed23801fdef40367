//! Transfers of tokens between the shares of two daemons.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    Action, Mode, ShareManager, Transfer, TransferId,
    choice::drawing_daemons,
    slot::{
        HUGE,
        Millis, //
    },
    work::FAILS,
};
use crate::model::{
    BudgetId,
    Code,
    Incarnation,
    Tokens, //
};

/// Time for one drawer to answer before the next one is asked.
const ASK_MS: Millis = 500;
/// How often each drawer is asked before requests are refused. A drawer that contends for the row
/// answers late.
const ASK_ROUNDS: usize = 2;
/// How long a drawer tries to serve a question.
const SERVE_MS: Millis = 2_000;
/// Interval between two sends of an unconfirmed transfer.
const RESEND_MS: Millis = 1_000;

/// A question of another daemon.
#[derive(Debug)]
struct Ask {
    slot: u32,
    from: Incarnation,
    tokens: Tokens,
    until: Millis,
}

/// A transfer that is not confirmed.
#[derive(Debug)]
struct Sending {
    transfer: Transfer,
    total: Tokens,
    logged: bool,
    next: Millis,
}

/// Transfers in progress and the numbers that were seen. There is at most one unconfirmed transfer
/// to a receiver, so one number per sender tells the receiver which transfers are repeated.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    asks: Vec<Ask>,
    sending: BTreeMap<Incarnation, Sending>,
    numbers: HashMap<Incarnation, u64>,
    seen: HashMap<Incarnation, u64>,
}

impl Transfers {
    pub(super) fn next_due(&self) -> Option<Millis> {
        let logged = self.sending.values().filter(|sending| sending.logged);
        logged.map(|sending| sending.next).min()
    }

    /// Whether every transfer was confirmed.
    pub(super) fn is_empty(&self) -> bool {
        self.sending.is_empty()
    }

    pub(super) fn drop_asks(&mut self, slot: u32) {
        self.asks.retain(|ask| ask.slot != slot);
    }

    /// Ends repeating to a sealed incarnation. The tokens stay in transit in the row, because the
    /// receiver may have spent them.
    pub(super) fn forget(&mut self, inc: &Incarnation) {
        self.sending.remove(inc);
        self.asks.retain(|ask| ask.from != *inc);
    }
}

impl ShareManager {
    pub(super) fn on_ask(
        &mut self,
        now: Millis,
        from: Incarnation,
        budget: BudgetId,
        tokens: Tokens,
    ) {
        if self.stopping || matches!(self.mode, Mode::Sealed | Mode::Frozen) {
            return;
        }
        let slot = match self.find(&budget) {
            Some(i) => i,
            None => self.open(now, &budget),
        };
        self.slot(slot).used = now;
        let asks = &mut self.transfers.asks;
        // A repeated question replaces the earlier one.
        asks.retain(|ask| ask.slot != slot || ask.from != from);
        asks.push(Ask {
            slot,
            from,
            tokens: tokens.min(HUGE),
            until: now + SERVE_MS,
        });
        self.mark(slot);
    }

    /// Serves the questions about a budget as far as the share allows.
    pub(super) fn serve(&mut self, now: Millis, i: u32) {
        if self.transfers.asks.is_empty() {
            return;
        }
        let mut asked = 0;
        for ask in std::mem::take(&mut self.transfers.asks) {
            if ask.slot != i {
                self.transfers.asks.push(ask);
                continue;
            }
            let give = self.spare(i).min(ask.tokens);
            let partial = self.mode == Mode::Detached || !self.slot(i).drawer;
            let busy = self.transfers.sending.contains_key(&ask.from);
            if !busy && give > 0 && (partial || give == ask.tokens) {
                self.send(i, ask.from, give);
            } else if now < ask.until {
                asked += ask.tokens;
                self.transfers.asks.push(ask);
            }
        }
        self.slot(i).asked = asked;
    }

    /// Tokens that can be given away now.
    fn spare(&mut self, i: u32) -> Tokens {
        let mode = self.mode;
        let slot = self.slot(i);
        match mode {
            Mode::Attached | Mode::Unpaired => slot.unissued().saturating_sub(slot.need),
            Mode::Detached if slot.need == 0 => slot.spendable() / 2,
            _ => 0,
        }
    }

    fn send(&mut self, i: u32, to: Incarnation, tokens: Tokens) {
        let detached = self.mode == Mode::Detached;
        let number = self.transfers.numbers.entry(to.clone()).or_insert(0);
        *number += 1;
        let id = TransferId {
            from: self.inc.clone(),
            to: to.clone(),
            number: *number,
        };
        let slot = self.slot(i);
        slot.share.sent += tokens;
        if detached {
            slot.issue_all();
        }
        slot.check();
        let (budget, total) = (slot.id.clone(), slot.share.sent);
        let transfer = Transfer { id, budget, tokens };
        self.out.push(Action::LogTransfer {
            transfer: transfer.clone(),
            sent: total,
        });
        let sending = Sending {
            transfer,
            total,
            logged: false,
            next: 0,
        };
        self.transfers.sending.insert(to, sending);
    }

    /// Repeats the log entries that no witness has acknowledged.
    pub(super) fn relog(&mut self) {
        if matches!(self.mode, Mode::Frozen | Mode::Sealed) {
            return;
        }
        let lost = self.transfers.sending.values().filter(|s| !s.logged);
        self.out.extend(lost.map(|sending| Action::LogTransfer {
            transfer: sending.transfer.clone(),
            sent: sending.total,
        }));
    }

    pub(super) fn on_logged(&mut self, now: Millis, id: &TransferId) {
        if self.mode == Mode::Sealed {
            return;
        }
        if let Some(sending) = self.transfers.sending.get_mut(&id.to)
            && sending.transfer.id == *id
            && !sending.logged
        {
            sending.logged = true;
            sending.next = now + RESEND_MS;
            self.out
                .push(Action::SendTransfer(sending.transfer.clone()));
        }
    }

    pub(super) fn resend(&mut self, now: Millis) {
        for sending in self.transfers.sending.values_mut() {
            if sending.logged && sending.next <= now {
                sending.next = now + RESEND_MS;
                self.out
                    .push(Action::SendTransfer(sending.transfer.clone()));
            }
        }
    }

    pub(super) fn on_delivered(&mut self, id: &TransferId) {
        let sending = &mut self.transfers.sending;
        if sending.get(&id.to).is_some_and(|s| s.transfer.id == *id) {
            sending.remove(&id.to);
            let waiting: Vec<u32> = self.transfers.asks.iter().map(|ask| ask.slot).collect();
            waiting.into_iter().for_each(|i| self.mark(i));
        }
    }

    pub(super) fn on_received(&mut self, now: Millis, transfer: Transfer) {
        if transfer.id.to != self.inc || self.mode == Mode::Sealed {
            return;
        }
        let last = self.transfers.seen.entry(transfer.id.from.clone());
        let last = last.or_insert(0);
        if transfer.id.number > *last {
            *last = transfer.id.number;
            let i = match self.find(&transfer.budget) {
                Some(i) => i,
                None => self.open(now, &transfer.budget),
            };
            let slot = self.slot(i);
            slot.share.received += transfer.tokens;
            slot.ask_at = 0;
            slot.asks = 0;
            slot.dry = 0;
            slot.dry_until = 0;
            self.mark(i);
        }
        self.out.push(Action::ConfirmTransfer(transfer.id));
    }

    /// Asks the next drawer for the missing tokens; refuses when all were asked.
    pub(super) fn ask(&mut self, now: Millis, i: u32) {
        let (inc, mode) = (self.inc.clone(), self.mode);
        let slot = self.slot(i);
        if now < slot.ask_at || now < slot.dry_until || mode == Mode::Frozen {
            return;
        }
        let (budget, turn) = (slot.id.clone(), usize::from(slot.asks));
        let (far, lost) = (slot.far.clone(), slot.fails >= FAILS);
        let mut holders = drawing_daemons(&budget, &self.members);
        holders.retain(|holder| *holder != inc);
        if !self.online() {
            let far = far.into_iter().filter(|holder| !holders.contains(holder));
            holders.extend(far.collect::<Vec<_>>());
        }
        let mut rounds = std::iter::repeat_n(holders, ASK_ROUNDS).flatten();
        let Some(to) = rounds.nth(turn) else {
            self.slot(i).asks = 0;
            let code = match self.online() && !lost {
                true => Code::BudgetExhausted,
                false => Code::BudgetUnavailable,
            };
            return self.refuse(now, i, code);
        };
        let slot = self.slot(i);
        slot.asks += 1;
        slot.ask_at = now + ASK_MS;
        let missing = slot.need.max(slot.want(mode)) - slot.avail();
        self.out.push(Action::Ask {
            to,
            budget,
            tokens: missing,
        });
    }
}
