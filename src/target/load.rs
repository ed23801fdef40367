//! Load reports of targets.

use std::net::SocketAddr;

use crate::wire::target as wire;

/// Deadline of a load report, in seconds.
const TIMEOUT_S: u64 = 1;

/// Load report of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the target.
    pub waiting: u32,
    /// Requests that can run at once.
    pub capacity: u32,
    /// Whether the target takes no new work.
    pub leaving: bool,
}

/// Asks a target for its load; `None` when it does not answer with a report.
///
/// # Examples
///
/// ```
/// assert_eq!(cuminloom::target::fetch_load("127.0.0.1:1".parse().unwrap()), None);
/// ```
pub fn fetch_load(addr: SocketAddr) -> Option<Load> {
    let reply = minreq::get(format!("http://{addr}/load"))
        .with_timeout(TIMEOUT_S)
        .with_follow_redirects(false)
        .send()
        .ok()
        .filter(|reply| reply.status_code == 200)?;
    let load: wire::Load = serde_json::from_slice(reply.as_bytes()).ok()?;
    Some(Load {
        running: load.running,
        waiting: load.waiting,
        capacity: load.capacity,
        leaving: load.leaving,
    })
}
