//! Choice of a target for a request.

use std::time::Duration;

use rand::{
    RngExt,
    rngs::StdRng, //
};

use super::{
    hash_name,
    mix,
    request::Ticket,
    service::Service,
    strikes::Strikes,
    view::{
        DEGRADED,
        View, //
    }, //
};
use crate::model::{
    Repeat,
    TargetId,
    Urgency, //
};

/// Load of the preferred target of a prefix, relative to the mean, up to which it is used.
const AFFINITY_BOUND: f64 = 1.25;
/// Time after a probe became due from which urgent work is used for it. Patient work goes first.
const PROBE_PATIENCE: Duration = Duration::from_secs(5);

/// Classes of targets, best first; a worse class is used when the better ones have no room.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Probe,
    Local,
    Remote,
    LateProbe,
    DegradedLocal,
    DegradedRemote,
}

/// Returns a target with room for the request. `reserve` gives patient work the room that is kept
/// for urgent work.
pub(super) fn choose(
    service: &Service,
    ticket: &Ticket,
    now: Duration,
    reserve: bool,
    rng: &mut StdRng,
) -> Option<TargetId> {
    let averages = service.first_byte_means();
    let sound = |v: &View| v.up() && v.slowness(now, averages) <= DEGRADED;
    let any_sound = service.views.values().any(sound);
    let mut best: Option<Tier> = None;
    let mut candidates: Vec<&View> = Vec::new();
    for view in service.views.values() {
        let Some(tier) = tier_of(service, view, ticket, now, reserve) else {
            continue;
        };
        // Waiting for a slot elsewhere takes less time than a degraded target.
        if any_sound && tier >= Tier::DegradedLocal {
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
    // A retry avoids the target that failed it, unless there is no other.
    if candidates.len() > 1 {
        candidates.retain(|v| ticket.tried.as_ref() != Some(&v.target.id));
    }
    preferred(&candidates, ticket.job.affinity)
        .or_else(|| better_of_two(service, &candidates, now, rng))
        .map(|v| v.target.id.clone())
}

fn tier_of(
    service: &Service,
    view: &View,
    ticket: &Ticket,
    now: Duration,
    reserve: bool,
) -> Option<Tier> {
    let urgency = ticket.job.urgency;
    if view.probe_due(now) {
        return Some(probe_tier(view, ticket, now));
    }
    let class = if reserve { Urgency::Urgent } else { urgency };
    if !view.up() || view.own() >= service.limit(view, class) {
        return None;
    }
    let degraded = view.slowness(now, service.first_byte_means()) > DEGRADED;
    match (degraded, view.local) {
        // One patient request at a time keeps measuring a degraded target.
        (true, _) if urgency == Urgency::Patient && view.own() > 0 => None,
        (true, true) if urgency == Urgency::Urgent => Some(Tier::DegradedLocal),
        (true, false) if urgency == Urgency::Urgent => Some(Tier::DegradedRemote),
        (_, true) => Some(Tier::Local),
        (_, false) => Some(Tier::Remote),
    }
}

fn probe_tier(view: &View, ticket: &Ticket, now: Duration) -> Tier {
    let late = view.probe_at().is_some_and(|at| now >= at + PROBE_PATIENCE);
    let fit = ticket.job.repeat == Repeat::Idempotent
        && ticket.tried.is_none()
        && (ticket.job.urgency == Urgency::Patient || late);
    if fit { Tier::Probe } else { Tier::LateProbe }
}

/// The target that a prefix hashes to, unless its load exceeds the bound.
fn preferred<'a>(candidates: &[&'a View], affinity: u64) -> Option<&'a View> {
    if affinity == 0 {
        return None;
    }
    let own: u32 = candidates.iter().map(|v| v.own()).sum();
    let mean = f64::from(own) / candidates.len().max(1) as f64;
    candidates
        .iter()
        .max_by_key(|v| mix(affinity, hash_name(&v.target.id)))
        .filter(|v| f64::from(v.own()) <= AFFINITY_BOUND * mean)
        .copied()
}

fn better_of_two<'a>(
    service: &Service,
    candidates: &[&'a View],
    now: Duration,
    rng: &mut StdRng,
) -> Option<&'a View> {
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

/// What can be done with a request that has a strike.
pub(super) enum Suspect {
    /// Run it there.
    Run(TargetId),
    /// A target that may run it is busy.
    Wait,
    /// No target may run it.
    Never,
}

/// Returns a target for a request with a strike: one of the local targets without a suspect in
/// flight. The daemons share the targets out so that no two of them run suspects on the same one;
/// another daemon's part is used only when no target of the daemon's own part can take the request,
/// because a refusal would last as long as the strike.
pub(super) fn choose_for_suspect(
    service: &Service,
    ticket: &Ticket,
    now: Duration,
    strikes: &Strikes,
    suspected: impl Fn(&View) -> bool,
) -> Suspect {
    let daemons = service.fleet.daemons as usize;
    let rank = service.fleet.rank as usize;
    let mut nearest = daemons;
    let mut result = Suspect::Never;
    let local = service.views.values().filter(|v| v.local && !v.removed);
    for (index, view) in local.enumerate() {
        let limit = service.limit(view, Urgency::Urgent);
        let struck = strikes.has(now, ticket.job.fingerprint, &view.target.id);
        // Number of daemons from this one to the owner of the target.
        let distance = (index + daemons - rank) % daemons;
        if struck || !view.up() || limit == 0 || distance > nearest {
            continue;
        }
        let free = view.own() < limit && !suspected(view);
        if distance < nearest {
            nearest = distance;
            result = Suspect::Wait;
        }
        if free && matches!(result, Suspect::Wait) {
            result = Suspect::Run(view.target.id.clone());
        }
    }
    result
}
