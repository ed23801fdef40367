//! What the share manager does when others report about a budget or about the daemon's mode.

use super::{
    Action,
    Mode,
    ShareManager,
    budget_state::Removal, //
};
use crate::model::Tokens;

impl ShareManager {
    /// Handles the witness's acknowledgement of issued tokens.
    pub(super) fn on_issued(&mut self, budget: &str, total: Tokens) {
        let Some(i) = self.find(budget).filter(|_| self.mode != Mode::Sealed) else {
            return;
        };
        let slot = self.slot(i);
        if total == 0 && slot.removal == Removal::Proposed {
            slot.mark_removal_logged();
            self.enqueue(i);
        } else if slot.acknowledge(total) {
            self.enqueue(i);
        }
    }

    /// Takes over the total of the committed bills.
    pub(super) fn on_billed(&mut self, budget: &str, total: Tokens) {
        let Some(i) = self.find(budget) else { return };
        let slot = self.slot(i);
        if slot.return_unspent {
            return;
        }
        slot.share.billed = slot.share.billed.max(total);
        assert!(slot.share.billed <= slot.spent, "billed <= spent");
        if self.stopping {
            self.enqueue(i);
        }
    }

    /// Handles a message that the budget is short: the row is read, and spare tokens are returned.
    pub(super) fn on_short(&mut self, budget: &str) {
        if let Some(i) = self.find(budget) {
            let slot = self.slot(i);
            if slot.available() > 0 {
                slot.needs_read = true;
                slot.peer_short = true;
                self.enqueue(i);
            }
        }
    }

    /// Changes the mode, and logs again what the new mode needs at the witness. `Sealed` is final.
    pub(super) fn on_mode(&mut self, mode: Mode) {
        if self.mode == Mode::Sealed {
            return;
        }
        self.mode = mode;
        for slot in self.slots.iter_mut().flatten() {
            slot.next_ask = 0;
            slot.ask_count = 0;
            if !matches!(mode, Mode::Frozen | Mode::Sealed) {
                slot.retry_at = 0;
            }
            // Detaching issues the whole share again, and a new witness has not seen the log entry.
            slot.removal = Removal::No;
            let Some(total) = slot.proposed_issue else {
                continue;
            };
            let budget = slot.id.clone();
            match mode {
                Mode::Attached => self.out.push(Action::Issue { budget, total }),
                Mode::Detached => slot.issue_all(),
                Mode::Unpaired => {
                    slot.acknowledge(total);
                }
                Mode::Frozen | Mode::Sealed => {}
            }
        }
        self.repeat_logs();
        self.enqueue_all();
    }
}
