//! How old what is known of the store is, from the moment at which it held.

use std::time::{
    Duration,
    Instant, //
};

use super::Core;

/// Age of the last confirmation up to which the configuration and the runner entries count as current.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1800);

impl<D> Core<D> {
    /// Records that the configuration in force was the newest one at `at`.
    pub fn confirm_config(&self, at: Instant) {
        let known = self.config_confirmed.get();
        self.config_confirmed.set(known.max(Some(at)));
    }

    /// Whether the configuration in force was recently confirmed to be the newest one.
    pub fn config_fresh(&self, now: Instant) -> bool {
        self.config_confirmed
            .get()
            .is_some_and(|at| now.duration_since(at) < MAX_CONFIRMATION_AGE)
    }

    /// Time since the configuration was last known to be the newest, in milliseconds.
    pub fn config_age_ms(&self, now: Instant) -> u64 {
        self.config_confirmed
            .get()
            .map_or(u64::MAX, |at| now.duration_since(at).as_millis() as u64)
    }

    /// Records that the store gave the runner entries at `at`.
    pub fn confirm_runners(&self, at: Instant) {
        let known = self.runners_confirmed.get();
        self.runners_confirmed.set(known.max(Some(at)));
        self.entries_given.set(Some(at));
    }

    /// Whether the runner entries were recently read from the store.
    pub fn runners_fresh(&self, now: Instant) -> bool {
        self.runners_age(now).is_some()
    }

    /// Time since the store gave the runner entries, if that was recently.
    pub fn runners_age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.runners_confirmed.get()?;
        let age = now.saturating_duration_since(confirmed);
        (age < MAX_CONFIRMATION_AGE).then_some(age)
    }

    /// Records that entries of another daemon come into use, and returns true, if the own ones are not fresh and those in
    /// use are older. Their age was `age`, if that is known, at `asked` or later.
    pub fn accept_entries(&self, asked: Instant, age: Option<Duration>, now: Instant) -> bool {
        let age = age.unwrap_or(MAX_CONFIRMATION_AGE);
        let given = asked.checked_sub(age.min(MAX_CONFIRMATION_AGE));
        let accepts = !self.runners_fresh(now) && given > self.entries_given.get();
        if accepts {
            self.entries_given.set(given);
        }
        accepts
    }
}
