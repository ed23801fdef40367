//! The cuminloom command-line tool.
fn main() {}
