//! What happens in a run.

use rand::{
    RngExt,
    rngs::StdRng, //
};

use super::{
    End,
    Size,
    World,
    daemon::Daemon, //
};

/// Time for which a runner falls silent.
const SILENT_RUNNER_MS: u64 = 1000;

/// Time after which a runner that has ended is no longer listed.
const LAPSE_MS: u64 = 3000;

/// Of how many sound daemons one is killed.
const KILLED_OF: usize = 10;

/// What a cut does to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Break {
    /// New ones time out, and open ones are silent.
    Silent,
    /// New ones fail at once, and open ones are reset.
    Reset,
    /// New ones fail at once, and open ones live on.
    HalfOpen,
}

/// VMs that are cut off from the runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Who {
    None,
    Third,
    TwoThirds,
    All,
    /// All of one data centre of each region.
    DataCentre,
}

/// Faults of a run; times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub how: Break,
    pub who: Who,
    /// Times for which the VMs are cut off; the other faults begin with the first.
    pub times: &'static [(u64, u64)],
    /// Whether one runner of each service is still reached.
    pub spared: bool,
    /// Whether some of the other daemons are killed.
    pub kill: bool,
    /// Whether a runner falls silent.
    pub silent_runner: bool,
    /// Whether all runners of a data centre end.
    pub rack: bool,
    /// Whether the VMs are so small that each takes the fewest requests of others.
    pub tiny: bool,
    /// Whether daemons hand nothing over, to show that the bounds find it.
    pub alone: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            how: Break::Silent,
            who: Who::None,
            times: &[(2000, 10_000)],
            spared: false,
            kill: false,
            silent_runner: false,
            rack: false,
            tiny: false,
            alone: false,
        }
    }
}

impl Faults {
    /// Times at which something begins.
    pub(super) fn times(&self) -> impl Iterator<Item = u64> + use<> {
        self.times.iter().map(|(from, _)| *from)
    }

    /// Time from which nothing is cut any more.
    pub(crate) fn end(&self) -> u64 {
        self.times.last().map_or(0, |(_, to)| *to)
    }

    /// Chooses the daemons that are cut off, and what all are like.
    pub(super) fn choose(&self, daemons: &mut [Daemon], size: Size, random: &mut StdRng) {
        if self.tiny {
            daemons.iter_mut().for_each(|d| d.capacity = 1);
        }
        let per_region = size.data_centres / size.regions;
        let count = match self.who {
            Who::None => 0,
            Who::Third => daemons.len().div_ceil(3),
            Who::TwoThirds => (daemons.len() * 2).div_ceil(3),
            Who::All => daemons.len(),
            Who::DataCentre => {
                for daemon in daemons {
                    daemon.is_cut = daemon.data_centre % per_region == 0;
                }
                return;
            }
        };
        let mut left: Vec<usize> = (0..daemons.len()).collect();
        for _ in 0..count {
            let chosen = left.swap_remove(random.random_range(0..left.len()));
            daemons[chosen].is_cut = true;
        }
    }
}

impl World {
    /// What a cut does to connections from `daemon` to `runner` now.
    pub(super) fn breaks(&self, daemon: usize, runner: usize) -> Option<Break> {
        let f = &self.faults;
        let now = self.now;
        let is_cut = self.daemons[daemon].is_cut
            && f.times.iter().any(|(from, to)| (*from..*to).contains(&now))
            && !(f.spared && self.services.iter().any(|s| s.runners.start == runner));
        is_cut.then_some(f.how)
    }

    /// Begins what begins now.
    pub(super) fn begin_faults(&mut self) {
        if self.faults.how == Break::Reset {
            self.reset_connections();
        }
        if self
            .faults
            .times
            .first()
            .is_none_or(|(at, _)| *at != self.now)
        {
            return;
        }
        if self.faults.kill {
            self.kill_daemons();
        }
        if self.faults.silent_runner {
            let any = self.random.random_range(0..self.runners.len());
            self.runners[any].silent_until = self.now + SILENT_RUNNER_MS;
        }
        if self.faults.rack {
            self.end_rack();
        }
    }

    /// Ends requests that `is_hit` picks.
    fn fail_requests(&mut self, is_hit: impl Fn(&World, usize) -> bool) {
        for request in 0..self.requests.len() {
            if !self.requests[request].ended && is_hit(self, request) {
                self.end(request, End::Failed);
            }
        }
    }

    fn reset_connections(&mut self) {
        self.fail_requests(|world, i| {
            let r = &world.requests[i];
            let broken = |runner| world.breaks(r.handler, runner).is_some();
            r.runner.is_some_and(broken)
        });
        for daemon in self.daemons.iter_mut().filter(|d| d.is_cut) {
            daemon.close_all();
        }
    }

    fn kill_daemons(&mut self) {
        let sound = (0..self.daemons.len()).filter(|i| !self.daemons[*i].is_cut);
        let sound: Vec<usize> = sound.collect();
        let first = self.random.random_range(0..KILLED_OF.min(sound.len()));
        for daemon in sound.into_iter().skip(first).step_by(KILLED_OF) {
            self.daemons[daemon].is_killed = true;
            self.outcome.killed[daemon] = true;
            self.fail_requests(|world, i| {
                let r = &world.requests[i];
                r.handler == daemon || r.origin == daemon
            });
        }
    }

    fn end_rack(&mut self) {
        for runner in 0..self.runners.len() {
            if self.runners[runner].data_centre != 0 {
                continue;
            }
            self.runners[runner].is_ended = true;
            self.runners[runner].lapses = self.now + LAPSE_MS;
            self.fail_requests(|world, i| world.requests[i].runner == Some(runner));
            for daemon in &mut self.daemons {
                daemon.close_idle(runner);
            }
        }
    }
}
