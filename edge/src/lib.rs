//! The event-driven data plane of cuminloom.
//!
//! One thread handles callers, runners, the store and the other daemons. Decisions are made in
//! [`decide`] and [`prepaid`], which do no I/O; [`serve`] and [`fleet`] carry them out. The protocols of
//! a deployment are behind the traits of [`adapter`].

pub mod accept;
pub mod adapter;
pub mod catalog;
pub mod clock;
pub mod decide;
pub mod fleet;
pub mod http;
pub mod peer;
pub mod prepaid;
pub mod serve;
pub mod telemetry;
