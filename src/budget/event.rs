//! Events and actions of the share manager, and its answers to reservations.

use super::Row;
use crate::{
    model::{
        BudgetId,
        Incarnation,
        RequestError,
        Tokens,
        Version, //
    },
    store::StoreError,
};

/// What the share manager may do, depending on which of witness and platform it reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    /// The platform answers, and tokens are issued once the witness has acknowledged them.
    Attached,
    /// The platform does not answer, and the witness acknowledged `Detach`.
    Detached,
    /// No other daemon can be the witness; tokens are issued without an acknowledgement.
    Unpaired,
    /// Witness and platform are both lost; nothing is admitted.
    Frozen,
    /// The incarnation's fence row is sealed; nothing is admitted and nothing is written.
    Sealed,
}

/// Tokens reserved for an admitted request. It ends with
/// [`ShareManager::settle`](super::ShareManager::settle).
#[must_use = "a reservation that is not settled is never freed"]
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    pub(super) slot: u32,
    pub(super) bound: Tokens,
}

impl Reservation {
    /// Largest number of tokens that the request may spend.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Event, Mode, ReserveOutcome, ShareManager, Transfer, TransferId};
    /// use std::time::Duration;
    ///
    /// let mut manager = ShareManager::start("vm-1.0a".into(), 7);
    /// manager.handle(Duration::ZERO, Event::Mode(Mode::Detached));
    /// let id = TransferId { from: "vm-2.0b".into(), to: "vm-1.0a".into(), number: 1 };
    /// let transfer = Transfer { id, budget: "chat".into(), tokens: 100 };
    /// manager.handle(Duration::ZERO, Event::TransferReceived(transfer));
    /// manager.poll(Duration::ZERO);
    /// let ReserveOutcome::Held(held) = manager.reserve(Duration::ZERO, &"chat".into(), 60) else {
    ///     panic!("100 tokens are issued");
    /// };
    /// assert_eq!(held.bound(), 60);
    /// ```
    pub fn bound(&self) -> Tokens {
        self.bound
    }
}

/// Answer of [`ShareManager::reserve`](super::ShareManager::reserve).
#[derive(Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Held(Reservation),
    /// Tokens may become available soon; reserve again after [`Action::Retry`].
    Wait,
    /// The request is refused and has not run.
    Refused(RequestError),
}

/// Identifies a transfer. Numbers increase for each pair of incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TransferId {
    /// Sender.
    pub from: Incarnation,
    /// Receiver.
    pub to: Incarnation,
    /// Number of the transfer between the two, from 1.
    pub number: u64,
}

/// Tokens that move from one share to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Identifies the transfer.
    pub id: TransferId,
    /// Budget of both shares.
    pub budget: BudgetId,
    /// Number of tokens.
    pub tokens: Tokens,
}

