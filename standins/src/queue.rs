//! Queue in front of a limited number of places, in the order of priority and arrival.

use std::{
    collections::BTreeSet,
    sync::{
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

/// Pause between two looks at whether a waiting request still wants to run.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    capacity: u32,
    running: u32,
    arrived: u64,
    waiting: BTreeSet<(i64, u64)>,
}

#[derive(Debug, Default)]
pub(crate) struct Queue {
    state: Mutex<State>,
    changed: Condvar,
}

/// A place in which a request runs.
#[derive(Debug)]
pub(crate) struct Place<'a>(&'a Queue);

impl Queue {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn resize(&self, capacity: u32) {
        self.lock().capacity = capacity;
        self.changed.notify_all();
    }

    /// Numbers of running and waiting requests, and of places.
    pub(crate) fn load(&self) -> (u32, u32, u32) {
        let state = self.lock();
        let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        (state.running, waiting, state.capacity)
    }

    /// Waits for a place; gives up when `wanted` returns false. Lower priorities run first.
    pub(crate) fn enter(&self, priority: i64, wanted: impl Fn() -> bool) -> Option<Place<'_>> {
        let mut state = self.lock();
        state.arrived += 1;
        let entry = (priority, state.arrived);
        state.waiting.insert(entry);
        while state.running >= state.capacity || state.waiting.first() != Some(&entry) {
            if !wanted() {
                state.waiting.remove(&entry);
                self.changed.notify_all();
                return None;
            }
            let woken = self.changed.wait_timeout(state, LOOK);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.waiting.remove(&entry);
        state.running += 1;
        self.changed.notify_all();
        Some(Place(self))
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
        self.0.changed.notify_all();
    }
}
