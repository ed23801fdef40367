//! Tests of single rules of the share manager and the audit.

use std::time::Duration;

use cuminloom::{
    budget::{
        Action,
        BilledTokens,
        Discrepancy,
        Event,
        Mode,
        ReserveOutcome,
        Row,
        Share,
        ShareManager,
        Transfer,
        TransferId,
        audit, //
    },
    model::BudgetId,
    store::StoreError,
};

const INC: &str = "vm-1.0a";

/// A share manager with the budget row that it works on, and a fake clock.
struct Harness {
    manager: ShareManager,
    row: Row,
    version: u64,
    now: Duration,
    id: BudgetId,
    /// Commits of the row so far.
    commits: u64,
}

impl Harness {
    fn new(limit: u64) -> Self {
        let mut manager = ShareManager::start(INC.into(), 1);
        manager.handle(Duration::ZERO, Event::Mode(Mode::Attached));
        Self {
            manager,
            row: Row::create("anod".into(), limit),
            version: 1,
            now: Duration::ZERO,
            id: "chat".into(),
            commits: 0,
        }
    }

    /// Reserves tokens without answering any action.
    fn reserve(&mut self, bound: u64) -> ReserveOutcome {
        self.manager.reserve(self.now, &self.id, bound)
    }

    fn handle(&mut self, event: Event) {
        self.manager.handle(self.now, event);
    }

    /// Answers reads, commits and issues until nothing is left to do; returns the other actions.
    fn run_until_idle(&mut self) -> Vec<Action> {
        let mut others = Vec::new();
        loop {
            let actions = self.manager.poll(self.now);
            if actions.is_empty() {
                return others;
            }
            for action in actions {
                match self.execute(action) {
                    Ok(event) => self.handle(event),
                    Err(action) => others.push(*action),
                }
            }
        }
    }

    /// Carries out a read, a commit or an issue and returns its event; gives other actions back.
    fn execute(&mut self, action: Action) -> Result<Event, Box<Action>> {
        Ok(match action {
            Action::Read { budget } => Event::Row {
                budget,
                row: Some((self.version, self.row.clone())),
            },
            Action::Commit {
                budget,
                expect,
                row,
            } => {
                assert_eq!(expect, self.version);
                (self.row, self.version) = (row, expect + 1);
                self.commits += 1;
                let version = self.version;
                Event::Committed { budget, version }
            }
            Action::Issue { budget, total } => Event::Issued { budget, total },
            other => return Err(Box::new(other)),
        })
    }

    /// Runs a request that uses `used` tokens; returns whether it was admitted.
    fn run_request(&mut self, bound: u64, used: u64) -> bool {
        let held = match self.reserve(bound) {
            ReserveOutcome::Wait => {
                self.run_until_idle();
                self.reserve(bound)
            }
            answer => answer,
        };
        let ReserveOutcome::Held(held) = held else {
            return false;
        };
        self.manager.settle(self.now, held, used);
        true
    }

    /// The share of the incarnation in the row.
    fn share(&self) -> Share {
        self.row.shares.get(INC).copied().unwrap_or_default()
    }

    fn advance_clock(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
    }
}

/// Guards against drawing twice when the answer to an applied commit is lost.
#[test]
fn lost_answer_of_an_applied_draw_is_read_back() {
    let mut harness = Harness::new(1_000);
    assert_eq!(harness.reserve(10), ReserveOutcome::Wait);
    let read = harness.manager.poll(harness.now).remove(0);
    let row = harness.execute(read).unwrap();
    harness.handle(row);
    let commit = harness.manager.poll(harness.now).remove(0);
    harness.execute(commit).unwrap();
    let (budget, fault) = (harness.id.clone(), StoreError::Unknown);
    harness.handle(Event::Failed { budget, fault });
    assert_eq!(harness.run_until_idle(), []);
    harness.advance_clock(1);
    assert!(matches!(
        harness.run_until_idle()[..],
        [Action::Retry { .. }]
    ));
    assert_eq!((harness.commits, harness.share().drawn), (1, 10));
    assert!(harness.run_request(10, 10));
}

/// Guards against spending tokens whose return was committed when the answer to the commit is lost.
#[test]
fn tokens_of_an_unanswered_return_stay_returned() {
    let mut harness = Harness::new(100_000);
    (0..100).for_each(|_| assert!(harness.run_request(100, 100)));
    harness.advance_clock(100);
    // The share is idle: the witness logs the lower issued count, then the row is read and written.
    let commit = loop {
        let action = harness.manager.poll(harness.now).remove(0);
        if matches!(action, Action::Commit { .. }) {
            break action;
        }
        let event = harness.execute(action).unwrap();
        harness.handle(event);
    };
    let (budget, fault) = (harness.id.clone(), StoreError::Unknown);
    harness.handle(Event::Failed { budget, fault });
    // The commit is not applied yet but may still be, so nothing may be spent from the old share.
    assert_eq!(harness.reserve(1), ReserveOutcome::Wait);
    harness.execute(commit).unwrap();
    harness.advance_clock(1);
    harness.run_until_idle();
    assert!(harness.run_request(1, 1));
    let statement = harness.manager.share_states().next().unwrap();
    let share = harness.share();
    assert!(statement.issued <= share.drawn - share.returned);
}

