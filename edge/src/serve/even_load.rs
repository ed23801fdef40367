//! Which rule chooses among the runners of a service.

use std::{
    rc::Rc,
    time::Instant, //
};

use super::Upstream;
use crate::decide::{
    Candidate,
    LoadedCandidate,
    RequestNeeds,
    select_even,
    select_runner, //
};

/// Chooses a runner: by the rule for four load figures if a runner of the service has reported them.
pub(super) fn select_by_load(
    upstreams: &[Rc<Upstream>],
    candidates: &[Candidate],
    needs: &RequestNeeds,
    salt: u64,
    now: Instant,
) -> Option<usize> {
    if upstreams.iter().all(|u| u.newest_load().is_none()) {
        return select_runner(candidates, needs, salt);
    }
    let loaded: Vec<LoadedCandidate> = upstreams
        .iter()
        .zip(candidates)
        .map(|(upstream, base)| upstream.loaded_candidate(now, *base))
        .collect();
    select_even(&loaded, needs, salt)
}
