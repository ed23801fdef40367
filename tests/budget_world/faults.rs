//! Random faults, and the reactions of a node that are not part of the share manager.

use super::*;

impl World {
    /// Updates a daemon's mode as the node does, depending on whether it reaches platform and
    /// witness.
    pub(super) fn update_mode(&mut self, d: usize) {
        let up = self.reaches_platform(d);
        // A sealed daemon notices its seal some time after it resumes.
        let learns = self.fault_free || self.random_below(10) == 0;
        let daemon = &mut self.daemons[d];
        let (mode, wit) = (daemon.mode, daemon.witness_up);
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
            Mode::Attached => self.attach_witness(d),
            Mode::Unpaired => self.daemons[d].no_record = true,
            Mode::Detached => self.daemons[d].no_record |= self.rules != Rules::NoDetachAck,
            _ => {}
        }
        self.handle(d, Event::Mode(next));
        if next == Mode::Sealed {
            self.start_daemon(self.daemons[d].vm);
        }
    }

    /// Seals a daemon that does not respond: its witness does, or later a third daemon without a
    /// record.
    pub(super) fn seal_if_silent(&mut self, d: usize) {
        let daemon = &self.daemons[d];
        let Some(since) = daemon.paused_at.filter(|_| !daemon.sealed) else {
            return;
        };
        let patience = if daemon.witness_up {
            SEAL_TIMEOUT_MS
        } else {
            3 * SEAL_TIMEOUT_MS
        };
        if self.now < since + patience || !self.reaches_platform(d) {
            return;
        }
        self.daemons[d].no_record |= !self.daemons[d].witness_up;
        self.seal_daemon(d);
        if self.daemons[d].crashed {
            self.daemons[d].paused_at = None;
            self.start_daemon(self.daemons[d].vm);
        }
    }

    /// Ends a planned stop that has returned all shares.
    pub(super) fn finish_stop(&mut self, d: usize) {
        if self.daemons[d].manager.is_done() && !self.daemons[d].sealed {
            self.daemons[d].retired = true;
            self.daemons[d].sealed = true;
            let inc = self.daemons[d].inc.clone();
            for to in 0..self.daemons.len() {
                self.send_event(to, 1, Event::PeerSealed(inc.clone()));
            }
            self.update_members();
            if !self.fault_free {
                self.start_daemon(self.daemons[d].vm);
            }
        }
    }

    /// Starts or ends a random fault, begins a planned stop, or changes a limit.
    pub(crate) fn inject_fault(&mut self) {
        let d = self.random_below(self.daemons.len() as u64) as usize;
        let b = self.random_below(self.budgets.len() as u64) as usize;
        let budget = self.budgets[b].clone();
        match self.random_below(14) {
            0 => self.outage = true,
            1 | 2 => self.outage = false,
            3 => self.cut_dcs[DC_OF_VM[self.daemons[d].vm]] = true,
            4 | 5 => self.cut_dcs = [false; 2],
            6 => self.daemons[d].witness_up = false,
            7 => self.daemons.iter_mut().for_each(|d| d.witness_up = true),
            8 if self.is_running(d) => self.daemons[d].paused_at = Some(self.now),
            9 => self.resume(),
            10 if self.is_running(d) && !self.daemons[d].sealed => {
                self.daemons[d].paused_at = Some(self.now);
                self.daemons[d].crashed = true;
            }
            11 if self.is_running(d) => self.begin_stop(d),
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

    /// Begins a planned stop of a daemon.
    pub(super) fn begin_stop(&mut self, d: usize) {
        self.daemons[d].stopping = true;
        self.handle(d, Event::Stop);
    }

    /// Resumes the paused processes that have not crashed.
    pub(super) fn resume(&mut self) {
        for daemon in &mut self.daemons {
            daemon.paused_at = daemon.paused_at.filter(|_| daemon.crashed);
        }
    }
}
