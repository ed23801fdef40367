//! Bills of finished requests, their batches, the ledger row and late batches.

mod state;
mod sum;
mod writer;

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

use crate::{
    model::{
        BudgetId,
        CustomerId,
        ProfileId,
        Seq,
        Tokens,
        Verdict, //
    },
    wire::bill as wire,
};

pub use state::BillState;
pub(crate) use state::add_billed;
pub use sum::sum_bills;
pub(crate) use writer::{
    BillWriter, //
    WriterStep,
};

/// Charge for one finished request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Number of the request in its incarnation.
    pub seq: Seq,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Budget that pays.
    pub budget: BudgetId,
    /// Profile of the request.
    pub profile: ProfileId,
    /// Tokens charged.
    pub tokens: Tokens,
    /// Whether the request ran.
    pub verdict: Verdict,
}

/// A request that has been admitted and has not finished.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Budget that pays.
    pub budget: BudgetId,
    /// Profile of the request.
    pub profile: ProfileId,
    /// Upper bound of the tokens that it can consume.
    pub bound: Tokens,
}

impl OpenRequest {
    pub(crate) fn bill(&self, seq: Seq, tokens: Tokens, verdict: Verdict) -> Bill {
        Bill {
            seq,
            customer: self.customer.clone(),
            budget: self.budget.clone(),
            profile: self.profile.clone(),
            tokens,
            verdict,
        }
    }
}

/// Row that says which bill objects of an incarnation count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Number of regular batches that count.
    pub batches: u64,
    /// Number of late batches that count.
    pub late: u64,
}

impl Ledger {
    /// Reads a ledger row; `None` when it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::bill::Ledger;
    /// let ledger = Ledger { batches: 3, late: 1 };
    /// assert_eq!(Ledger::from_value(&ledger.to_value()), Some(ledger));
    /// ```
    pub fn from_value(value: &Value) -> Option<Self> {
        let row: wire::Ledger = serde_json::from_value(value.clone()).ok()?;
        Some(Self {
            batches: row.batches,
            late: row.late,
        })
    }

    /// Content of the row.
    ///
    /// # Examples
    ///
    /// ```
    /// let value = cuminloom::bill::Ledger::default().to_value();
    /// assert_eq!(value["batches"], 0);
    /// ```
    pub fn to_value(self) -> Value {
        serde_json::to_value(wire::Ledger {
            batches: self.batches,
            late: self.late,
        })
        .expect("wire types have string keys")
    }
}

/// Figures of one share at the seal, in tokens, cumulative over the incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Issued tokens.
    pub issued: Tokens,
    /// Tokens logged as sent to other daemons.
    pub sent: Tokens,
    /// Tokens of all bills that count after the seal.
    pub billed: Tokens,
}

/// Final account of a sealed incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seal {
    /// Batches that count.
    pub batches: u64,
    /// Whether the sealer had a record of the incarnation.
    pub known: bool,
    /// Whether the incarnation had issued its whole shares to itself.
    pub detached: bool,
    /// Uncommitted bills, and open requests charged at their bound.
    pub bills: Vec<Bill>,
    /// Figures of each share; without a record only what is billed.
    pub accounts: BTreeMap<BudgetId, Account>,
}

fn bill_to(bill: &Bill) -> wire::Bill {
    wire::Bill {
        seq: bill.seq,
        customer: bill.customer.to_string(),
        budget: bill.budget.to_string(),
        profile: bill.profile.to_string(),
        tokens: bill.tokens,
        verdict: match bill.verdict {
            Verdict::NotRun => wire::Verdict::NotRun,
            Verdict::MayHaveRun => wire::Verdict::MayHaveRun,
            Verdict::Ran => wire::Verdict::Ran,
        },
    }
}

fn bill_from(bill: wire::Bill) -> Bill {
    Bill {
        seq: bill.seq,
        customer: bill.customer.into(),
        budget: bill.budget.into(),
        profile: bill.profile.into(),
        tokens: bill.tokens,
        verdict: match bill.verdict {
            wire::Verdict::NotRun => Verdict::NotRun,
            wire::Verdict::MayHaveRun => Verdict::MayHaveRun,
            wire::Verdict::Ran => Verdict::Ran,
        },
    }
}

/// Content of a batch object.
///
/// # Examples
///
/// ```
/// use cuminloom::bill::{decode_batch, encode_batch};
/// assert_eq!(decode_batch(&encode_batch(&[])), Some(Vec::new()));
/// ```
pub fn encode_batch(bills: &[Bill]) -> Vec<u8> {
    let batch = wire::Batch {
        bills: bills.iter().map(bill_to).collect(),
    };
    serde_json::to_vec(&batch).expect("wire types have string keys")
}

/// Reads a batch object; `None` when it is malformed.
///
/// # Examples
///
/// ```
/// assert_eq!(cuminloom::bill::decode_batch(b"{"), None);
/// ```
pub fn decode_batch(body: &[u8]) -> Option<Vec<Bill>> {
    let batch: wire::Batch = serde_json::from_slice(body).ok()?;
    Some(batch.bills.into_iter().map(bill_from).collect())
}

impl Seal {
    /// Content of the seal object.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::bill::Seal;
    /// let seal = Seal { batches: 2, ..Seal::default() };
    /// assert_eq!(Seal::decode(&seal.encode()), Some(seal));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let seal = wire::Seal {
            batches: self.batches,
            known: self.known,
            detached: self.detached,
            bills: self.bills.iter().map(bill_to).collect(),
            accounts: self
                .accounts
                .iter()
                .map(|(budget, account)| wire::Account {
                    budget: budget.to_string(),
                    issued: account.issued,
                    sent: account.sent,
                    billed: account.billed,
                })
                .collect(),
        };
        serde_json::to_vec(&seal).expect("wire types have string keys")
    }

    /// Reads a seal object; `None` when it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::bill::Seal::decode(b"[]"), None);
    /// ```
    pub fn decode(body: &[u8]) -> Option<Self> {
        let seal: wire::Seal = serde_json::from_slice(body).ok()?;
        Some(Self {
            batches: seal.batches,
            known: seal.known,
            detached: seal.detached,
            bills: seal.bills.into_iter().map(bill_from).collect(),
            accounts: seal
                .accounts
                .into_iter()
                .map(|a| {
                    let account = Account {
                        issued: a.issued,
                        sent: a.sent,
                        billed: a.billed,
                    };
                    (a.budget.into(), account)
                })
                .collect(),
        })
    }
}
