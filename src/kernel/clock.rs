//! Monotonic time since the start of the daemon, and wall-clock time.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

/// Clock of the daemon. State machines don't read it; they get the time as an argument.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: SystemTime,
}

impl Clock {
    /// Starts the clock at zero.
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

    /// Time since the clock was started. It never goes back, and it stands still while the VM is
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

    /// Converts a reading of [`Clock::now`] to wall-clock time, for traces.
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
