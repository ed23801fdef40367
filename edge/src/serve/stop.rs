//! The planned stop of the daemon.

use std::time::Duration;

use super::Core;
use crate::{
    catalog::Route,
    clock::boot_time,
    decide::PlannedStop, //
};

impl<D> Core<D> {
    /// Begins the planned stop at `now`, a time since the start of the VM, unless it has begun. Returns its
    /// plan.
    pub fn begin_stop(&self, now: Duration) -> PlannedStop {
        if let Some(stop) = self.stop.get() {
            return stop;
        }
        let stop = PlannedStop::new(now, self.bounds.get().grace);
        self.stop.set(Some(stop));
        self.ledger.borrow_mut().leave();
        self.state_changed.notify_waiters();
        stop
    }

    /// Whether the planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Whether requests are taken: not in the later part of a planned stop.
    pub(super) fn accepts_requests(&self) -> bool {
        self.stop.get().is_none_or(|stop| stop.accepts(boot_time()))
    }

    /// Whether a request of `route` may be sent: during a planned stop only if it can end in time.
    pub(super) fn may_send(&self, route: &Route) -> bool {
        self.stop.get().is_none_or(|stop| {
            let times = self.route_times.borrow();
            let time = times.most(&route.name, route.objective);
            stop.may_send(boot_time(), time)
        })
    }

    /// Makes all open requests end with an answer, because the process is about to.
    pub fn answer_open_requests(&self) {
        self.stop_answers.notify_waiters();
    }

    /// Returns when open requests are to be answered because the process is about to end.
    pub(super) async fn stop_answers(&self) {
        loop {
            let notified = self.stop_answers.notified();
            if self.stop.get().is_some_and(|s| s.must_answer(boot_time())) {
                return;
            }
            notified.await;
        }
    }
}
