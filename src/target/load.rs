//! Load reports of targets.

use std::net::SocketAddr;

use crate::{
    route::Load,
    wire::target as wire, //
};

/// Timeout of a request for a load report.
const TIMEOUT_S: u64 = 1;

/// Requests a target's load report; `None` if there is no valid answer within 1 s.
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
