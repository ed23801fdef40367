//! Bills: each finished request is billed exactly once.
