//! Failure tests: a whole deployment in real processes, one failure each, and the audit of every
//! token and bill at the end.

mod call;
mod check;
mod config;
mod daemons;
mod keys;
mod platform;
mod targets;
