//! Tells other daemons of tokens that were committed to this one.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    task::spawn_local,
    time::timeout, //
};

use super::Core;
use crate::prepaid::GrantNotice;

/// Daemons that are told, at most: some may end at the same time as this one.
const WITNESSES: usize = 7;

/// Time within which a daemon acknowledges a notice.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(250);

impl<D: 'static> Core<D> {
    /// Tells other daemons of the tokens that the last accepted write has brought, if there are some. They can be
    /// spent as soon as one has acknowledged them.
    pub fn tell_grants(self: &Rc<Self>) {
        let now = Instant::now();
        let (notice, witnesses) = {
            let mut ledger = self.ledger.borrow_mut();
            let Some(notice) = ledger.take_notice(now) else {
                return;
            };
            (notice, ledger.witnesses(now))
        };
        let reached = witnesses
            .into_iter()
            .filter(|address| !self.peer_link(*address).is_down(now));
        for address in reached.take(WITNESSES) {
            let (core, notice) = (Rc::clone(self), notice.clone());
            spawn_local(async move { core.tell(address, notice).await });
        }
    }

    /// Sends `notice` to the daemon at `address` and waits until it acknowledges it.
    async fn tell(&self, address: SocketAddr, notice: GrantNotice) {
        let link = self.peer_link(address);
        let begun = Instant::now();
        let limit = ACKNOWLEDGE_TIMEOUT + self.link.allowance(begun);
        let number = notice.number;
        let acknowledged = link.tell(notice);
        match timeout(limit, acknowledged.recv_async()).await {
            Ok(Ok(())) => {
                self.ledger.borrow_mut().acknowledge(number);
                self.tokens_freed.notify_waiters();
            }
            Ok(Err(flume::RecvError::Disconnected)) => {}
            Err(_) => {
                let now = Instant::now();
                log::info!("event=notice_unanswered peer={address} number={number}");
                if self.link.is_conclusive(begun, limit, now) {
                    link.give_up(now);
                }
            }
        }
    }
}
