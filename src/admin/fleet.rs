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
pub struct Confirmed {
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
pub struct Standing {
    /// Mode by name, for example `attached`.
    pub mode: Arc<str>,
    /// Figures by name.
    pub figures: BTreeMap<Arc<str>, f64>,
}

/// What the daemon supplies to the administration API.
pub trait Fleet: Send + Sync + 'static {
    /// All daemons that should confirm a version, without this one.
    fn peers(&self) -> Vec<Confirmed>;

    /// State of this daemon.
    fn standing(&self) -> Standing;

    /// Tells the peers that a version was accepted.
    fn notice(&self, version: Version);

    /// The bills that count, for every budget. The audit calls it after it read the budget rows, so
    /// that each figure of a row has its bills.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when the bills cannot be read.
    fn bills(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreError>;

    /// Sends an order to the target at `addr`.
    fn order(&self, addr: SocketAddr, order: &Order, fencing: u64) -> OrderOutcome {
        send_order(addr, order, fencing)
    }
}

impl<T: Fleet> Fleet for Arc<T> {
    fn peers(&self) -> Vec<Confirmed> {
        T::peers(self)
    }

    fn standing(&self) -> Standing {
        T::standing(self)
    }

    fn notice(&self, version: Version) {
        T::notice(self, version);
    }

    fn bills(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreError> {
        T::bills(self)
    }

    fn order(&self, addr: SocketAddr, order: &Order, fencing: u64) -> OrderOutcome {
        T::order(self, addr, order, fencing)
    }
}
