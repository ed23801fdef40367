//! Time since process start and wall-clock time.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

/// Clock of the daemon. State machines get its readings as arguments.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: SystemTime,
}

impl Clock {
    /// Starts the clock.
    ///
    /// # Examples
    ///
    /// ```
    /// let clock = cuminloom::kernel::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            wall: SystemTime::now(),
        }
    }

    /// Time since the clock was started; it does not go back. It stands still while the VM is
    /// suspended.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(cuminloom::kernel::Clock::start().now().as_secs() < 60);
    /// ```
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Wall-clock time in seconds since the Unix epoch.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(cuminloom::kernel::Clock::start().unix() > 1_700_000_000);
    /// ```
    pub fn unix(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs()
    }

    /// Wall-clock time of a reading of [`Clock::now`], for traces.
    ///
    /// # Examples
    ///
    /// ```
    /// let clock = cuminloom::kernel::Clock::start();
    /// assert!(clock.wall(clock.now()) >= std::time::UNIX_EPOCH);
    /// ```
    pub fn wall(&self, now: Duration) -> SystemTime {
        self.wall + now
    }
}
