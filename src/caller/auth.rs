//! Authentication of callers.

use cuminloom_edge::http::Fields;
use sha2::{
    Digest,
    Sha256, //
};

use crate::model::{
    Code,
    Configuration,
    Customer,
    KeyHash,
    Profile, //
    RequestError,
};

/// Finds the customer whose key the request carries.
pub(crate) fn customer<'a>(
    fields: &Fields,
    config: &'a Configuration,
) -> Result<&'a Customer, RequestError> {
    let refused = || RequestError::not_run(Code::Unauthorized, "the key is missing or unknown");
    let token = fields
        .get("authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(refused)?;
    // Hashes are compared, so the time of the comparison says nothing about a key.
    let key = KeyHash(Sha256::digest(token.trim().as_bytes()).into());
    let mut customers = config.customers.values();
    customers
        .find(|customer| customer.keys.contains(&key))
        .ok_or_else(refused)
}

/// Finds a profile that the customer may use. A profile of others is reported like an unknown one,
/// so that its name does not leak.
pub(crate) fn profile<'a>(
    config: &'a Configuration,
    customer: &Customer,
    name: &str,
) -> Result<&'a Profile, RequestError> {
    let profile = config.profiles.get(name);
    profile
        .filter(|profile| profile.customers.contains(&customer.id))
        .ok_or_else(|| {
            RequestError::not_run(Code::NotFound, format!("no profile {name:?} for this key"))
        })
}
