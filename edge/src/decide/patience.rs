//! How long a caller waits for the next event of a stream, against streams that never end because bytes come
//! now and then, and against cutting slow ones.

use std::time::Duration;

/// Shortest time that callers wait for an event.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Objectives, and longest pauses of the route, that callers wait for an event.
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

/// Time beyond the callers' patience after which a stream without an event has stalled.
const MARGIN: Duration = Duration::from_millis(250);

/// Time without a new event after which a stream has stalled: its caller has left by then. `objective` is the
/// latency objective of the route, `pause` its longest pause between two events.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::decide::stall_limit;
///
/// let ms = Duration::from_millis;
/// assert_eq!(stall_limit(ms(100), None), ms(2250));
/// assert_eq!(stall_limit(ms(1000), Some(ms(200))), ms(4250));
/// assert_eq!(stall_limit(ms(100), Some(ms(300))), ms(2650));
/// ```
pub fn stall_limit(objective: Duration, pause: Option<Duration>) -> Duration {
    let pause = pause.unwrap_or_default().saturating_mul(PATIENCE_PAUSES);
    let patience = objective.saturating_mul(PATIENCE_OBJECTIVES).max(pause);
    patience.max(MIN_PATIENCE).saturating_add(MARGIN)
}
