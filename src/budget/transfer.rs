//! Transfers of tokens between the shares of two daemons.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    Action, Mode, ShareManager, Transfer, TransferId,
    budget_state::{
        MAX_TOKENS,
        Millis, //
    },
    selection::drawing_daemons,
    share_work::MAX_FAILURES,
};
use crate::model::{
    BudgetId,
    Code,
    Incarnation,
    Tokens, //
};

/// Time for one daemon to answer before the next one is asked.
const ASK_TIMEOUT_MS: Millis = 500;
/// How often each daemon is asked before requests are refused. A daemon whose commits of the row
/// conflict with others answers late.
const ASK_ROUNDS: usize = 2;
/// Time for which a daemon tries to send another one the tokens that it asked for.
const SERVE_TIMEOUT_MS: Millis = 2_000;
/// Interval at which an unconfirmed transfer is sent again.
const RESEND_INTERVAL_MS: Millis = 1_000;

/// Tokens that another daemon has asked for and not got yet.
#[derive(Debug)]
struct PendingAsk {
    slot: u32,
    from: Incarnation,
    tokens: Tokens,
    expires_at: Millis,
}

/// A sent transfer that its receiver has not confirmed.
#[derive(Debug)]
struct OutgoingTransfer {
    transfer: Transfer,
    /// Tokens that the share has sent, cumulative, including this transfer.
    sent_total: Tokens,
    /// The witness has acknowledged the transfer, or none is needed; only then it is sent.
    logged: bool,
    resend_at: Millis,
}

/// Transfers in progress and the transfer numbers that were used. There is at most one unconfirmed
/// transfer to a receiver, so the last number of each sender tells the receiver which transfers are
/// repeated.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    asks: Vec<PendingAsk>,
    outgoing: BTreeMap<Incarnation, OutgoingTransfer>,
    /// Number of the last transfer to each receiver.
    last_sent: HashMap<Incarnation, u64>,
    /// Number of the last transfer from each sender.
    last_received: HashMap<Incarnation, u64>,
}

impl Transfers {
    /// When the next transfer has to be sent again.
    pub(super) fn next_due(&self) -> Option<Millis> {
        let logged = self.outgoing.values().filter(|sending| sending.logged);
        logged.map(|sending| sending.resend_at).min()
    }

    /// Whether every transfer was confirmed.
    pub(super) fn is_empty(&self) -> bool {
        self.outgoing.is_empty()
    }

    /// Drops the pending asks for tokens of the budget in `slot`.
    pub(super) fn drop_asks(&mut self, slot: u32) {
        self.asks.retain(|ask| ask.slot != slot);
    }

    /// Drops the transfers to a sealed incarnation and its pending asks. The tokens stay in transit
    /// in the row, because the receiver may have spent them.
    pub(super) fn forget_peer(&mut self, inc: &Incarnation) {
        self.outgoing.remove(inc);
        self.asks.retain(|ask| ask.from != *inc);
    }
}

