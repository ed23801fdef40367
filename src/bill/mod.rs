//! Billing: bills of finished requests, the batch objects that hold them, and the ledger row that
//! says which batches count.
//!
//! An incarnation is one start of a daemon. When it is sealed, a seal object lists its final bills;
//! requests that finish after that are billed in late batches.

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
    BillWriter,
    WriterStep, //
};

/// Charge for a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Sequence number of the request in its incarnation.
    pub seq: Seq,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Profile of the request.
    pub profile: ProfileId,
    /// Charged tokens.
    pub tokens: Tokens,
    /// Whether the request ran.
    pub verdict: Verdict,
}

/// A request that was admitted and has not finished.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Profile of the request.
    pub profile: ProfileId,
    /// Maximum number of tokens that it can consume.
    pub bound: Tokens,
}

impl OpenRequest {
    /// Returns the bill of the finished request.
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

/// Ledger row: says which batch objects of an incarnation count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Number of regular batches that count, from the first.
    pub batches: u64,
    /// Number of late batches that count, from the first.
    pub late: u64,
}

impl Ledger {
    /// Decodes a ledger row; returns `None` if it is malformed.
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

    /// Encodes the row.
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

/// Account of one budget share at the seal, in tokens, cumulative over the incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Tokens issued to the share.
    pub issued: Tokens,
    /// Tokens logged as sent to other daemons.
    pub sent: Tokens,
    /// Tokens of all bills that count, including those in the seal.
    pub billed: Tokens,
}

/// Seal object: final bills and accounts of a sealed incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seal {
    /// Number of regular batches that count.
    pub batches: u64,
    /// Whether the sealer had the replicated state of the incarnation.
    pub known: bool,
    /// Whether the incarnation had issued its whole shares to itself.
    pub detached: bool,
    /// Uncommitted bills, and open requests charged at their bound.
    pub bills: Vec<Bill>,
    /// Account of each share; without the replicated state, only the billed tokens.
    pub accounts: BTreeMap<BudgetId, Account>,
}

/// Converts a bill to its wire type.
fn bill_to_wire(bill: &Bill) -> wire::Bill {
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

/// Converts a bill from its wire type.
fn bill_from_wire(bill: wire::Bill) -> Bill {
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

/// Encodes a batch object.
///
/// # Examples
///
/// ```
/// use cuminloom::bill::{decode_batch, encode_batch};
/// assert_eq!(decode_batch(&encode_batch(&[])), Some(Vec::new()));
/// ```
pub fn encode_batch(bills: &[Bill]) -> Vec<u8> {
    let batch = wire::Batch {
        bills: bills.iter().map(bill_to_wire).collect(),
    };
    serde_json::to_vec(&batch).expect("wire types have string keys")
}

/// Decodes a batch object; returns `None` if it is malformed.
///
/// # Examples
///
/// ```
/// assert_eq!(cuminloom::bill::decode_batch(b"{"), None);
/// ```
pub fn decode_batch(body: &[u8]) -> Option<Vec<Bill>> {
    let batch: wire::Batch = serde_json::from_slice(body).ok()?;
    Some(batch.bills.into_iter().map(bill_from_wire).collect())
}

impl Seal {
    /// Encodes the seal object.
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
            bills: self.bills.iter().map(bill_to_wire).collect(),
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

    /// Decodes a seal object; returns `None` if it is malformed.
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
            bills: seal.bills.into_iter().map(bill_from_wire).collect(),
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
