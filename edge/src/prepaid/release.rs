//! Linear release of a reserve: what a daemon that lost the store may spend of it, by the age of its row.

use serde::{
    Deserialize,
    Serialize, //
};

/// Age of the row at which a release starts, in seconds: two write intervals and the response time of a slow
/// store.
pub(super) const RELEASE_DELAY_S: f64 = 0.7;

/// Age of the row at which the room for one large request starts to be released, in seconds. A killed process
/// is back within 4.5 s and its row is up to 0.8 s older, so that a restart does not charge the room.
const ROOM_DELAY_S: f64 = 5.5;

/// Time over which the room is released, in seconds: partitions of up to 9 s then have the whole of it.
const ROOM_TIME_S: f64 = 1.5;

/// Rule by which a row's reserve is released linearly with time. It applies beside the rule of earlier versions,
/// the lower of the two counts; a row without it is released by that rule alone.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::prepaid::LinearRelease;
///
/// let rule = LinearRelease { drip: 1_000, room: 70_000 };
/// assert_eq!(rule.released(0.5), 0);
/// assert_eq!(rule.released(2.7), 2_000);
/// assert_eq!(rule.released(7.7), 77_000);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinearRelease {
    /// Tokens released in each second.
    pub drip: u64,
    /// Tokens released in addition once the store has been unreachable for long, for one large request.
    pub room: u64,
}

impl LinearRelease {
    /// Tokens of the reserve that are released at the age `age` of the row, in seconds. Never decreases as `age`
    /// grows.
    pub fn released(&self, age: f64) -> u64 {
        let dripped = self.drip as f64 * (age - RELEASE_DELAY_S).max(0.0);
        let part = ((age - ROOM_DELAY_S) / ROOM_TIME_S).clamp(0.0, 1.0);
        (dripped + self.room as f64 * part) as u64
    }

    /// Age of the row, in seconds, from which `tokens` of the reserve are released; infinite if they never are.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_edge::prepaid::LinearRelease;
    ///
    /// let rule = LinearRelease { drip: 1_000, room: 0 };
    /// let age = rule.release_age(5_000);
    /// assert!(rule.released(age) >= 5_000 && age < 5.71);
    /// ```
    pub fn release_age(&self, tokens: u64) -> f64 {
        if tokens == 0 {
            return 0.0;
        }
        // One more token than asked for, as the released amount is rounded down.
        let tokens = tokens.saturating_add(1) as f64;
        let (drip, room) = (self.drip as f64, self.room as f64);
        let before_room = RELEASE_DELAY_S + tokens / drip;
        if before_room <= ROOM_DELAY_S {
            return before_room;
        }
        let at_room = drip * (ROOM_DELAY_S - RELEASE_DELAY_S);
        let within_room = ROOM_DELAY_S + (tokens - at_room) / (drip + room / ROOM_TIME_S);
        if within_room <= ROOM_DELAY_S + ROOM_TIME_S {
            return within_room;
        }
        RELEASE_DELAY_S + (tokens - room) / drip
    }
}
