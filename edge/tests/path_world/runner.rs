//! Runners with slots and a queue.

use std::collections::VecDeque;

use super::{
    Break,
    DEADLINE_MS,
    End,
    Event,
    MAX_REJECTED,
    World, //
};

/// Requests that wait at a runner, for each of its slots.
const QUEUE_PER_SLOT: u32 = 2;

/// A runner.
pub(super) struct Runner {
    pub(super) data_centre: usize,
    slots: u32,
    running: u32,
    waiting: VecDeque<usize>,
    pub(super) is_ended: bool,
    pub(super) silent_until: u64,
    /// Time at which it is no longer listed as ready.
    pub(super) lapses: u64,
}

impl Runner {
    pub(super) fn new(data_centre: usize, slots: u32) -> Runner {
        Runner {
            data_centre,
            slots,
            running: 0,
            waiting: VecDeque::new(),
            is_ended: false,
            silent_until: 0,
            lapses: u64::MAX,
        }
    }

    /// Requests that run and wait.
    pub(super) fn load(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }
}

impl World {
    /// A request arrives at a runner.
    pub(super) fn reach_runner(&mut self, request: usize, runner: usize) {
        let state = &mut self.runners[runner];
        if state.is_ended {
            return self.end(request, End::Failed);
        }
        if state.running < state.slots {
            state.running += 1;
            return self.begin(request, runner);
        }
        if (state.waiting.len() as u32) < state.slots * QUEUE_PER_SLOT {
            state.waiting.push_back(request);
            self.requests[request].runner = Some(runner);
            return;
        }
        let r = &mut self.requests[request];
        r.rejected += 1;
        if r.rejected >= MAX_REJECTED {
            return self.end(request, End::Refused);
        }
        self.proceed(request);
    }

    /// A runner begins with a request.
    fn begin(&mut self, request: usize, runner: usize) {
        if self.requests[request].is_handed() {
            self.note_taken(request);
        }
        let wakes = self.runners[runner].silent_until.saturating_sub(self.now);
        let r = &mut self.requests[request];
        r.runner = Some(runner);
        r.is_late = self.now + wakes - r.arrived > DEADLINE_MS[r.service];
        let work = if r.is_late { 0 } else { r.work_ms };
        self.schedule(wakes + work, Event::Finish(request, runner));
    }

    /// Gives the slot of a request to the next one that waits.
    fn free_slot(&mut self, runner: usize) {
        while let Some(next) = self.runners[runner].waiting.pop_front() {
            if !self.requests[next].ended {
                return self.begin(next, runner);
            }
        }
        self.runners[runner].running -= 1;
    }

    /// A runner has answered a request, unless it ended meanwhile or its answer gets lost.
    pub(super) fn finish(&mut self, request: usize, runner: usize) {
        if self.runners[runner].is_ended {
            return;
        }
        self.free_slot(runner);
        let r = &self.requests[request];
        if r.ended {
            return;
        }
        let daemon = r.handler;
        let is_lost = matches!(
            self.breaks(daemon, runner),
            Some(Break::Silent | Break::Reset)
        );
        if is_lost || r.is_late {
            return self.end(request, End::Failed);
        }
        let now = self.now;
        self.daemons[daemon].keep_idle(runner, now);
        self.end(request, End::Served);
    }
}
