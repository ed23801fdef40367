//! cuminloom is a fleet of router daemons between callers and back ends. It keeps token spend
//! inside prepaid budgets, answers urgent work promptly and lets no request take effect twice.
//!
//! The modules are listed in the order in which a request passes them. Decisions are state
//! machines without threads, sockets or clocks; the daemon's threads feed them.
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
