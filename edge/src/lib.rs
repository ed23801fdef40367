//! The event-driven data plane of cuminloom.
//!
//! One thread serves callers, runners, the store and the other daemons. Decisions are in [`decide`]
//! and [`prepaid`], free of input and output; [`serve`] and [`fleet`] carry them out. What a
//! deployment speaks is behind the traits of [`adapter`].

pub mod accept;
pub mod adapter;
pub mod catalog;
pub mod decide;
pub mod fleet;
pub mod http;
pub mod prepaid;
pub mod serve;
pub mod telemetry;
