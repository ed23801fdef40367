//! What operators of `cuminloom-platform` ask: why a request failed, where a customer's tokens are, and
//! whether settings and configurations are usable.

pub mod audit;
pub mod explain;
pub mod log_line;
