//! Ends of runners under one suspect.

use std::sync::Arc;

use super::{
    FleetTime, RunnerKey, Suspect,
    suspect::{
        MIN_REQUEST_ENDS,
        MIN_UNRESOLVED_PART_ENDS, //
    },
};

/// Runners that end within this time under a part count as one, in milliseconds: the failure of a rack ends
/// many. One request reaches them one after the other, so it needs no such time.
const MOMENT_MS: u64 = 250;

/// Runners that may end for each end under a part that is blocked for requests that were given up. Where more end, such
/// requests are found at many of them by chance.
const MAX_ENDS_PER_PART_END: usize = 4;

/// Newest ends that are kept for one suspect.
pub(super) const MAX_ENDS: usize = 8;

/// How far a request had come when its runner ended, from the strongest evidence to the weakest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EndKind {
    /// The answer had not begun.
    Early,
    /// The answer had begun. Only a complete answer outweighs such an end.
    Late,
    /// The request had been given up, and the runner may have been done with it. A complete answer outweighs all such
    /// ends, also later ones.
    Unresolved,
}

impl EndKind {
    /// All kinds.
    pub(super) const ALL: [EndKind; 3] = [EndKind::Early, EndKind::Late, EndKind::Unresolved];
}

/// End of a runner.
#[derive(Clone, Debug)]
pub(super) struct End {
    pub(super) runner: RunnerKey,
    pub(super) at: FleetTime,
    pub(super) kind: EndKind,
    /// Daemon that reported it first; `None` if it is this one.
    pub(super) source: Option<Arc<str>>,
}

/// Times of the last answers; 0 for none.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Answers {
    /// Of one that went on for a while.
    pub(super) begun: FleetTime,
    /// Of a complete one.
    pub(super) complete: FleetTime,
}

impl Answers {
    /// The later ones of both.
    pub(super) fn max(self, other: Answers) -> Answers {
        Answers {
            begun: self.begun.max(other.begun),
            complete: self.complete.max(other.complete),
        }
    }

    /// Whether an answer outweighs an end at `at`.
    pub(super) fn outweighs(self, at: FleetTime, kind: EndKind) -> bool {
        at <= match kind {
            EndKind::Early => self.begun,
            EndKind::Late => self.complete,
            EndKind::Unresolved if self.complete > 0 => FleetTime::MAX,
            EndKind::Unresolved => 0,
        }
    }
}

/// What is known of one suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Ends since the last answer, in the order of their times.
    pub(super) ends: Vec<End>,
    /// Runners whose ends others report and an answer of this daemon outweighs, after requests had been given up.
    pub(super) outweighed: Vec<RunnerKey>,
    /// Last answers that are known.
    pub(super) answered: Answers,
    /// Time of the last request refused by any daemon; 0 for none.
    pub(super) refused: FleetTime,
    /// Time of the last request refused by this one.
    pub(super) own_refused: FleetTime,
    /// Time until which own answers are reported, because another daemon has reported ends before them.
    pub(super) vouch_until: FleetTime,
    /// Time of the last trial by this daemon.
    pub(super) tried: FleetTime,
}

impl Record {
    /// Adds an end unless it is known. Returns whether it was added.
    pub(super) fn add_end(&mut self, end: End) -> bool {
        if self.answered.outweighs(end.at, end.kind) {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|e| e.runner == end.runner) {
            known.at = known.at.min(end.at);
            known.kind = known.kind.min(end.kind);
            if end.source.is_none() {
                known.source = None;
            }
            return false;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|e| e.at);
        if self.ends.len() > MAX_ENDS {
            self.drop_end();
        }
        true
    }

    /// Adds a runner whose end after a request had been given up is outweighed.
    pub(super) fn add_outweighed(&mut self, runner: RunnerKey) {
        if self.outweighed.len() < MAX_ENDS && !self.outweighed.contains(&runner) {
            self.outweighed.push(runner);
        }
    }

    /// Drops the oldest end at the same moment as the one before it, or else the oldest one.
    fn drop_end(&mut self) {
        let pairs = self.ends.windows(2);
        let same = pairs.map(|pair| pair[1].at - pair[0].at < MOMENT_MS);
        let index = same.enumerate().find(|(_, same)| *same);
        self.ends.remove(index.map_or(0, |(i, _)| i + 1));
    }

    /// Records answers, which clear the suspect of the ends before them.
    pub(super) fn set_answered(&mut self, answers: Answers) {
        self.answered = self.answered.max(answers);
        self.ends.retain(|e| !self.answered.outweighs(e.at, e.kind));
    }

    /// How well answers show that the suspect is sound, from 0 to 2. An answer that only went on for a while
    /// shows nothing of a suspect under which runners end later.
    pub(super) fn soundness(&self) -> u8 {
        match self.answered {
            Answers { complete: 1.., .. } => 2,
            Answers { begun: 1.., .. } if self.ends.iter().all(|e| e.kind == EndKind::Early) => 1,
            _ => 0,
        }
    }

    /// Time of the last sign that the evidence is still needed.
    pub(super) fn fresh_at(&self) -> FleetTime {
        let seen = self.last_end().max(self.answered.begun);
        seen.max(self.refused).max(self.vouch_until)
    }

    /// Time of the last end.
    pub(super) fn last_end(&self) -> FleetTime {
        self.ends.last().map_or(0, |e| e.at)
    }
}

impl Suspect {
    /// Whether `ends`, in the order of their times, suffice to block the suspect. `all_ends` counts the runners that have
    /// ended since the first of them, for whatever reason.
    pub(super) fn is_blocked_by<'a>(
        self,
        ends: impl Iterator<Item = &'a End> + Clone,
        all_ends: impl Fn() -> usize,
    ) -> bool {
        let up_to = |kind| self.count_ends(ends.clone().filter(move |e| e.kind <= kind));
        let all = up_to(EndKind::Unresolved);
        match self {
            Suspect::Request(_) => {
                up_to(EndKind::Early) >= MIN_REQUEST_ENDS || all >= self.min_ends()
            }
            Suspect::Part(_) => {
                let stands_out = || all * MAX_ENDS_PER_PART_END >= all_ends();
                up_to(EndKind::Late) >= self.min_ends()
                    || (all >= MIN_UNRESOLVED_PART_ENDS && stands_out())
            }
        }
    }

    /// Number of `ends` that count, in the order of their times.
    pub(super) fn count_ends<'a>(self, ends: impl Iterator<Item = &'a End>) -> usize {
        let gap = match self {
            Suspect::Request(_) => 0,
            Suspect::Part(_) => MOMENT_MS,
        };
        let mut count = 0;
        let mut begun = None;
        for end in ends {
            if begun.is_none_or(|begun| end.at >= begun + gap) {
                begun = Some(end.at);
                count += 1;
            }
        }
        count
    }
}
