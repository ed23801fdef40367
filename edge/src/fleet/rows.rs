//! Writes the daemon's row and reads the rows of all daemons.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::{
    sleep,
    timeout, //
};

use super::feeds::count_store_call;
use crate::{
    adapter::{
        Store,
        StoreError, //
    },
    prepaid::{
        Audit,
        Batch,
        CommitOutcome,
        Ledger,
        WRITE_INTERVAL, //
    },
    serve::Core,
};

/// Interval between two reads of all rows.
const READ_INTERVAL: Duration = Duration::from_millis(1000);

/// Response time of the store from which a commit is logged as slow.
const SLOW_COMMIT: Duration = Duration::from_millis(100);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads the rows of all daemons at a fixed interval until the process ends.
pub async fn poll_rows<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    loop {
        let asked = Instant::now();
        match store.fetch_rows().await {
            Ok(rows) => {
                count_store_call(&core, "rows", "ok");
                log::info!(
                    "event=rows_read count={} ms={}",
                    rows.rows.len(),
                    asked.elapsed().as_millis()
                );
                let old = core.ledger.borrow().audits().clone();
                core.ledger
                    .borrow_mut()
                    .apply_rows(rows, true, asked, Instant::now());
                export_audits(&core, &core.ledger.borrow(), &old);
                merge_strikes(&core);
                core.tokens_freed.notify_waiters();
                core.writer_wake.notify_one();
                sleep(READ_INTERVAL).await;
            }
            Err(fault) => {
                count_store_call(&core, "rows", "failed");
                log::debug!("event=rows_unread error=\"{fault}\"");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Merges the strikes in the rows of the other daemons.
fn merge_strikes<D>(core: &Core<D>) {
    let now = Instant::now();
    let ledger = core.ledger.borrow();
    let mut strikes = core.strikes.borrow_mut();
    for (name, row) in ledger.peer_rows() {
        if !row.strikes.is_empty() {
            strikes.set_peer_strikes(name, &row.strikes, now);
        }
    }
}

/// Writes the daemon's row at each [`WRITE_INTERVAL`], and at once when requests wait for tokens.
pub async fn write_rows<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut lost = None;
    loop {
        let wait = if lost.is_some() {
            RETRY_PAUSE
        } else {
            WRITE_INTERVAL
        };
        let _ = timeout(wait, core.writer_wake.notified()).await;
        let again = write_once(&core, &*store, &mut lost).await;
        core.tokens_freed.notify_waiters();
        if again {
            core.writer_wake.notify_one();
        }
    }
}

/// Exports the tokens of each customer to the metrics, and logs customers whose rows do not add up.
fn export_audits<D>(core: &Core<D>, ledger: &Ledger, old: &BTreeMap<String, Audit>) {
    for (name, audit) in ledger.audits() {
        let (held, used) = ledger.held_and_used(name);
        let accounts = [
            ("limit", audit.limit.cast_signed()),
            ("committed", audit.committed.cast_signed()),
            ("billed", audit.billed.cast_signed()),
            ("held", audit.held.cast_signed()),
            ("orphaned", audit.orphaned.cast_signed()),
            ("free", audit.free),
            ("held_here", held.cast_signed()),
            ("used_here", used.cast_signed()),
        ];
        for (account, tokens) in accounts {
            core.metrics
                .tokens
                .with_label_values(&[name, account])
                .set(tokens);
        }
        // Rows read in several pages are no consistent snapshot, so only an imbalance that two
        // reads show alike is logged.
        if !audit.is_balanced() && old.get(name) == Some(audit) {
            log::error!(
                "event=audit_unbalanced customer={name} committed={} billed={} held={} orphaned={}",
                audit.committed,
                audit.billed,
                audit.held,
                audit.orphaned
            );
        }
    }
}

/// Logs a commit that conflicted or that the store took long for.
fn log_commit(batch: &Batch, commit: &CommitOutcome, sent: Instant) {
    let time = sent.elapsed();
    let outcome = match commit {
        CommitOutcome::Conflict(_) => "conflict",
        CommitOutcome::Done { .. } if time >= SLOW_COMMIT => "slow",
        CommitOutcome::Done { .. } => return,
    };
    log::info!(
        "event=commit outcome={outcome} customers={} ms={}",
        batch.customers.len(),
        time.as_millis()
    );
}

/// Writes the row once. Returns whether to write again at once, because of a conflict.
async fn write_once<D, S: Store>(core: &Core<D>, store: &S, lost: &mut Option<Instant>) -> bool {
    let now = Instant::now();
    let strikes = core.strikes.borrow().local_strikes(now);
    let plan = core.ledger.borrow_mut().plan_write(now, strikes);
    let Some(plan) = plan else {
        return false;
    };
    match store.commit(&plan.batch).await {
        Ok(commit) => {
            let conflict = matches!(commit, CommitOutcome::Conflict(_));
            count_store_call(core, "commit", if conflict { "conflict" } else { "ok" });
            log_commit(&plan.batch, &commit, now);
            if let Some(at) = lost.take() {
                log::info!(
                    "event=writes_regained after_ms={}",
                    at.elapsed().as_millis()
                );
            }
            let mut ledger = core.ledger.borrow_mut();
            ledger.apply_outcome(&plan, commit, Instant::now());
            if ledger.is_fenced() {
                log::error!("event=row_lost cause=\"another process has taken it over\"");
                return false;
            }
            conflict
        }
        Err(fault) => {
            count_store_call(core, "commit", "failed");
            if lost.is_none() {
                *lost = Some(now);
                log::warn!("event=writes_lost error=\"{fault}\"");
            }
            if let StoreError::Refused(_) | StoreError::Unreachable(_) = fault {
                core.ledger.borrow_mut().discard_plan(&plan);
            }
            false
        }
    }
}
