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

/// Longest interval between two reads of all rows by any other daemon, which needs them only for the members
/// and their strikes. These must be known to all daemons within 3 s.
const MEMBER_READ_INTERVAL: Duration = Duration::from_millis(2000);

/// Mean interval between two writes of a daemon without grants, of which only its presence matters. Each is
/// drawn from half to three halves of it, so that daemons that started together do not write together.
const MEMBER_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Part of the store's rate of transactions that all holders together use for waiting requests. One write
/// brings the tokens for many of them.
const HOLDER_WRITE_FRACTION: f64 = 0.5;

/// Customers' rows in a write after one conflict, and after more.
const ROWS_AFTER_CONFLICTS: [usize; 2] = [4, 1];

/// Longest random pause after a conflict, in units of the spacing of writes.
const CONFLICT_PAUSE_SPACINGS: f64 = 1.5;

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
        MEMBER_READ_INTERVAL.mul_f64(rand::random_range(0.7..1.0))
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
    /// Time of the last write.
    last: Option<Instant>,
}

/// Outcome of one write.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    /// It was accepted, failed, or there was nothing to write.
    Ended,
    /// Another daemon has changed one of the rows.
    Conflict,
}

/// Writes the daemon's row at each [`WRITE_INTERVAL`], and at once when requests wait for tokens. A daemon
/// without grants writes every few seconds.
pub async fn write_rows<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut writer = Writer::default();
    loop {
        let _ = timeout(writer.pause(&core), core.writer_wake.notified()).await;
        if writer.conflicts == 0 {
            sleep(writer.spacing(&core)).await;
        }
        core.expire_reservations(Instant::now());
        let result = writer.write_once(&core, &*store).await;
        core.tokens_freed.notify_waiters();
        if result == WriteResult::Conflict {
            writer.conflicts += 1;
            sleep(conflict_pause(&core)).await;
            core.writer_wake.notify_one();
        } else {
            writer.conflicts = 0;
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

/// Time between two writes of a holder at which all of them together stay within their part of the store's
/// rate.
fn write_spacing<D>(core: &Core<D>) -> Duration {
    let holders = core.ledger.borrow().holder_count() as f64;
    let rate = core.bounds.get().store_writes.max(1.0) * HOLDER_WRITE_FRACTION;
    Duration::from_secs_f64(holders / rate).min(WRITE_INTERVAL)
}

/// Random pause after a conflict, so that daemons that conflicted do not meet again.
fn conflict_pause<D>(core: &Core<D>) -> Duration {
    write_spacing(core).mul_f64(rand::random_range(0.0..CONFLICT_PAUSE_SPACINGS))
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
        MEMBER_WRITE_INTERVAL.mul_f64(rand::random_range(0.5..1.5))
    }

    /// Time until the next write may be sent.
    fn spacing<D>(&self, core: &Core<D>) -> Duration {
        self.last.map_or(Duration::ZERO, |at| {
            write_spacing(core).saturating_sub(at.elapsed())
        })
    }

    /// Rows of the next write. After a conflict, every other write has the own row alone, so that rows
    /// that others write do not delay it.
    fn scope(&self) -> WriteScope {
        match self.conflicts {
            0 => WriteScope::Customers(usize::MAX),
            n if !n.is_multiple_of(2) => WriteScope::OwnRow,
            2 => WriteScope::Customers(ROWS_AFTER_CONFLICTS[0]),
            _ => WriteScope::Customers(ROWS_AFTER_CONFLICTS[1]),
        }
    }

    /// Writes the row once.
    async fn write_once<D, S: Store>(&mut self, core: &Core<D>, store: &S) -> WriteResult {
        let now = Instant::now();
        let strikes = core.strikes.borrow().local_strikes(now);
        let scope = self.scope();
        self.last = Some(now);
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
