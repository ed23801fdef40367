//! Cost models that the benchmarks and the test of their bounds share.

pub(crate) mod alloc;
pub(crate) mod bounds;
pub(crate) mod config;
pub(crate) mod fleet;
pub(crate) mod router;
pub(crate) mod row;
