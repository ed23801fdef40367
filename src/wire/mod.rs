//! Serialisation types of external data formats, generated from `schema/*.json`.
//!
//! After a change of a schema, `cargo typify --no-builder schema/NAME.json -o src/wire/NAME.rs`
//! regenerates its file. The generated files are committed, so the build does not need `typify`.

#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
pub mod admin;
#[allow(dead_code, missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
pub mod budget;
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
pub mod bill;
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
pub mod fence;
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
pub mod claim;
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
pub mod item;
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
pub mod otlp;
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
pub mod platform;
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
pub mod target;
