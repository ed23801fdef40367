//! Ends of runners under one suspect.

use std::sync::Arc;

use super::{
    FleetTime,
    RunnerKey,
    Suspect,
    suspect::MIN_REQUEST_ENDS, //
};

/// Runners that end within this time under a part count as one, in milliseconds: the failure of a rack ends
/// many. One request reaches them one after the other, so it needs no such time.
const MOMENT_MS: u64 = 250;

/// Newest ends that are kept for one suspect.
pub(super) const MAX_ENDS: usize = 8;

/// End of a runner.
#[derive(Clone, Debug)]
pub(super) struct End {
    pub(super) runner: RunnerKey,
    pub(super) at: FleetTime,
    /// Whether the answer had begun. Only a complete answer outweighs such an end.
    pub(super) late: bool,
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
    pub(super) fn outweighs(self, at: FleetTime, late: bool) -> bool {
        at <= if late { self.complete } else { self.begun }
    }
}

/// What is known of one suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Ends since the last answer, in the order of their times.
    pub(super) ends: Vec<End>,
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
        if self.answered.outweighs(end.at, end.late) {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|e| e.runner == end.runner) {
            known.at = known.at.min(end.at);
            known.late &= end.late;
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
        self.ends.retain(|e| !self.answered.outweighs(e.at, e.late));
    }

    /// How well answers show that the suspect is sound, from 0 to 2. An answer that only went on for a while
    /// shows nothing of a suspect under which runners end later.
    pub(super) fn soundness(&self) -> u8 {
        match self.answered {
            Answers { complete: 1.., .. } => 2,
            Answers { begun: 1.., .. } if !self.ends.iter().any(|e| e.late) => 1,
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
    /// Whether `ends`, in the order of their times, suffice to block the suspect.
    pub(super) fn is_blocked_by<'a>(self, ends: impl Iterator<Item = &'a End> + Clone) -> bool {
        let early = match self {
            Suspect::Request(_) => ends.clone().filter(|e| !e.late).count(),
            Suspect::Part(_) => 0,
        };
        early >= MIN_REQUEST_ENDS || self.count_ends(ends) >= self.min_ends()
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
