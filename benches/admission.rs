//! Measures time and memory of admission for growing numbers of budgets. Only the number of
//! allocations per admission is checked; the other values are printed.

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

/// Number of admissions per measurement.
const ADMISSIONS: usize = 1_000_000;

/// Number of allocations so far.
static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
/// Bytes allocated and not freed.
static ALLOCATED_BYTES: AtomicU64 = AtomicU64::new(0);

/// System allocator that counts allocations and bytes in use.
struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Relaxed);
        ALLOCATED_BYTES.fetch_add(layout.size() as u64, Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size() as u64, Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns a share manager with tokens issued for each of `ids`.
fn funded_manager(ids: &[BudgetId]) -> ShareManager {
    let mut manager = ShareManager::start("vm-1.0a".into(), 1);
    manager.handle(Duration::ZERO, Event::Mode(Mode::Detached));
    for (number, budget) in (1..).zip(ids) {
        let id = TransferId {
            from: "vm-2.0b".into(),
            to: "vm-1.0a".into(),
            number,
        };
        let (budget, tokens) = (budget.clone(), 1 << 40);
        let transfer = Transfer { id, budget, tokens };
        manager.handle(Duration::ZERO, Event::TransferReceived(transfer));
        drop(manager.poll(Duration::ZERO));
    }
    manager
}

fn main() {
    for count in [1, 100, 10_000, 82_500] {
        let ids: Vec<BudgetId> = (0..count)
            .map(|n| format!("budget-{n:06}").into())
            .collect();
        let before = ALLOCATED_BYTES.load(Relaxed);
        let mut manager = funded_manager(&ids);
        let bytes = ALLOCATED_BYTES.load(Relaxed) - before;
        let now = Duration::from_millis(1);
        // The first admission after a state change marks the slot for the next poll, so each budget
        // gets one admission before the measurement.
        let mut admit = |round: usize| {
            let budget = &ids[round.wrapping_mul(7_919) % count];
            match manager.reserve(now, black_box(budget), 100) {
                ReserveOutcome::Held(held) => manager.settle(now, held, 40),
                other => panic!("{other:?}"),
            }
        };
        (0..count).for_each(&mut admit);
        let (allocations, start) = (ALLOCATIONS.load(Relaxed), Instant::now());
        (0..ADMISSIONS).for_each(&mut admit);
        let time = start.elapsed();
        let allocations = ALLOCATIONS.load(Relaxed) - allocations;
        assert_eq!(
            allocations, 0,
            "admission with issued tokens must not allocate"
        );
        println!(
            "{count} budgets: {} ns per reserve and settle, {} bytes per budget, {allocations} allocations",
            time.as_nanos() / ADMISSIONS as u128,
            bytes / count as u64,
        );
    }
}
