//! Interface through which the administration API reaches the daemon, its peers and the targets.

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

/// Another daemon and the configuration version that it last confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Its data centre.
    pub dc: DataCentre,
    /// Version in force there; 0 when it has never reported one.
    pub version: Version,
    /// Whether messages from it arrive.
    pub reachable: bool,
}

/// State of this daemon, as the status page shows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaemonStatus {
    /// Mode of the node in lower case, for example `attached`.
    pub mode: Arc<str>,
    /// Counts by name, for example `open_requests`.
    pub stats: BTreeMap<Arc<str>, f64>,
}

/// What the daemon supplies to the administration API: its own state, that of its peers, and a way
/// to send orders to targets.
pub trait Fleet: Send + Sync + 'static {
    /// All other daemons that are expected to confirm a version.
    fn peers(&self) -> Vec<PeerStatus>;

    /// Mode and counts of this daemon.
    fn status(&self) -> DaemonStatus;

    /// Applies an accepted version on this daemon and announces it to the peers.
    fn announce(&self, version: Version);

    /// Billed tokens of every budget. The audit reads them after the budget rows, so that every
    /// billed token in a row is among them.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when the bills cannot be read.
    fn billed_tokens(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreError>;

    /// Sends an order with its fencing number to the target at `addr`.
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
