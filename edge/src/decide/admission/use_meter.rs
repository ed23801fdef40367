//! Use of a VM's link and processor, smoothed.

use std::time::{
    Duration,
    Instant, //
};

/// Time over which use is smoothed. Short bursts are no overload.
const SMOOTHING: Duration = Duration::from_millis(1000);

/// Mean lag of the event loop up to which a busy processor is no overload: the scheduler stops a process that
/// has used its share, for tens of milliseconds. A share that is not enforced has no such effect.
const MAX_LAG: Duration = Duration::from_millis(20);

/// Largest processor use that counts while the event loop does not lag.
const CALM_CPU_USE: f64 = 0.7;

/// What a VM carries, by its settings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Bytes a second of the link in each direction; `None` if it is not known.
    pub link_rate: Option<f64>,
    /// Processor share in cores; `None` if it is not known.
    pub cores: Option<f64>,
}

/// What a process has used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Bytes read from all sockets.
    pub read: u64,
    /// Bytes written to all sockets.
    pub written: u64,
    /// Processor time.
    pub cpu: Duration,
    /// Delay of the last timer of the event loop.
    pub lag: Duration,
}

/// Smoothed use of link and processor.
#[derive(Debug, Default)]
pub(super) struct UseMeter {
    last: Option<(Instant, Usage)>,
    /// Use of the link in the busier direction.
    link: f64,
    cpu: f64,
    lag: f64,
}

impl UseMeter {
    /// Takes in the use until `now`. Returns the time since the last call.
    pub(super) fn update(
        &mut self,
        now: Instant,
        usage: Usage,
        capacity: Capacity,
    ) -> Option<Duration> {
        let (at, before) = self.last.replace((now, usage))?;
        let passed = now.saturating_duration_since(at);
        let seconds = passed.as_secs_f64();
        if seconds <= 0.0 {
            return None;
        }
        let rate = |new: u64, old: u64| new.saturating_sub(old) as f64 / seconds;
        let bytes = rate(usage.read, before.read).max(rate(usage.written, before.written));
        let cpu = usage.cpu.saturating_sub(before.cpu).as_secs_f64() / seconds;
        let part = |used: f64, of: Option<f64>| of.filter(|n| *n > 0.0).map_or(0.0, |n| used / n);
        let weight = 1.0 - (-seconds / SMOOTHING.as_secs_f64()).exp();
        let smooth = |mean: &mut f64, new: f64| *mean += weight * (new - *mean);
        smooth(&mut self.link, part(bytes, capacity.link_rate));
        smooth(&mut self.cpu, part(cpu, capacity.cores));
        smooth(&mut self.lag, usage.lag.as_secs_f64());
        Some(passed)
    }

    /// Use of the link in its busier direction, 1 for all of it.
    pub(super) fn link_use(&self) -> f64 {
        self.link
    }

    /// Use of the scarcer of link and processor, 1 for all of it.
    pub(super) fn load(&self) -> f64 {
        let lags = self.lag > MAX_LAG.as_secs_f64();
        let cpu = if lags {
            self.cpu
        } else {
            self.cpu.min(CALM_CPU_USE)
        };
        self.link.max(cpu)
    }
}
