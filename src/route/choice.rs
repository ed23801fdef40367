//! Selects a target for a request.

use std::time::Duration;

use rand::{
    RngExt,
    rngs::StdRng, //
};

use super::{
    hash_name,
    mix,
    request::Request,
    service::ServiceState,
    strikes::Strikes,
    view::{
        DEGRADED_RATIO,
        TargetView, //
    }, //
};
use crate::model::{
    RetryPolicy,
    TargetId,
    Urgency, //
};

/// Load, relative to the mean of the candidates, up to which the affinity target is used.
const MAX_AFFINITY_LOAD: f64 = 1.25;
/// Delay after a probe became due before an urgent request may serve as the probe. Patient requests
/// are preferred for probes.
const URGENT_PROBE_DELAY: Duration = Duration::from_secs(5);

/// Preference classes of targets, best first; a class is used when the better ones are full.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Failed target that is due for a probe, for a request that suits as the probe.
    Probe,
    /// Healthy target in the daemon's data centre.
    Local,
    /// Healthy target in another data centre.
    Remote,
    /// Failed target that is due for a probe, for any other request.
    UnsuitedProbe,
    /// Slow target in the daemon's data centre.
    DegradedLocal,
    /// Slow target in another data centre.
    DegradedRemote,
}

/// Returns a target with a free slot for the request. With `reserve`, a patient request may also
/// use the slots that are reserved for urgent work.
pub(super) fn choose_target(
    service: &ServiceState,
    request: &Request,
    now: Duration,
    reserve: bool,
    rng: &mut StdRng,
) -> Option<TargetId> {
    let averages = service.first_byte_means();
    let healthy = |v: &TargetView| v.is_usable() && v.slowness(now, averages) <= DEGRADED_RATIO;
    let any_healthy = service.views.values().any(healthy);
    let mut best: Option<Tier> = None;
    let mut candidates: Vec<&TargetView> = Vec::new();
    for view in service.views.values() {
        let Some(tier) = tier_of(service, view, request, now, reserve) else {
            continue;
        };
        // Queueing for a healthy target takes less time than running on a degraded one.
        if any_healthy && tier >= Tier::DegradedLocal {
            continue;
        }
        if best.is_none_or(|b| tier < b) {
            best = Some(tier);
            candidates.clear();
        }
        if best == Some(tier) {
            candidates.push(view);
        }
    }
    // A retry avoids the target of the failed attempt unless it is the only candidate.
    if candidates.len() > 1 {
        candidates.retain(|v| request.last_target.as_ref() != Some(&v.target.id));
    }
    affinity_target(&candidates, request.job.affinity)
        .or_else(|| better_of_two(service, &candidates, now, rng))
        .map(|v| v.target.id.clone())
}

/// Returns the class of a target for the request, or `None` if the target cannot take it.
fn tier_of(
    service: &ServiceState,
    view: &TargetView,
    request: &Request,
    now: Duration,
    reserve: bool,
) -> Option<Tier> {
    let urgency = request.job.urgency;
    if view.probe_due(now) {
        return Some(probe_tier(view, request, now));
    }
    let class = if reserve { Urgency::Urgent } else { urgency };
    if !view.is_usable() || view.in_flight() >= service.limit(view, class) {
        return None;
    }
    let degraded = view.slowness(now, service.first_byte_means()) > DEGRADED_RATIO;
    match (degraded, view.local) {
        // A degraded target gets one patient request at a time, to measure whether it recovered.
        (true, _) if urgency == Urgency::Patient && view.in_flight() > 0 => None,
        (true, true) if urgency == Urgency::Urgent => Some(Tier::DegradedLocal),
        (true, false) if urgency == Urgency::Urgent => Some(Tier::DegradedRemote),
        (_, true) => Some(Tier::Local),
        (_, false) => Some(Tier::Remote),
    }
}

/// Returns the class of a target that is due for a probe. First attempts of idempotent requests are
/// suitable as probes; other requests use the target only if there is no other local or remote one.
fn probe_tier(view: &TargetView, request: &Request, now: Duration) -> Tier {
    let late = view
        .probe_at()
        .is_some_and(|at| now >= at + URGENT_PROBE_DELAY);
    let suitable = request.job.repeat == RetryPolicy::Idempotent
        && request.last_target.is_none()
        && (request.job.urgency == Urgency::Patient || late);
    if suitable {
        Tier::Probe
    } else {
        Tier::UnsuitedProbe
    }
}

/// Returns the candidate with the highest rendezvous hash for the prefix, unless its load exceeds
/// [`MAX_AFFINITY_LOAD`].
fn affinity_target<'a>(candidates: &[&'a TargetView], affinity: u64) -> Option<&'a TargetView> {
    if affinity == 0 {
        return None;
    }
    let own: u32 = candidates.iter().map(|v| v.in_flight()).sum();
    let mean = f64::from(own) / candidates.len().max(1) as f64;
    candidates
        .iter()
        .max_by_key(|v| mix(affinity, hash_name(&v.target.id)))
        .filter(|v| f64::from(v.in_flight()) <= MAX_AFFINITY_LOAD * mean)
        .copied()
}

/// Returns the less loaded of two random candidates (power of two choices).
fn better_of_two<'a>(
    service: &ServiceState,
    candidates: &[&'a TargetView],
    now: Duration,
    rng: &mut StdRng,
) -> Option<&'a TargetView> {
    if candidates.is_empty() {
        return None;
    }
    let first = rng.random_range(0..candidates.len());
    let mut second = rng.random_range(0..candidates.len().max(2) - 1);
    if second >= first {
        second = (second + 1) % candidates.len();
    }
    let averages = service.first_byte_means();
    let score = |i: usize| candidates[i].score(now, service.fleet, averages);
    let index = if score(second) < score(first) {
        second
    } else {
        first
    };
    Some(candidates[index])
}

/// Decision for a suspect: a request with a strike.
pub(super) enum SuspectChoice {
    /// Run it on this target.
    Run(TargetId),
    /// Keep it queued: the targets that may run it are busy.
    Wait,
    /// Refuse it: no target may run it.
    Never,
}

/// Selects a local target without a suspect in flight for a request with a strike.
///
/// The daemons partition the targets by index, so that no two of them run suspects on the same
/// target. A target of another daemon's partition is used only if none of this daemon's own can run
/// the request, because a refusal would otherwise last as long as the strike.
pub(super) fn choose_for_suspect(
    service: &ServiceState,
    request: &Request,
    now: Duration,
    strikes: &Strikes,
    runs_suspect: impl Fn(&TargetView) -> bool,
) -> SuspectChoice {
    let daemons = service.fleet.daemons as usize;
    let rank = service.fleet.rank as usize;
    let mut nearest = daemons;
    let mut result = SuspectChoice::Never;
    let local = service.views.values().filter(|v| v.local && !v.removed);
    for (index, view) in local.enumerate() {
        let limit = service.limit(view, Urgency::Urgent);
        let is_struck = strikes.is_struck_by(now, request.job.fingerprint, &view.target.id);
        // Distance in rank from this daemon to the owner of the target.
        let distance = (index + daemons - rank) % daemons;
        if is_struck || !view.is_usable() || limit == 0 || distance > nearest {
            continue;
        }
        let free = view.in_flight() < limit && !runs_suspect(view);
        if distance < nearest {
            nearest = distance;
            result = SuspectChoice::Wait;
        }
        if free && matches!(result, SuspectChoice::Wait) {
            result = SuspectChoice::Run(view.target.id.clone());
        }
    }
    result
}
