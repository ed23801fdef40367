//! Time and memory of admission as the number of budgets grows. Prints figures; only the number of
//! allocations per admission is checked.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    hint::black_box,
    sync::atomic::{
        AtomicU64,
        Ordering::Relaxed, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::{
    budget::{
        Event,
        Mode,
        ReserveOutcome,
        ShareManager,
        Transfer,
        TransferId, //
    },
    model::BudgetId,
};

/// Admissions per measurement.
const ROUNDS: usize = 1_000_000;

static CALLS: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);

struct Counter;

// SAFETY: every call is passed on to the system allocator unchanged.
unsafe impl GlobalAlloc for Counter {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        CALLS.fetch_add(1, Relaxed);
        BYTES.fetch_add(layout.size() as u64, Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size() as u64, Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counter = Counter;

/// A drawer with tokens issued for each of `ids`.
fn fill(ids: &[BudgetId]) -> ShareManager {
    let mut drawer = ShareManager::start("vm-1.0a".into(), 1);
    drawer.handle(Duration::ZERO, Event::Mode(Mode::Detached));
    for (number, budget) in (1..).zip(ids) {
        let id = TransferId {
            from: "vm-2.0b".into(),
            to: "vm-1.0a".into(),
            number,
        };
        let (budget, tokens) = (budget.clone(), 1 << 40);
        let transfer = Transfer { id, budget, tokens };
        drawer.handle(Duration::ZERO, Event::TransferReceived(transfer));
        drop(drawer.poll(Duration::ZERO));
    }
    drawer
}

fn main() {
    for count in [1, 100, 10_000, 82_500] {
        let ids: Vec<BudgetId> = (0..count)
            .map(|n| format!("budget-{n:06}").into())
            .collect();
        let before = BYTES.load(Relaxed);
        let mut drawer = fill(&ids);
        let bytes = BYTES.load(Relaxed) - before;
        let now = Duration::from_millis(1);
        // The first admission after a change of the state marks the slot for the next poll.
        let mut admit = |round: usize| {
            let budget = &ids[round.wrapping_mul(7_919) % count];
            match drawer.reserve(now, black_box(budget), 100) {
                ReserveOutcome::Held(held) => drawer.settle(now, held, 40),
                other => panic!("{other:?}"),
            }
        };
        (0..count).for_each(&mut admit);
        let (calls, start) = (CALLS.load(Relaxed), Instant::now());
        (0..ROUNDS).for_each(&mut admit);
        let time = start.elapsed();
        let calls = CALLS.load(Relaxed) - calls;
        assert_eq!(calls, 0, "admission on issued tokens does not allocate");
        println!(
            "{count} budgets: {} ns per reserve and settle, {} bytes per budget, {calls} allocations",
            time.as_nanos() / ROUNDS as u128,
            bytes / count as u64,
        );
    }
}
