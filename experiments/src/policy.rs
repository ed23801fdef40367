//! Ways to place a request: the daemon's own decision and baselines.

use cuminloom_edge::decide::{
    Candidate,
    RequestNeeds,
    rendezvous_weight,
    select_runner, //
};

use crate::load::{
    Random,
    Request, //
};

/// Requests that an engine runs at once.
const SLOTS: u32 = 64;

/// What one daemon knows of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct View {
    /// Own requests there.
    pub(crate) flying: u32,
    /// Own prompt tokens there without a first event.
    pub(crate) backlog: u64,
    /// Requests running and waiting by the last report.
    pub(crate) report: (usize, usize),
}

/// A way to place a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The daemon's own decision.
    Own,
    /// The daemon's own decision without prompt prefixes.
    NoPrefix,
    /// Any engine.
    Random,
    /// One engine after another.
    RoundRobin,
    /// The engine with the least reported load.
    LeastReported,
}

impl Policy {
    /// All ways with their names.
    pub(crate) const ALL: [(Policy, &'static str); 5] = [
        (Policy::Own, "cuminloom"),
        (Policy::NoPrefix, "without prefixes"),
        (Policy::Random, "random"),
        (Policy::RoundRobin, "round robin"),
        (Policy::LeastReported, "least reported"),
    ];

    /// Index of the engine for `request`.
    pub(crate) fn choose(
        self,
        request: &Request,
        views: &[View],
        names: &[String],
        turn: usize,
        random: &mut Random,
    ) -> usize {
        match self {
            Policy::Random => (random.next() % views.len() as u64) as usize,
            Policy::RoundRobin => turn % views.len(),
            Policy::LeastReported => views
                .iter()
                .enumerate()
                .min_by_key(|(_, v)| v.report.0 + v.report.1)
                .map_or(0, |(i, _)| i),
            Policy::Own => decided(request, views, names, true, random),
            Policy::NoPrefix => decided(request, views, names, false, random),
        }
    }
}

fn decided(
    request: &Request,
    views: &[View],
    names: &[String],
    prefixes: bool,
    random: &mut Random,
) -> usize {
    let mut order: Vec<usize> = (0..views.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(rendezvous_weight(request.subject, &names[*i])));
    let mut candidates: Vec<Candidate> = views
        .iter()
        .map(|v| Candidate {
            affinity_rank: usize::MAX,
            running: (v.report.0 as f64).max(f64::from(v.flying)),
            waiting: v.report.1 as f64,
            slots: SLOTS,
            backlog_tokens: v.backlog,
            ..Candidate::default()
        })
        .collect();
    if prefixes {
        for (rank, i) in order.into_iter().enumerate() {
            candidates[i].affinity_rank = rank;
        }
    }
    let demand = RequestNeeds {
        prompt_tokens: request.own + request.kind.shared,
        shared_tokens: request.kind.shared,
        objective_ms: request.kind.objective_ms,
    };
    select_runner(&candidates, &demand, random.next()).unwrap_or(0)
}
