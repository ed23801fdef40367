//! Bytes that this process moves over its sockets.

use std::cell::Cell;

thread_local! {
    /// One thread serves all sockets.
    static MOVED: Cell<(u64, u64)> = const { Cell::new((0, 0)) };
}

/// Counts bytes read from a socket.
pub(super) fn count_read(bytes: usize) {
    MOVED.with(|m| m.set((m.get().0 + bytes as u64, m.get().1)));
}

/// Counts bytes written to a socket.
pub(super) fn count_written(bytes: usize) {
    MOVED.with(|m| m.set((m.get().0, m.get().1 + bytes as u64)));
}

/// Bytes that this thread has read from and written to sockets since its start.
///
/// # Examples
///
/// ```
/// assert_eq!(cuminloom_edge::http::bytes_moved(), (0, 0));
/// ```
pub fn bytes_moved() -> (u64, u64) {
    MOVED.with(Cell::get)
}
