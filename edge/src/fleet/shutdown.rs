//! Planned stop of a daemon: drains open requests and returns unspent tokens.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    signal::unix::{
        SignalKind,
        signal, //
    },
    time::sleep,
};

use crate::serve::Core;

/// Time for which new requests are served after the stop began: the load balancer needs two of its
/// health checks, a second apart, to send them elsewhere.
const DRAIN_DELAY: Duration = Duration::from_millis(2600);

/// Time before the end of the grace period at which the process exits in any case.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Longest time for which a daemon without open requests tries to return its tokens.
const RETURN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval between two checks of the open requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for SIGTERM or SIGINT, and then until the open requests have finished and the tokens are
/// returned, or the grace period ends.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub async fn run_until_stopped<D>(core: &Rc<Core<D>>) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    let begun = Instant::now();
    core.begin_stop(begun);
    core.writer_wake.notify_one();
    log::info!("event=stop_begun open={}", core.open_requests());
    let end = core.bounds.get().grace.saturating_sub(EXIT_MARGIN);
    sleep(DRAIN_DELAY.min(end)).await;
    core.shutdown.begin();
    while begun.elapsed() < end {
        core.writer_wake.notify_one();
        sleep(CHECK_INTERVAL).await;
        let idle = core.open_requests() == 0 && core.reservation_count() == 0;
        if idle && core.ledger.borrow().is_returned() {
            break;
        }
        if idle && begun.elapsed() > DRAIN_DELAY + RETURN_TIMEOUT {
            break;
        }
    }
    log::info!(
        "event=stopped open={} ms={}",
        core.open_requests(),
        begun.elapsed().as_millis()
    );
    // Lets the log writer, which pauses between writes, write the last lines.
    sleep(Duration::from_millis(150)).await;
    Ok(())
}
