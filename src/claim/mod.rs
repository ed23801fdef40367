//! Idempotency keys: a request that may not be repeated runs at most once.
//!
//! A caller's own key is claimed by a put-if-absent row in the platform's table before the request
//! is sent ([`Claim`]). A key issued by a daemon names the process that alone may run it
//! ([`Issuer`]) and needs no platform.

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
    ClaimStep, //
    Decision,
    TableReply,
};
