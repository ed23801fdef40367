//! Inputs and actions of the membership machine, and its view of a peer.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use super::message::{
    Heartbeat,
    Ident, //
    VersionEntry,
};
use crate::{
    model::{
        DaemonId,
        DataCentre,
        Incarnation,
        Version, //
    },
    store::Vm,
};

/// An input of [`Membership`](super::Membership).
#[derive(Clone, Debug)]
pub enum Input {
    /// A link is established.
    Linked {
        /// What the peer stated about itself.
        ident: Ident,
        /// Whether this daemon dialled.
        dialled: bool,
    },
    /// The link was lost, or dialling failed.
    Lost {
        /// The peer.
        peer: DaemonId,
    },
    /// A heartbeat arrived.
    Heartbeat {
        /// The sender.
        from: DaemonId,
        /// The heartbeat.
        beat: Heartbeat,
    },
    /// Versions arrived.
    Versions {
        /// The sender.
        from: DaemonId,
        /// The entries.
        entries: Vec<VersionEntry>,
    },
    /// A message is to be sent to a peer.
    LinkNeeded {
        /// The peer.
        peer: DaemonId,
    },
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// This daemon has a configuration version in force.
    Config(Version),
    /// This daemon is about to stop.
    Stopping,
    /// This daemon started a new incarnation in the same process.
    Restarted(Incarnation),
}

/// An action that [`Membership`](super::Membership) asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a link; answered by `Linked` or `Lost`.
    Dial {
        /// The peer.
        peer: DaemonId,
        /// Its address.
        addr: SocketAddr,
    },
    /// Close the link; no `Lost` is expected.
    Close {
        /// The peer.
        peer: DaemonId,
    },
    /// Send a heartbeat over each of these links.
    Heartbeat {
        /// The peers.
        to: Vec<DaemonId>,
        /// The heartbeat.
        beat: Heartbeat,
    },
    /// Send versions.
    Versions {
        /// The peer.
        to: DaemonId,
        /// The entries.
        entries: Vec<VersionEntry>,
    },
    /// A peer changed between alive and suspect.
    State {
        /// The peer.
        peer: DaemonId,
        /// Its new state.
        state: PeerState,
    },
}

/// Whether a peer is believed to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// It has no link to this daemon.
    #[default]
    Unknown,
    /// Its heartbeats arrive.
    Alive,
    /// It should be linked but no heartbeat has arrived for 3 s.
    Suspect,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Link {
    #[default]
    Down,
    Dialling,
    Up {
        dialled: bool,
    },
}

/// What a daemon knows of another one.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Its data centre.
    pub dc: DataCentre,
    /// Its incarnation, once heard of.
    pub inc: Option<Incarnation>,
    /// Its VM, once heard of.
    pub vm: Option<Arc<str>>,
    /// Whether it is believed to run.
    pub state: PeerState,
    /// Whether it said or the list of VMs says that it is about to stop.
    pub leaving: bool,
    /// Time of its last heartbeat.
    pub last_heartbeat: Option<Duration>,
    pub(super) addr: SocketAddr,
    /// Whether it is in the same data centre.
    pub(super) is_near: bool,
    /// Whether a link to it is to be kept.
    pub(super) is_wanted: bool,
    pub(super) weight: u64,
    pub(super) started: u64,
    pub(super) link: Link,
    pub(super) stopping: bool,
    /// Start of the silence when nothing was heard yet.
    pub(super) since: Duration,
    pub(super) failures: u32,
    pub(super) failed: Option<Duration>,
    pub(super) retry_at: Duration,
    pub(super) wanted_until: Duration,
}

impl PeerView {
    /// Whether a link is established.
    pub fn is_linked(&self) -> bool {
        matches!(self.link, Link::Up { .. })
    }

    pub(super) fn silent(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_heartbeat.unwrap_or(self.since))
    }
}
