//! Idempotency keys: a request with a key runs at most once.
//!
//! A key that the caller chose is claimed by inserting a row in the platform's table before the
//! request is sent ([`Claim`]). A key issued by a daemon names the only process that may run the
//! request ([`Issuer`]), so it does not need the platform.

mod issued;
mod key;
mod plugin;
mod row;
mod service;
mod step;

pub use issued::{
    Issuer,
    KeyDecision, //
};
pub use key::{
    IssuedKey,
    KEY_LIFETIME,
    key_time, //
};
pub use row::{
    ClaimRow,
    ClaimState,
    RecordedResponse, //
};
pub use service::Claims;
pub use step::{
    Claim,
    ClaimStep,
    Decision,
    TableReply, //
};
