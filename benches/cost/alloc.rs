//! Counts allocations and the bytes in use.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    sync::atomic::{
        AtomicU64,
        Ordering::Relaxed, //
    },
};

static CALLS: AtomicU64 = AtomicU64::new(0);
static LIVE: AtomicU64 = AtomicU64::new(0);

struct Counter;

// SAFETY: every call is passed on to the system allocator unchanged.
unsafe impl GlobalAlloc for Counter {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        CALLS.fetch_add(1, Relaxed);
        LIVE.fetch_add(layout.size() as u64, Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size() as u64, Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counter = Counter;

/// Allocations since the start.
pub(crate) fn calls() -> u64 {
    CALLS.load(Relaxed)
}

/// Bytes in use.
pub(crate) fn live() -> u64 {
    LIVE.load(Relaxed)
}
