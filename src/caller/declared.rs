//! Bodies whose declared length the HTTP library cannot handle.

use tiny_http::Request;

/// Longest declared body, in bytes, that tiny_http may discard: it reserves the whole length, and a
/// length that cannot be reserved ends the process.
const DISCARDED: usize = 64 << 20;

/// Returns the request unless it declares a body that must not be discarded. Dropping or answering
/// such a request would discard its body, so it is leaked with its connection and thread.
pub(crate) fn screen(request: Request, listener: &str) -> Option<Request> {
    if request
        .body_length()
        .is_none_or(|length| length <= DISCARDED)
    {
        return Some(request);
    }
    log::warn!("a request to {listener} declares a body that is far too long");
    std::mem::forget(request);
    None
}
