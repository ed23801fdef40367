//! Planned stop of a daemon: drains open requests and returns unspent tokens.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::{
    signal::unix::{
        SignalKind,
        signal, //
    },
    time::sleep,
};

use crate::{
    clock::boot_time,
    prepaid::Ledger,
    serve::Core, //
};

/// Interval between two checks of the open requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for the log writer, which pauses between writes, to write the last lines.
const LOG_TIME: Duration = Duration::from_millis(150);

/// Whether there is nothing that a further write of this process could return.
fn returns_nothing(ledger: &Ledger) -> bool {
    ledger.is_fenced() || ledger.is_returned()
}

/// Waits for SIGTERM or SIGINT, and then until the open requests have finished and the tokens are
/// returned, or the grace period is nearly over. What is still open then gets an answer that says whether the
/// request may have run.
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
    let stop = core.begin_stop(boot_time());
    log::info!("event=stop_begun open={}", core.open_requests());
    loop {
        core.writer_wake.notify_one();
        sleep(CHECK_INTERVAL).await;
        let now = boot_time();
        if !stop.accepts(now) && !core.shutdown.has_begun() {
            core.shutdown.begin();
        }
        if stop.must_answer(now) {
            core.answer_open_requests();
        }
        let open =
            core.open_requests() > 0 || core.reservation_count() > 0 || !core.has_told_unresolved();
        if stop.must_exit(now, open, returns_nothing(&core.ledger.borrow())) {
            break;
        }
    }
    log::info!(
        "event=stopped open={} returned={} ms={}",
        core.open_requests(),
        core.ledger.borrow().is_returned(),
        stop.elapsed(boot_time()).as_millis()
    );
    sleep(LOG_TIME).await;
    Ok(())
}
