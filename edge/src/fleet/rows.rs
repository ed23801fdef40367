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

use super::feeds::{
    FeedStatus,
    count_store_call, //
};
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
        Pacing,
        WritePlan,
        read_interval,
        write_interval, //
    },
    serve::Core,
};

/// Response time of the store from which a commit is logged as slow.
const SLOW_COMMIT: Duration = Duration::from_millis(100);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads the rows of all daemons at a fixed interval until the process ends.
pub async fn poll_rows<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut status = FeedStatus::new("rows");
    loop {
        let asked = Instant::now();
        match store.fetch_rows().await {
            Ok(rows) => {
                status.succeeded();
                count_store_call(&core, "rows", "ok");
                core.note_era(rows.era, "rows");
                log::info!(
                    "event=rows_read count={} ms={}",
                    rows.rows.len(),
                    asked.elapsed().as_millis()
                );
                core.apply_shares(&rows.rows, rows.era);
                let old = core.ledger.borrow().audits().clone();
                core.ledger
                    .borrow_mut()
                    .apply_rows(rows, true, asked, Instant::now());
                export_audits(&core, &core.ledger.borrow(), &old);
                merge_observations(&core);
                core.tokens_freed.notify_waiters();
                let _ = timeout(after_read(&core), core.reader_wake.notified()).await;
            }
            Err(fault) => {
                count_store_call(&core, "rows", "failed");
                status.failed(&fault);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Wakes the writer if this daemon holds grants, and returns the pause before the next read.
fn after_read<D>(core: &Core<D>) -> Duration {
    let ledger = core.ledger.borrow();
    if ledger.is_holder() || ledger.has_waiting() || ledger.is_recovering() {
        core.writer_wake.notify_one();
    }
    read_interval(&ledger, Instant::now(), rand::random())
}

/// Merges what the other daemons report, and takes over what the previous process on this VM has reported.
fn merge_observations<D>(core: &Core<D>) {
    let now = Instant::now();
    core.restore_observations(now);
    core.update_shares(now);
    let ledger = core.ledger.borrow();
    for (name, row) in ledger.peer_rows() {
        core.merge_observations(name, &row.observed, now);
    }
}

/// State of the task that writes the rows.
#[derive(Default)]
struct Writer {
    /// Time of the first failed write; `None` while the store accepts writes.
    lost: Option<Instant>,
    pacing: Pacing,
}

/// Outcome of one write.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    /// It was accepted, failed, or there was nothing to write.
    Ended,
    /// Rows of customers are still to be written: another daemon has changed one of them.
    Unfinished,
}

/// Writes the daemon's row at the intervals of [`write_interval`], and at once when requests wait for tokens.
pub async fn write_rows<D: 'static, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut writer = Writer::default();
    loop {
        let _ = timeout(writer.interval(&core), core.writer_wake.notified()).await;
        sleep(writer.spacing(&core)).await;
        core.expire_reservations(Instant::now());
        let result = writer.write_once(&core, &*store).await;
        core.tokens_freed.notify_waiters();
        if result == WriteResult::Unfinished {
            writer.pacing.record_conflict();
            sleep(writer.conflict_pause(&core)).await;
            core.writer_wake.notify_one();
        } else {
            writer.pacing.record_success();
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

impl Writer {
    /// Longest time until the next write.
    fn interval<D>(&self, core: &Core<D>) -> Duration {
        if self.lost.is_some() {
            return RETRY_PAUSE;
        }
        write_interval(&core.ledger.borrow(), rand::random())
    }

    /// Time until the next write may be sent.
    fn spacing<D>(&self, core: &Core<D>) -> Duration {
        let rate = core.bounds.get().store_writes;
        let ledger = core.ledger.borrow();
        self.pacing.spacing(&ledger, rate, Instant::now())
    }

    /// Pause after a conflict.
    fn conflict_pause<D>(&self, core: &Core<D>) -> Duration {
        let rate = core.bounds.get().store_writes;
        let ledger = core.ledger.borrow();
        self.pacing.conflict_pause(&ledger, rate, rand::random())
    }

    /// Writes the row once.
    async fn write_once<D: 'static, S: Store>(
        &mut self,
        core: &Rc<Core<D>>,
        store: &S,
    ) -> WriteResult {
        let now = Instant::now();
        let observed = core.own_observations(now);
        let scope = self.pacing.scope(&core.ledger.borrow(), now);
        self.pacing.record_write(now);
        let plan = core.ledger.borrow_mut().plan_scoped(now, observed, scope);
        let Some(plan) = plan else {
            return WriteResult::Ended;
        };
        match store.commit(&plan.batch).await {
            Ok(commit) => self.apply_commit(core, &plan, commit, now),
            Err(fault) => {
                self.record_failure(core, &plan, &fault, now);
                WriteResult::Ended
            }
        }
    }

    /// Applies the store's answer to the write `plan`, which was sent at `sent`.
    fn apply_commit<D: 'static>(
        &mut self,
        core: &Rc<Core<D>>,
        plan: &WritePlan,
        commit: CommitOutcome,
        sent: Instant,
    ) -> WriteResult {
        let conflict = matches!(commit, CommitOutcome::Conflict(_));
        count_store_call(core, "commit", if conflict { "conflict" } else { "ok" });
        log_commit(&plan.batch, &commit, sent);
        core.record_writes(false);
        if let (false, Some((_, row))) = (conflict, &plan.batch.daemon) {
            core.mark_told(&row.observed.streams);
        }
        if let Some(at) = self.lost.take() {
            log::info!(
                "event=writes_regained after_ms={}",
                at.elapsed().as_millis()
            );
        }
        core.note_era(commit.era(), "commit");
        let mut ledger = core.ledger.borrow_mut();
        ledger.apply_outcome(plan, commit, Instant::now());
        if conflict && ledger.older_rows() > 0 {
            log::warn!("event=rows_older count={}", ledger.older_rows());
        }
        drop(ledger);
        core.tell_grants();
        core.restore_observations(Instant::now());
        if core.ledger.borrow().is_fenced() {
            log::error!("event=row_lost cause=\"another process has taken it over\"");
            return WriteResult::Ended;
        }
        if conflict || self.pacing.leaves_rows() {
            return WriteResult::Unfinished;
        }
        WriteResult::Ended
    }

    /// Records a write that failed or whose outcome is unknown.
    fn record_failure<D>(
        &mut self,
        core: &Core<D>,
        plan: &WritePlan,
        fault: &StoreError,
        sent: Instant,
    ) {
        count_store_call(core, "commit", "failed");
        core.record_writes(true);
        if self.lost.is_none() {
            self.lost = Some(sent);
            log::warn!("event=writes_lost error=\"{fault}\"");
        }
        if let StoreError::Refused(_) | StoreError::Unreachable(_) = fault {
            core.ledger.borrow_mut().discard_plan(plan);
        }
    }
}