impl ShareManager {
    /// Records that another daemon asks for tokens.
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
            None => self.open_slot(now, &budget),
        };
        self.slot(slot).last_used = now;
        let asks = &mut self.transfers.asks;
        // A repeated ask replaces the earlier one.
        asks.retain(|ask| ask.slot != slot || ask.from != from);
        asks.push(PendingAsk {
            slot,
            from,
            tokens: tokens.min(MAX_TOKENS),
            expires_at: now + SERVE_TIMEOUT_MS,
        });
        self.enqueue(slot);
    }

    /// Sends tokens of a budget to the daemons that asked for them, as far as the share can spare
    /// them.
    pub(super) fn serve_asks(&mut self, now: Millis, i: u32) {
        if self.transfers.asks.is_empty() {
            return;
        }
        let mut asked = 0;
        for ask in std::mem::take(&mut self.transfers.asks) {
            if ask.slot != i {
                self.transfers.asks.push(ask);
                continue;
            }
            let give = self.spare_tokens(i).min(ask.tokens);
            let partial = self.mode == Mode::Detached || !self.slot(i).may_draw;
            let busy = self.transfers.outgoing.contains_key(&ask.from);
            if !busy && give > 0 && (partial || give == ask.tokens) {
                self.send_transfer(i, ask.from, give);
            } else if now < ask.expires_at {
                asked += ask.tokens;
                self.transfers.asks.push(ask);
            }
        }
        self.slot(i).asked_tokens = asked;
    }

    /// Tokens of the share that can be sent to another daemon now.
    fn spare_tokens(&mut self, i: u32) -> Tokens {
        let mode = self.mode;
        let slot = self.slot(i);
        match mode {
            Mode::Attached | Mode::Unpaired => slot.unissued().saturating_sub(slot.waiting_tokens),
            Mode::Detached if slot.waiting_tokens == 0 => slot.spendable() / 2,
            _ => 0,
        }
    }

    /// Takes `tokens` out of the share and logs their transfer at the witness; it is sent once
    /// logged.
    fn send_transfer(&mut self, i: u32, to: Incarnation, tokens: Tokens) {
        let detached = self.mode == Mode::Detached;
        let number = self.transfers.last_sent.entry(to.clone()).or_insert(0);
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
        slot.assert_invariants();
        let (budget, total) = (slot.id.clone(), slot.share.sent);
        let transfer = Transfer { id, budget, tokens };
        self.out.push(Action::LogTransfer {
            transfer: transfer.clone(),
            sent: total,
        });
        let sending = OutgoingTransfer {
            transfer,
            sent_total: total,
            logged: false,
            resend_at: 0,
        };
        self.transfers.outgoing.insert(to, sending);
    }

    /// Logs the transfers again that no witness has acknowledged.
    pub(super) fn repeat_logs(&mut self) {
        if matches!(self.mode, Mode::Frozen | Mode::Sealed) {
            return;
        }
        let lost = self.transfers.outgoing.values().filter(|s| !s.logged);
        self.out.extend(lost.map(|sending| Action::LogTransfer {
            transfer: sending.transfer.clone(),
            sent: sending.sent_total,
        }));
    }

    /// Sends a transfer that the witness has logged.
    pub(super) fn on_logged(&mut self, now: Millis, id: &TransferId) {
        if self.mode == Mode::Sealed {
            return;
        }
        if let Some(sending) = self.transfers.outgoing.get_mut(&id.to)
            && sending.transfer.id == *id
            && !sending.logged
        {
            sending.logged = true;
            sending.resend_at = now + RESEND_INTERVAL_MS;
            self.out
                .push(Action::SendTransfer(sending.transfer.clone()));
        }
    }

    /// Sends the unconfirmed transfers again that are due.
    pub(super) fn resend_due(&mut self, now: Millis) {
        for sending in self.transfers.outgoing.values_mut() {
            if sending.logged && sending.resend_at <= now {
                sending.resend_at = now + RESEND_INTERVAL_MS;
                self.out
                    .push(Action::SendTransfer(sending.transfer.clone()));
            }
        }
    }

    /// Ends a transfer that its receiver has confirmed, and serves the pending asks that waited for
    /// it.
    pub(super) fn on_delivered(&mut self, id: &TransferId) {
        let sending = &mut self.transfers.outgoing;
        if sending.get(&id.to).is_some_and(|s| s.transfer.id == *id) {
            sending.remove(&id.to);
            let waiting: Vec<u32> = self.transfers.asks.iter().map(|ask| ask.slot).collect();
            waiting.into_iter().for_each(|i| self.enqueue(i));
        }
    }

    /// Adds the tokens of a transfer to the share, unless it is a repeated one, and confirms it.
    pub(super) fn on_received(&mut self, now: Millis, transfer: Transfer) {
        if transfer.id.to != self.inc || self.mode == Mode::Sealed {
            return;
        }
        let last = self.transfers.last_received.entry(transfer.id.from.clone());
        let last = last.or_insert(0);
        if transfer.id.number > *last {
            *last = transfer.id.number;
            let i = match self.find(&transfer.budget) {
                Some(i) => i,
                None => self.open_slot(now, &transfer.budget),
            };
            let slot = self.slot(i);
            slot.share.received += transfer.tokens;
            slot.next_ask = 0;
            slot.ask_count = 0;
            slot.refusals = 0;
            slot.refuse_until = 0;
            self.enqueue(i);
        }
        self.out.push(Action::ConfirmTransfer(transfer.id));
    }

    /// Asks the next daemon for the missing tokens; refuses the waiting requests when all were
    /// asked.
    pub(super) fn ask_next(&mut self, now: Millis, i: u32) {
        let (inc, mode) = (self.inc.clone(), self.mode);
        let slot = self.slot(i);
        if now < slot.next_ask || now < slot.refuse_until || mode == Mode::Frozen {
            return;
        }
        let (budget, turn) = (slot.id.clone(), usize::from(slot.ask_count));
        let (far, lost) = (slot.remote_holders.clone(), slot.failures >= MAX_FAILURES);
        let mut holders = drawing_daemons(&budget, &self.members);
        holders.retain(|holder| *holder != inc);
        if !self.is_online() {
            let far = far.into_iter().filter(|holder| !holders.contains(holder));
            holders.extend(far.collect::<Vec<_>>());
        }
        let mut rounds = std::iter::repeat_n(holders, ASK_ROUNDS).flatten();
        let Some(to) = rounds.nth(turn) else {
            self.slot(i).ask_count = 0;
            let code = match self.is_online() && !lost {
                true => Code::BudgetExhausted,
                false => Code::BudgetUnavailable,
            };
            return self.refuse_waiting(now, i, code);
        };
        let slot = self.slot(i);
        slot.ask_count += 1;
        slot.next_ask = now + ASK_TIMEOUT_MS;
        let missing = slot.waiting_tokens.max(slot.target_size(mode)) - slot.available();
        self.out.push(Action::Ask {
            to,
            budget,
            tokens: missing,
        });
    }
}
