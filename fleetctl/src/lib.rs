//! Library of the operators' tool for `cuminloom-platform`: explains why a request failed and where a
//! customer's tokens are.

pub mod audit;
pub mod explain;
pub mod log_line;
