//! The fence row of an incarnation, which every write of the incarnation checks, and row keys.

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

/// Seal of an incarnation: who sealed it, where its final account is, and how far it was settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedBy {
    /// Incarnation that committed the seal; the incarnation itself after a planned stop.
    pub by: Incarnation,
    /// Name of the seal object with the final account; empty after a planned stop, which leaves
    /// nothing to account for.
    pub object: Arc<str>,
    /// Whether every budget row of the incarnation has been settled.
    pub settled: bool,
    /// Whether the incarnation had a witness and was not detached when it was sealed. Its orphaned
    /// tokens then can no longer be spent once its VM is absent.
    pub attached: bool,
    /// Whether the orphaned tokens have been returned because the VM is absent.
    pub released: bool,
}

/// Content of the fence row of an incarnation. Every write of the incarnation checks the version of
/// the row, so that a sealed incarnation can no longer write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Daemon of the incarnation.
    pub daemon: DaemonId,
    /// VM on which the incarnation runs.
    pub vm: Arc<str>,
    /// Data centre of the VM.
    pub dc: DataCentre,
    /// Incarnation that is the witness, if there is one.
    pub witness: Option<Incarnation>,
    /// Number of the current witness assignment.
    pub epoch: u64,
    /// Whether the incarnation is in a planned stop. It returns its budget shares and removes them
    /// from their rows then, so a share that is missing from its row may have been settled already.
    pub stopping: bool,
    /// Seal, if the incarnation is sealed.
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

/// Key of the ledger row of `inc`, which says which of its bill batches count.
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
    /// Decodes a fence row; returns `None` if it is malformed.
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

    /// Encodes the content of the row.
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
