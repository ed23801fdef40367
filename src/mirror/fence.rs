//! The fence row of an incarnation, and the keys of its rows.

use std::sync::Arc;

use serde_json::Value;

use crate::{
    model::{
        DaemonId,
        DataCentre,
        Incarnation, //
    },
    wire::fence as wire,
};

/// Who sealed an incarnation, and the object that accounts for its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedBy {
    /// Incarnation that committed the seal; the incarnation itself after a planned stop.
    pub by: Incarnation,
    /// Name of the seal object; empty after a planned stop, which leaves nothing to account for.
    pub object: Arc<str>,
    /// Whether every budget row of the incarnation has been settled.
    pub settled: bool,
    /// Whether the incarnation was attached, so that the absence of its VM proves that its orphans
    /// cannot be spent.
    pub attached: bool,
    /// Whether the orphans have been returned because the VM is absent.
    pub released: bool,
}

/// Fence row of an incarnation: every write of the incarnation checks its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Daemon of the incarnation.
    pub daemon: DaemonId,
    /// VM on which it runs.
    pub vm: Arc<str>,
    /// Data centre of the VM.
    pub dc: DataCentre,
    /// Witness, if there is one.
    pub witness: Option<Incarnation>,
    /// Number of the witness assignment.
    pub epoch: u64,
    /// Whether a planned stop returns the shares and removes them from their rows, so that a share
    /// without an entry may have been settled already.
    pub stopping: bool,
    /// Present after the seal.
    pub sealed: Option<SealedBy>,
}

/// Key of the fence row of `inc`.
///
/// # Examples
///
/// ```
/// assert_eq!(&*cuminloom::mirror::fence_key("a.1"), "fence/a.1");
/// ```
pub fn fence_key(inc: &str) -> Arc<str> {
    format!("fence/{inc}").into()
}

/// Key of the ledger row of `inc`.
///
/// # Examples
///
/// ```
/// assert_eq!(&*cuminloom::mirror::ledger_key("a.1"), "ledger/a.1");
/// ```
pub fn ledger_key(inc: &str) -> Arc<str> {
    format!("ledger/{inc}").into()
}

impl Fence {
    /// Reads a fence row; `None` when it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::mirror::Fence::from_value(&serde_json::json!({})), None);
    /// ```
    pub fn from_value(value: &Value) -> Option<Self> {
        let row: wire::FenceRow = serde_json::from_value(value.clone()).ok()?;
        Some(Self {
            daemon: row.daemon.into(),
            vm: row.vm.into(),
            dc: row.dc.into(),
            witness: row.witness.map(Into::into),
            epoch: row.epoch,
            stopping: row.stopping,
            sealed: row.sealed.map(|sealed| SealedBy {
                by: sealed.by.into(),
                object: sealed.object.into(),
                settled: sealed.settled,
                attached: sealed.attached,
                released: sealed.released,
            }),
        })
    }

    /// Content of the row.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::mirror::Fence;
    /// let fence = Fence {
    ///     daemon: "a".into(),
    ///     vm: "vm-1".into(),
    ///     dc: "east".into(),
    ///     witness: Some("b.1".into()),
    ///     epoch: 1,
    ///     stopping: false,
    ///     sealed: None,
    /// };
    /// assert_eq!(Fence::from_value(&fence.to_value()), Some(fence));
    /// ```
    pub fn to_value(&self) -> Value {
        serde_json::to_value(wire::FenceRow {
            daemon: self.daemon.to_string(),
            vm: self.vm.to_string(),
            dc: self.dc.to_string(),
            witness: self.witness.as_deref().map(str::to_owned),
            epoch: self.epoch,
            stopping: self.stopping,
            sealed: self.sealed.as_ref().map(|sealed| wire::SealedBy {
                by: sealed.by.to_string(),
                object: sealed.object.to_string(),
                settled: sealed.settled,
                attached: sealed.attached,
                released: sealed.released,
            }),
        })
        .expect("wire types have string keys")
    }
}
