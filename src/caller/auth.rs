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
    Profile,
    RequestError, //
};

/// Finds the customer by the API key in the `Authorization` header.
pub(crate) fn authenticate<'a>(
    fields: &Fields,
    config: &'a Configuration,
) -> Result<&'a Customer, RequestError> {
    let unauthorized =
        || RequestError::not_run(Code::Unauthorized, "the key is missing or unknown");
    let token = fields
        .get("authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(unauthorized)?;
    // Hashes are compared, so the duration of the comparison reveals nothing about a key.
    let key = KeyHash(Sha256::digest(token.trim().as_bytes()).into());
    let mut customers = config.customers.values();
    customers
        .find(|customer| customer.keys.contains(&key))
        .ok_or_else(unauthorized)
}

/// Finds a profile that the customer may use. A profile of other customers is reported as unknown,
/// so that its existence is not disclosed.
pub(crate) fn find_profile<'a>(
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
