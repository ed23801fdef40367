//! What may have ended a runner, and what daemons report of it.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    super::{
        Fingerprint,
        PromptPart, //
    },
    record::EndKind,
};

/// Ends of different runners at different moments, without an answer since, from which a prompt part is
/// blocked. Runners also end for other reasons while they have a request with a rare part.
const MIN_PART_ENDS: usize = 3;

/// As [`MIN_PART_ENDS`], for a whole request that was not yet answered. Sound requests are rarely repeated.
pub(super) const MIN_REQUEST_ENDS: usize = 2;

/// As [`MIN_REQUEST_ENDS`], including ends after the answer had begun. A long stream loses its runner more
/// often to other requests than one that has just been sent.
const MIN_LATE_REQUEST_ENDS: usize = 3;

/// As [`MIN_PART_ENDS`], including ends after requests with the part had been given up. Many sound requests may have been
/// given up at the same runners.
pub(super) const MIN_UNRESOLVED_PART_ENDS: usize = 5;

/// Milliseconds on the clock of the store, which all daemons know.
pub type FleetTime = u64;

/// Hash of the id and the start of a runner.
pub type RunnerKey = u32;

/// What may have ended a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspect {
    /// A request, whenever it is repeated.
    #[serde(rename = "r")]
    Request(Fingerprint),
    /// A prompt part, in any request.
    #[serde(rename = "p")]
    Part(u64),
}

impl Suspect {
    /// Ends from which the suspect is blocked, whenever they were.
    pub(super) fn min_ends(self) -> usize {
        match self {
            Suspect::Request(_) => MIN_LATE_REQUEST_ENDS,
            Suspect::Part(_) => MIN_PART_ENDS,
        }
    }
}

impl std::fmt::Display for Suspect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Suspect::Request(id) => write!(f, "request:{id:016x}"),
            Suspect::Part(id) => write!(f, "part:{id:x}"),
        }
    }
}

/// Suspects of a request with this fingerprint and these shared parts.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::{Suspect, suspects};
///
/// assert_eq!(suspects(7, &[]), [Suspect::Request(7)]);
/// ```
pub fn suspects(request: Fingerprint, shared_parts: &[PromptPart]) -> Vec<Suspect> {
    let parts = shared_parts.iter().map(|p| Suspect::Part(p.id));
    std::iter::once(Suspect::Request(request))
        .chain(parts)
        .collect()
}

/// What a daemon reports of one suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The suspect.
    #[serde(rename = "s")]
    pub suspect: Suspect,
    /// Runners that ended, with the times.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<(RunnerKey, FleetTime)>,
    /// As `ends`, for runners whose answer had begun. Daemons of earlier versions don't read them.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub late_ends: Vec<(RunnerKey, FleetTime)>,
    /// As `ends`, for runners at which such requests had been given up. Daemons of earlier versions don't read them.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unresolved_ends: Vec<(RunnerKey, FleetTime)>,
    /// Time of the last answer that went on for a while; 0 for none.
    #[serde(rename = "a", default)]
    pub answered: FleetTime,
    /// Time of the last complete answer; 0 for none.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub completed: FleetTime,
    /// Time of the last request that was refused; 0 for none.
    #[serde(rename = "q", default)]
    pub refused: FleetTime,
}

impl SuspectReport {
    /// Ends of one kind.
    pub(super) fn ends_of(&self, kind: EndKind) -> &[(RunnerKey, FleetTime)] {
        match kind {
            EndKind::Early => &self.ends,
            EndKind::Late => &self.late_ends,
            EndKind::Unresolved => &self.unresolved_ends,
        }
    }

    /// All ends.
    pub fn all_ends(&self) -> impl Iterator<Item = (RunnerKey, FleetTime)> {
        let ends = self.ends.iter().chain(&self.late_ends);
        ends.chain(&self.unresolved_ends).copied()
    }

    /// Number of ends.
    pub(super) fn count_ends(&self) -> usize {
        self.all_ends().count()
    }

    /// Time of the last end; 0 for none.
    pub(super) fn newest_end(&self) -> FleetTime {
        self.all_ends().map(|(_, at)| at).max().unwrap_or(0)
    }
}

fn is_zero(time: &FleetTime) -> bool {
    *time == 0
}
