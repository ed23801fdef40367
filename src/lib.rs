//! Router daemons that run as a fleet between callers and back ends. They keep token spend within
//! prepaid budgets, answer urgent requests promptly and run a request with an idempotency key at
//! most once.
//!
//! Decisions are made by state machines without threads, sockets or clocks; the threads of the
//! daemon pass events to them and carry out their actions.
//!
//! ```
//! use cuminloom::model::{Code, RequestError, Verdict};
//!
//! let error = RequestError::not_run(Code::BudgetExhausted, "budget \"chat\" has 0 free tokens");
//! assert_eq!(error.verdict, Verdict::NotRun);
//! assert_eq!(error.code.status(), 402);
//! ```

pub mod admin;
pub mod bill;
pub mod budget;
pub mod caller;
pub mod claim;
pub mod config;
mod inbound;
pub mod kernel;
pub mod mirror;
pub mod model;
pub mod node;
pub mod peer;
pub mod route;
pub mod settings;
pub mod store;
pub mod target;
pub mod telemetry;
pub mod wire;
