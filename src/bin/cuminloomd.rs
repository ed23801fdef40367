//! The cuminloom daemon.
fn main() {}
