//! Requests that wait for a turn at runners with limits.

use std::{
    cell::RefCell,
    rc::Rc, //
};

use tokio::sync::Notify;

use crate::{
    catalog::ServiceId,
    decide::{
        TurnOrder,
        TurnPlace, //
    },
};

/// Requests that wait for a turn.
#[derive(Debug, Default)]
pub(super) struct TurnQueue {
    order: RefCell<TurnOrder>,
    /// Notified when a request has left the queue.
    left: Notify,
}

impl TurnQueue {
    /// Adds a request of `rank` for `service`.
    pub(super) fn enter(self: &Rc<Self>, service: &ServiceId, rank: u8) -> QueuePlace {
        QueuePlace {
            place: self.order.borrow_mut().enter(service, rank),
            queue: Rc::clone(self),
        }
    }

    /// Number of waiting requests that come before a new one of `rank` for `service`.
    pub(super) fn ahead_of_new(&self, service: &ServiceId, rank: u8) -> usize {
        self.order.borrow().ahead_of_new(service, rank)
    }
}

/// Place of a waiting request, which it leaves on drop.
#[derive(Debug)]
pub(super) struct QueuePlace {
    queue: Rc<TurnQueue>,
    place: TurnPlace,
}

impl QueuePlace {
    /// Number of requests that come before this one.
    pub(super) fn ahead(&self) -> usize {
        self.queue.order.borrow().ahead(&self.place)
    }

    /// Waits until a request has left the queue.
    pub(super) async fn wait_for_change(&self) {
        self.queue.left.notified().await;
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.queue.order.borrow_mut().leave(&self.place);
        self.queue.left.notify_waiters();
    }
}
