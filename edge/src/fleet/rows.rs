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
        WRITE_INTERVAL,
        WritePlan,
        WriteScope, //
    },
    serve::Core,
};

/// Interval between two reads of all rows by a daemon that holds grants.
const READ_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval between two reads of all rows by any other daemon, which needs them only for the members and
/// their strikes. These must be known to all daemons within 3 s.
const MEMBER_READ_INTERVAL: Duration = Duration::from_millis(2000);

/// Interval between two writes of a daemon without grants, of which only its presence matters.
const MEMBER_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Conflicting writes after which the own row is written alone, so that customers' rows that others write
/// do not delay it.
const MAX_CONFLICTS: u32 = 2;

/// Longest random pause after a conflict: a few response times of the store.
const MAX_CONFLICT_PAUSE_MS: u64 = 24;

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
                sleep(after_read(&core)).await;
            }
            Err(fault) => {
                count_store_call(&core, "rows", "failed");
                log::debug!("event=rows_unread error=\"{fault}\"");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Wakes the writer if this daemon holds grants, and returns the pause before the next read.
fn after_read<D>(core: &Core<D>) -> Duration {
    let ledger = core.ledger.borrow();
    if ledger.is_holder() || ledger.has_waiting() {
        core.writer_wake.notify_one();
    }
    if ledger.is_holder() || !ledger.knows_holders() {
        READ_INTERVAL
    } else {
        MEMBER_READ_INTERVAL
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

/// State of the task that writes the rows.
#[derive(Default)]
struct Writer {
    /// Time of the first failed write; `None` while the store accepts writes.
    lost: Option<Instant>,
    /// Conflicts since the last accepted write.
    conflicts: u32,
}

/// Outcome of one write.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    /// It was accepted, failed, or there was nothing to write.
    Ended,
    /// Another daemon has changed one of the rows.
    Conflict,
}

/// Writes the daemon's row at each [`WRITE_INTERVAL`], and at once when requests wait for tokens. Without
/// grants it writes at each [`MEMBER_WRITE_INTERVAL`].
pub async fn write_rows<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut writer = Writer::default();
    loop {
        let _ = timeout(writer.pause(&core), core.writer_wake.notified()).await;
        core.expire_reservations(Instant::now());
        let result = writer.write_once(&core, &*store).await;
        core.tokens_freed.notify_waiters();
        if result == WriteResult::Conflict {
            writer.conflicts += 1;
            sleep(conflict_pause()).await;
            core.writer_wake.notify_one();
        } else {
            writer.conflicts = 0;
        }
    }
}

/// Random pause after a conflict, so that daemons that conflicted do not meet again.
fn conflict_pause() -> Duration {
    Duration::from_millis(rand::random_range(0..=MAX_CONFLICT_PAUSE_MS))
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
    /// Longest pause before the next write.
    fn pause<D>(&self, core: &Core<D>) -> Duration {
        if self.lost.is_some() {
            return RETRY_PAUSE;
        }
        let ledger = core.ledger.borrow();
        if !ledger.is_owned() || ledger.is_holder() || ledger.holds_tokens() {
            return WRITE_INTERVAL;
        }
        MEMBER_WRITE_INTERVAL
    }

    /// Rows of the next write.
    fn scope(&self) -> WriteScope {
        if self.conflicts > 0 && self.conflicts.is_multiple_of(MAX_CONFLICTS) {
            WriteScope::OwnRow
        } else {
            WriteScope::Customers
        }
    }

    /// Writes the row once.
    async fn write_once<D, S: Store>(&mut self, core: &Core<D>, store: &S) -> WriteResult {
        let now = Instant::now();
        let strikes = core.strikes.borrow().local_strikes(now);
        let scope = self.scope();
        let plan = core.ledger.borrow_mut().plan_scoped(now, strikes, scope);
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
    fn apply_commit<D>(
        &mut self,
        core: &Core<D>,
        plan: &WritePlan,
        commit: CommitOutcome,
        sent: Instant,
    ) -> WriteResult {
        let conflict = matches!(commit, CommitOutcome::Conflict(_));
        count_store_call(core, "commit", if conflict { "conflict" } else { "ok" });
        log_commit(&plan.batch, &commit, sent);
        if let Some(at) = self.lost.take() {
            log::info!(
                "event=writes_regained after_ms={}",
                at.elapsed().as_millis()
            );
        }
        let mut ledger = core.ledger.borrow_mut();
        ledger.apply_outcome(plan, commit, Instant::now());
        if ledger.is_fenced() {
            log::error!("event=row_lost cause=\"another process has taken it over\"");
            return WriteResult::Ended;
        }
        // After the own row alone, the customers' rows are still to be written.
        if conflict
            || (self.conflicts > 0 && plan.batch.customers.is_empty() && ledger.has_waiting())
        {
            return WriteResult::Conflict;
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
        if self.lost.is_none() {
            self.lost = Some(sent);
            log::warn!("event=writes_lost error=\"{fault}\"");
        }
        if let StoreError::Refused(_) | StoreError::Unreachable(_) = fault {
            core.ledger.borrow_mut().discard_plan(plan);
        }
    }
}
