//! Messages from peers, and the set of live peers.

use std::time::Duration;

use super::Node;
use crate::{
    budget::{
        self,
        Transfer,
        TransferId, //
    },
    mirror::{
        Message,
        Peer, //
    },
    model::{
        Incarnation,
        daemon_of, //
    },
    node::{
        Action,
        StateChange, //
    },
};

impl Node {
    /// Reports that this daemon has sealed `inc`, an incarnation of another daemon: to this daemon's
    /// own budget shares, in a message to `inc`, and as a state change for the log.
    pub(super) fn report_sealed(&mut self, now: Duration, inc: Incarnation) {
        self.current()
            .handle_share_event(now, budget::Event::PeerSealed(inc.clone()));
        self.actions.push(Action::Send {
            to: inc.clone(),
            message: Message::Sealed { inc: inc.clone() },
        });
        self.actions
            .push(Action::Change(StateChange::PeerSealed(inc)));
    }

    /// Passes a message to the witness records, to an incarnation or to the budget shares.
    pub(super) fn receive_message(&mut self, now: Duration, from: Incarnation, message: Message) {
        match &message {
            Message::Mirror { .. } | Message::Attach { .. } => {
                if let Some(message) = self.witness.receive(now, &message) {
                    self.actions.push(Action::Send { to: from, message });
                }
            }
            Message::MirrorAck { inc, .. }
            | Message::AttachAck { inc, .. }
            | Message::Sealed { inc } => {
                if let Some(state) = self.incarnations.iter_mut().find(|state| state.inc == *inc) {
                    state.receive(now, &from, &message);
                }
            }
            _ => self.receive_transfer(now, from, message),
        }
    }

    /// Handles a message about the transfer of tokens between the shares of two daemons.
    pub(super) fn receive_transfer(&mut self, now: Duration, from: Incarnation, message: Message) {
        let me = self.incarnation().clone();
        let event = match message {
            Message::Ask { budget, tokens } => budget::Event::Ask {
                from,
                budget,
                tokens,
            },
            Message::Short { budget } => budget::Event::Short { budget },
            // Tokens sent to a replaced incarnation stay in transit until an operator settles them.
            Message::Transfer {
                to,
                id,
                budget,
                tokens,
            } if to == me => budget::Event::TransferReceived(Transfer {
                id: TransferId {
                    from,
                    to,
                    number: id,
                },
                budget,
                tokens,
            }),
            Message::TransferAck { from: sender, id } if sender == me => {
                budget::Event::TransferConfirmed(TransferId {
                    from: sender,
                    to: from,
                    number: id,
                })
            }
            _ => return,
        };
        self.current().handle_share_event(now, event);
    }

    /// Adds a live incarnation, and removes an older one of the same daemon.
    pub(super) fn peer_up(&mut self, now: Duration, inc: Incarnation, peer: Peer) {
        let old = self
            .peers
            .keys()
            .find(|old| **old != inc && daemon_of(old) == daemon_of(&inc));
        if let Some(old) = old.cloned() {
            self.peer_down(now, &old);
        }
        self.witness.peer_up(&inc);
        self.peers.insert(inc, peer);
        self.update_members(now);
    }

    /// Removes an incarnation that no longer sends heartbeats.
    pub(super) fn peer_down(&mut self, now: Duration, inc: &Incarnation) {
        self.peers.remove(inc);
        self.witness.peer_down(now, inc);
        for state in &mut self.incarnations {
            state.primary.peer_down(now, inc);
        }
        self.update_members(now);
    }

    /// Tells the budget shares which incarnations of the data centre are live.
    pub(super) fn update_members(&mut self, now: Duration) {
        let me = self.incarnation().clone();
        let near = self.peers.iter().filter(|(_, p)| p.dc == self.identity.dc);
        let mut members: Vec<Incarnation> = near.map(|(inc, _)| inc.clone()).collect();
        members.push(me);
        members.sort();
        self.current()
            .handle_share_event(now, budget::Event::Members(members));
    }
}
