//! What the daemon tells the administration API about itself and its peers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use crate::{
    budget::BilledTokens,
    model::{
        BudgetId,
        DaemonId,
        DataCentre,
        Version, //
    },
    store::StoreError,
    target::{
        Order,
        OrderOutcome,
        send_order, //
    },
};

/// A daemon and the configuration version that it last confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Its data centre.
    pub dc: DataCentre,
    /// Version in force at it; 0 when it never told one.
    pub version: Version,
    /// Whether it is heard from.
    pub reachable: bool,
}

/// State of this daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaemonStatus {
    /// Mode by name, for example `attached`.
    pub mode: Arc<str>,
    /// Figures by name.
    pub stats: BTreeMap<Arc<str>, f64>,
}

/// What the daemon supplies to the administration API.
pub trait Fleet: Send + Sync + 'static {
    /// All daemons that should confirm a version, without this one.
    fn peers(&self) -> Vec<PeerStatus>;

    /// State of this daemon.
    fn status(&self) -> DaemonStatus;

    /// Tells the peers that a version was accepted.
    fn announce(&self, version: Version);

    /// The bills that count, for every budget. The audit calls it after it read the budget rows, so
    /// that each figure of a row has its bills.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when the bills cannot be read.
    fn billed_tokens(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreError>;

    /// Sends an order to the target at `addr`.
    fn send_order(&self, addr: SocketAddr, order: &Order, fencing: u64) -> OrderOutcome {
        send_order(addr, order, fencing)
    }
}

impl<T: Fleet> Fleet for Arc<T> {
    fn peers(&self) -> Vec<PeerStatus> {
        T::peers(self)
    }

    fn status(&self) -> DaemonStatus {
        T::status(self)
    }

    fn announce(&self, version: Version) {
        T::announce(self, version);
    }

    fn billed_tokens(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreError> {
        T::billed_tokens(self)
    }

    fn send_order(&self, addr: SocketAddr, order: &Order, fencing: u64) -> OrderOutcome {
        T::send_order(self, addr, order, fencing)
    }
}