/// Guards against an audit that misses a discrepancy of one token in any count.
#[test]
fn audit_names_a_leak_of_one_token() {
    let id: BudgetId = "chat".into();
    let mut row = Row::create("anod".into(), 1_000);
    let share = |drawn, billed| Share {
        drawn,
        billed,
        ..Share::default()
    };
    row.update_share("vm-1.0a", share(100, 100)).unwrap();
    row.remove_share("vm-1.0a").unwrap();
    row.update_share("vm-2.0b", share(50, 50)).unwrap();
    let bills = |a: u64, b: u64| BilledTokens::from([("vm-1.0a".into(), a), ("vm-2.0b".into(), b)]);
    let found = |bills: &BilledTokens| audit(&id, &row, bills, &[]).discrepancies;
    assert_eq!(found(&bills(100, 50)), []);
    let (settled, billed) = (101, 51);
    assert_eq!(
        found(&bills(settled, 50)),
        [Discrepancy::Settled {
            bills: 101,
            row: 100
        }]
    );
    let inc = "vm-2.0b".into();
    assert_eq!(
        found(&bills(100, billed)),
        [Discrepancy::Billed {
            inc,
            bills: 51,
            row: 50
        }]
    );
    let mut short = row.clone();
    short.shares.get_mut("vm-2.0b").unwrap().drawn -= 1;
    let inc = "vm-2.0b".into();
    assert_eq!(
        audit(&id, &short, &bills(100, 50), &[]).discrepancies,
        [Discrepancy::Negative { inc, missing: 1 }]
    );
    row.limit = 149;
    assert_eq!(
        audit(&id, &row, &bills(100, 50), &[]).discrepancies,
        [Discrepancy::Overdrawn { tokens: 1 }]
    );
}

/// Guards against an admission that waits for a message although enough tokens are issued.
#[test]
fn admission_on_issued_tokens_sends_nothing() {
    let mut harness = Harness::new(10_000_000);
    for _ in 0..300 {
        assert!(harness.run_request(1_000, 100));
        harness.run_until_idle();
        harness.advance_clock(1);
    }
    for _ in 0..300 {
        // Reserved without an answer to any action.
        let held = match harness.reserve(100) {
            ReserveOutcome::Held(held) => held,
            other => panic!("{other:?}"),
        };
        harness.manager.settle(harness.now, held, 10);
        harness.run_until_idle();
        harness.advance_clock(1);
    }
    assert!(
        harness.commits <= 600 * 20 / 1_000,
        "{} commits",
        harness.commits
    );
}

/// Guards against a share that keeps tokens beyond a lowered limit, and against draws below 0 free.
#[test]
fn lowered_limit_recalls_the_share() {
    let mut harness = Harness::new(100_000);
    (0..100).for_each(|_| assert!(harness.run_request(100, 100)));
    assert!(harness.share().outstanding() > Some(0));
    let lowered = harness
        .row
        .lower_limit(harness.share().billed.max(10_000))
        .unwrap();
    harness.version += 1;
    assert_eq!(lowered.in_force, harness.row.limit + lowered.pending);
    let budget = harness.id.clone();
    harness.handle(Event::Short { budget });
    harness.run_until_idle();
    assert!(
        harness.row.breakdown().free >= 0,
        "{:?}",
        harness.row.breakdown()
    );
    assert!(!harness.run_request(1_000, 0));
}

/// Guards against a planned stop that leaves tokens or shares in the row.
#[test]
fn planned_stop_returns_everything() {
    let mut harness = Harness::new(100_000);
    assert!(harness.run_request(100, 30));
    let ReserveOutcome::Held(open) = harness.reserve(70) else {
        panic!("70 tokens are left");
    };
    harness.handle(Event::Stop);
    harness.run_until_idle();
    assert!(matches!(harness.reserve(1), ReserveOutcome::Refused(_)));
    assert!(!harness.manager.is_done());
    harness.manager.settle(harness.now, open, 50);
    let (budget, total) = (harness.id.clone(), 80);
    harness.handle(Event::Billed { budget, total });
    harness.run_until_idle();
    assert!(harness.manager.is_done());
    assert!(harness.row.shares.is_empty());
    assert_eq!(
        (harness.row.settled, harness.row.breakdown().free),
        (80, 99_920)
    );
}

/// Guards against an overflow and a request that waits forever when its bound exceeds every budget.
#[test]
fn enormous_bound_is_refused() {
    let mut harness = Harness::new(1_000);
    assert!(!harness.run_request(u64::MAX, 0));
    harness.advance_clock(60);
    assert!(harness.run_request(1_000, 0));
}

/// Guards against a repeated transfer that adds its tokens twice, and against taking a transfer to
/// another incarnation.
#[test]
fn transfer_counts_once() {
    let mut harness = Harness::new(0);
    let transfer = |to: &str, number| Transfer {
        id: TransferId {
            from: "vm-2.0b".into(),
            to: to.into(),
            number,
        },
        budget: "chat".into(),
        tokens: 40,
    };
    harness.handle(Event::TransferReceived(transfer(INC, 1)));
    harness.handle(Event::TransferReceived(transfer(INC, 1)));
    harness.handle(Event::TransferReceived(transfer("vm-1.0c", 2)));
    let confirms = harness.run_until_idle();
    assert_eq!(confirms.len(), 2);
    assert_eq!(harness.manager.share_states().next().unwrap().received, 40);
}
