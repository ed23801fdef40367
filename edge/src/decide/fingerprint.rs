//! Hash by which a repeated request is recognised.

use std::hash::Hasher;

/// Hash of the customer, path and body by which a repeated request is recognised.
pub type Fingerprint = u64;

/// Computes the fingerprint of a request. Daemons built with different compilers may compute
/// different ones.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::fingerprint;
///
/// assert_eq!(fingerprint("ann", "/a", b"x"), fingerprint("ann", "/a", b"x"));
/// assert_ne!(fingerprint("ann", "/a", b"x"), fingerprint("bob", "/a", b"x"));
/// ```
pub fn fingerprint(customer: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(customer.as_bytes());
    hasher.write_u8(0);
    hasher.write(path.as_bytes());
    hasher.write_u8(0);
    hasher.write(body);
    hasher.finish()
}
