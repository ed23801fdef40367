//! Clock that goes on while the VM is suspended.

use std::time::Duration;

use nix::time::{
    ClockId,
    clock_gettime, //
};

/// Time since the VM was started, with the times for which it was suspended.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::clock::boot_time;
///
/// let before = boot_time();
/// assert!(boot_time() >= before);
/// ```
pub fn boot_time() -> Duration {
    let read =
        clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    match read {
        Ok(time) => Duration::from(time),
        Err(e) => {
            log::error!("event=clock_failed error=\"{e}\"");
            Duration::ZERO
        }
    }
}
