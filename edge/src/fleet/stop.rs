//! The planned stop of a daemon.

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

/// Time for which new connections are taken after the stop began; the balancer needs two of its
/// looks, a second apart, to send them elsewhere.
const LAST_CALLS: Duration = Duration::from_millis(2600);

/// Time before the end of the grace at which the process ends in any case.
const MARGIN: Duration = Duration::from_millis(400);

/// Pause between two looks at the open requests.
const LOOK: Duration = Duration::from_millis(50);

/// Waits for SIGTERM or SIGINT, then until open requests have ended or the grace is over.
///
/// # Errors
///
/// Fails if the signals can't be watched.
pub async fn run_until_stopped<D>(core: &Rc<Core<D>>) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    let begun = Instant::now();
    core.stop(begun);
    core.wanted.notify_one();
    log::info!("event=stop_begun open={}", core.open());
    let end = core.bounds.grace.saturating_sub(MARGIN);
    let mut idle_since = None;
    loop {
        sleep(LOOK).await;
        let time = begun.elapsed();
        if time >= end {
            break;
        }
        if core.open() > 0 || time < LAST_CALLS {
            idle_since = None;
            continue;
        }
        let since = *idle_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= 4 * LOOK && core.ledger.borrow().is_returned() {
            break;
        }
        core.wanted.notify_one();
        if since.elapsed() > Duration::from_secs(1) {
            break;
        }
    }
    log::info!(
        "event=stopped open={} ms={}",
        core.open(),
        begun.elapsed().as_millis()
    );
    // The writer of the log pauses between writes.
    sleep(Duration::from_millis(150)).await;
    Ok(())
}
