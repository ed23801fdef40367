//! Inputs and actions of the membership state machine, and what it knows of a peer.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use super::message::{
    Heartbeat,
    Ident,
    VersionEntry, //
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
    /// A link was lost, or dialling failed.
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
    /// Configuration versions arrived.
    Versions {
        /// The sender.
        from: DaemonId,
        /// The entries.
        entries: Vec<VersionEntry>,
    },
    /// A message is to be sent to a peer, which needs a link.
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
    /// This daemon started a new incarnation in the same process; carries the new incarnation.
    Restarted(Incarnation),
}

/// An action that [`Membership`](super::Membership) asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a link; [`Input::Linked`] or [`Input::Lost`] follows.
    Dial {
        /// The peer.
        peer: DaemonId,
        /// Its address.
        addr: SocketAddr,
    },
    /// Close the link; no [`Input::Lost`] follows.
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
    /// Send configuration versions.
    Versions {
        /// The receiver.
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

/// Liveness of a peer as this daemon sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// There is no link to the peer, and none is needed.
    #[default]
    Unknown,
    /// Heartbeats arrive over the link.
    Alive,
    /// A link is needed or established, but no heartbeat has arrived for 3 s.
    Suspect,
}

/// State of the link to a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LinkState {
    #[default]
    Down,
    Dialling,
    Up {
        /// Whether this daemon dialled.
        dialled: bool,
    },
}

/// What a daemon knows of a peer.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Its data centre.
    pub dc: DataCentre,
    /// Its incarnation, once known.
    pub inc: Option<Incarnation>,
    /// Its VM, once known.
    pub vm: Option<Arc<str>>,
    /// Its liveness.
    pub state: PeerState,
    /// Whether it is about to stop, according to itself or to the list of VMs.
    pub leaving: bool,
    /// Time of its last heartbeat.
    pub last_heartbeat: Option<Duration>,
    /// Address on which it listens for peers.
    pub(super) addr: SocketAddr,
    /// Whether it is in the same data centre.
    pub(super) same_dc: bool,
    /// Whether a link to it is to be opened or kept.
    pub(super) is_needed: bool,
    /// Rendezvous weight, which decides the preference among other data centres.
    pub(super) weight: u64,
    /// Start of its process, as in [`Ident`].
    pub(super) started: u64,
    pub(super) link: LinkState,
    /// Whether its last heartbeat said that it is about to stop.
    pub(super) stopping: bool,
    /// When the peer was added; its silence starts then until a heartbeat arrives.
    pub(super) silent_since: Duration,
    /// Lost links and failed attempts to connect since the last link was established.
    pub(super) failures: u32,
    /// Time of the last of `failures`.
    pub(super) last_failure: Option<Duration>,
    /// Earliest time of the next attempt to connect.
    pub(super) retry_at: Duration,
    /// Time until which a link that was opened on demand is kept.
    pub(super) needed_until: Duration,
}

impl PeerView {
    /// Whether a link is established.
    pub fn is_linked(&self) -> bool {
        matches!(self.link, LinkState::Up { .. })
    }

    /// Time since the last heartbeat.
    pub(super) fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_heartbeat.unwrap_or(self.silent_since))
    }
}
