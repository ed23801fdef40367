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

/// Time for which new requests are served after the stop began; the balancer needs two of its
/// looks, a second apart, to send them elsewhere.
const LAST_CALLS: Duration = Duration::from_millis(2600);

/// Time before the end of the grace at which the process ends in any case.
const MARGIN: Duration = Duration::from_millis(400);

/// Longest time for which an idle daemon tries to give its tokens back.
const RETURN_TIME: Duration = Duration::from_millis(1500);

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
    let end = core.bounds.get().grace.saturating_sub(MARGIN);
    sleep(LAST_CALLS.min(end)).await;
    core.closing.begin();
    while begun.elapsed() < end {
        core.wanted.notify_one();
        sleep(LOOK).await;
        if core.open() == 0 && core.ledger.borrow().is_returned() {
            break;
        }
        if core.open() == 0 && begun.elapsed() > LAST_CALLS + RETURN_TIME {
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
