//! Random disturbances, and how a node reacts to them.

use super::*;

impl World {
    /// Chooses the mode as the node does.
    pub(super) fn govern(&mut self, d: usize) {
        let up = self.reaches(d);
        // A sealed daemon learns of its seal some time after it resumed.
        let learns = self.calm || self.below(10) == 0;
        let daemon = &mut self.daemons[d];
        let (mode, wit) = (daemon.mode, daemon.witness);
        let lost = match up && wit {
            true => None,
            false => Some(daemon.lost_at.unwrap_or(self.now)),
        };
        daemon.lost_at = lost;
        let long = lost.is_some_and(|at| self.now >= at + 1_500);
        let next = match mode {
            Mode::Sealed => return,
            _ if daemon.sealed && up && learns => Mode::Sealed,
            _ if daemon.sealed => return,
            Mode::Attached if !long => return,
            Mode::Detached | Mode::Unpaired if !(up && wit) => return,
            _ if up && wit => Mode::Attached,
            _ if up => Mode::Unpaired,
            _ if wit || mode == Mode::Detached => Mode::Detached,
            _ if mode == Mode::Frozen => return,
            _ => Mode::Frozen,
        };
        if mode == next {
            return;
        }
        self.daemons[d].mode = next;
        match next {
            Mode::Attached => self.attach(d),
            Mode::Unpaired => self.daemons[d].unrecorded = true,
            Mode::Detached => self.daemons[d].unrecorded |= self.guard != Guard::NoDetachAck,
            _ => {}
        }
        self.handle(d, Event::Mode(next));
        if next == Mode::Sealed {
            self.start(self.daemons[d].name);
        }
    }

    /// The witness, or a third daemon without a record, seals a daemon that does not respond.
    pub(super) fn watch(&mut self, d: usize) {
        let daemon = &self.daemons[d];
        let Some(since) = daemon.paused.filter(|_| !daemon.sealed) else {
            return;
        };
        let patience = if daemon.witness { SEAL_MS } else { 3 * SEAL_MS };
        if self.now < since + patience || !self.reaches(d) {
            return;
        }
        self.daemons[d].unrecorded |= !self.daemons[d].witness;
        self.seal(d);
        if self.daemons[d].crashed {
            self.daemons[d].paused = None;
            self.start(self.daemons[d].name);
        }
    }

    pub(super) fn retire(&mut self, d: usize) {
        if self.daemons[d].drawer.is_done() && !self.daemons[d].sealed {
            self.daemons[d].retired = true;
            self.daemons[d].sealed = true;
            let inc = self.daemons[d].inc.clone();
            for to in 0..self.daemons.len() {
                self.post(to, 1, Event::PeerSealed(inc.clone()));
            }
            self.tell_members();
            if !self.calm {
                self.start(self.daemons[d].name);
            }
        }
    }

    /// A random disturbance.
    pub(crate) fn disturb(&mut self) {
        let d = self.below(self.daemons.len() as u64) as usize;
        let b = self.below(self.budgets.len() as u64) as usize;
        let budget = self.budgets[b].clone();
        match self.below(14) {
            0 => self.outage = true,
            1 | 2 => self.outage = false,
            3 => self.cut[DCS[self.daemons[d].name]] = true,
            4 | 5 => self.cut = [false; 2],
            6 => self.daemons[d].witness = false,
            7 => self.daemons.iter_mut().for_each(|d| d.witness = true),
            8 if self.runs(d) => self.daemons[d].paused = Some(self.now),
            9 => self.resume(),
            10 if self.runs(d) && !self.daemons[d].sealed => {
                self.daemons[d].paused = Some(self.now);
                self.daemons[d].crashed = true;
            }
            11 if self.runs(d) => self.stop(d),
            12 => {
                let mut row = self.row(&budget);
                row.top_up(500).expect("far below 64 bits");
                self.put(&budget, &row);
            }
            13 => {
                let mut row = self.row(&budget);
                if row.lower_limit(row.limit - row.limit / 20).is_ok() {
                    self.put(&budget, &row);
                    self.lowered.push(budget);
                }
            }
            _ => {}
        }
    }

    pub(super) fn stop(&mut self, d: usize) {
        self.daemons[d].stopping = true;
        self.handle(d, Event::Stop);
    }

    pub(super) fn resume(&mut self) {
        for daemon in &mut self.daemons {
            daemon.paused = daemon.paused.filter(|_| daemon.crashed);
        }
    }
}