/// Input of [`ShareManager::handle`](super::ShareManager::handle). Each [`Action::Read`] and each
/// [`Action::Commit`] is answered by exactly one event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Answer to [`Action::Read`].
    Row {
        /// Budget that was read.
        budget: BudgetId,
        /// Version and content; `None` when there is no such row.
        row: Option<(Version, Row)>,
    },
    /// The commit was applied.
    Committed {
        /// Budget that was written.
        budget: BudgetId,
        /// New version of the row.
        version: Version,
    },
    /// The commit was not applied, because the row has another version.
    Conflict {
        /// Budget that was not written.
        budget: BudgetId,
    },
    /// A read or a commit failed or was not answered.
    Failed {
        /// Budget of the read or commit.
        budget: BudgetId,
        /// Whether it may have been applied.
        fault: StoreError,
    },
    /// The witness acknowledged [`Action::Issue`].
    Issued {
        /// Budget of the issue.
        budget: BudgetId,
        /// Issued tokens that were acknowledged, cumulative.
        total: Tokens,
    },
    /// The mode changed, or the witness was replaced in the same mode; issues and transfers that no
    /// witness has acknowledged are logged again. On `Detached` the witness has acknowledged the
    /// detachment; on `Attached` it has the snapshot of [`ShareState`]s.
    Mode(Mode),
    /// BilledTokens of the budget were committed.
    Billed {
        /// Budget that the bills charge.
        budget: BudgetId,
        /// Tokens of all committed bills of this incarnation, cumulative.
        total: Tokens,
    },
    /// The row has too few free tokens for another daemon, or an operator lowered the limit.
    Short {
        /// Budget that is short.
        budget: BudgetId,
    },
    /// Another daemon asks for a transfer.
    Ask {
        /// Incarnation that asks for tokens.
        from: Incarnation,
        /// Budget that it needs.
        budget: BudgetId,
        /// Number of tokens that it asks for.
        tokens: Tokens,
    },
    /// The witness acknowledged [`Action::LogTransfer`]. In `Detached` and `Unpaired` the event
    /// comes at once, without a witness.
    TransferLogged(TransferId),
    /// A transfer to this incarnation arrived.
    TransferReceived(Transfer),
    /// The receiver confirmed a transfer.
    TransferConfirmed(TransferId),
    /// Live incarnations of the data centre, including this one.
    Members(Vec<Incarnation>),
    /// Another incarnation was sealed; transfers to it are no longer resent.
    PeerSealed(Incarnation),
    /// A planned stop began: refuse new requests, return and remove all shares.
    Stop,
}

/// Output of [`ShareManager::poll`](super::ShareManager::poll), to be carried out by its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the budget row.
    Read {
        /// Budget to read.
        budget: BudgetId,
    },
    /// Replace the budget row. The same commit must check that the fence row is unsealed.
    Commit {
        /// Budget to write.
        budget: BudgetId,
        /// Version that the row must have.
        expect: Version,
        /// New content.
        row: Row,
    },
    /// Log the issued tokens at the witness. `total` is lower than the last one before a return,
    /// and 0 before a planned stop removes the share. Each budget has at most one unacknowledged
    /// issue; it is repeated after [`Event::Mode`].
    Issue {
        /// Budget of the share.
        budget: BudgetId,
        /// Tokens of the share that the daemon may spend, cumulative.
        total: Tokens,
    },
    /// Tell the daemons with outstanding tokens that the budget is short.
    Short {
        /// Budget that is short.
        budget: BudgetId,
        /// Incarnations with outstanding tokens.
        to: Vec<Incarnation>,
    },
    /// Ask another daemon for tokens.
    Ask {
        /// Incarnation to ask.
        to: Incarnation,
        /// Budget that is needed.
        budget: BudgetId,
        /// Number of tokens to ask for.
        tokens: Tokens,
    },
    /// Log a transfer at the witness before it is sent.
    LogTransfer {
        /// The transfer.
        transfer: Transfer,
        /// Tokens that the share has sent, cumulative, including this transfer.
        sent: Tokens,
    },
    /// Send a transfer to its receiver; repeated until [`Event::TransferConfirmed`].
    SendTransfer(Transfer),
    /// Confirm to the sender that a transfer was received.
    ConfirmTransfer(TransferId),
    /// Reserve again for the waiting requests of this budget.
    Retry {
        /// Budget whose state changed.
        budget: BudgetId,
    },
    /// A budget row shows that this incarnation is sealed.
    Sealed,
}

/// Token counts of a share in memory, cumulative over its incarnation, except `reserved`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareState {
    /// Budget of the share.
    pub budget: BudgetId,
    /// Incarnation of the share.
    pub inc: Incarnation,
    /// Highest issued count that the witness may know; part of the snapshot for a new witness.
    pub issued: Tokens,
    /// Tokens of finished requests.
    pub spent: Tokens,
    /// Tokens reserved by open requests.
    pub reserved: Tokens,
    /// Tokens of committed bills.
    pub billed: Tokens,
    /// Tokens transferred to other shares.
    pub sent: Tokens,
    /// Tokens transferred from other shares.
    pub received: Tokens,
}
