//! Placement policies: the daemon's own decision and baselines.

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

/// Maximum number of requests that an engine runs at once.
const SLOTS: u32 = 64;

/// What one daemon knows about one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineView {
    /// Own requests in flight at the engine.
    pub(crate) in_flight: u32,
    /// Prompt tokens of own requests that have sent no first event.
    pub(crate) backlog: u64,
    /// Running and queued requests by the last load report.
    pub(crate) last_report: (usize, usize),
}

/// Policy that chooses the engine for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The placement of the daemon.
    Cuminloom,
    /// The placement of the daemon, without regard to prompt prefixes.
    NoPrefix,
    /// A random engine.
    Random,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the lowest reported load.
    LeastReported,
}

impl Policy {
    /// All policies with their names in the tables.
    pub(crate) const ALL: [(Policy, &'static str); 5] = [
        (Policy::Cuminloom, "cuminloom"),
        (Policy::NoPrefix, "without prefixes"),
        (Policy::Random, "random"),
        (Policy::RoundRobin, "round robin"),
        (Policy::LeastReported, "least reported"),
    ];

    /// Index of the engine for `request`; `turn` counts the requests of the daemon.
    pub(crate) fn choose(
        self,
        request: &Request,
        views: &[EngineView],
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
                .min_by_key(|(_, v)| v.last_report.0 + v.last_report.1)
                .map_or(0, |(i, _)| i),
            Policy::Cuminloom => place_by_daemon(request, views, names, true, random),
            Policy::NoPrefix => place_by_daemon(request, views, names, false, random),
        }
    }
}

/// Index of the engine that the daemon would choose, with or without prompt prefixes.
fn place_by_daemon(
    request: &Request,
    views: &[EngineView],
    names: &[String],
    use_prefixes: bool,
    random: &mut Random,
) -> usize {
    let mut order: Vec<usize> = (0..views.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(rendezvous_weight(request.subject, &names[*i])));
    let mut candidates: Vec<Candidate> = views
        .iter()
        .map(|v| Candidate {
            affinity_rank: usize::MAX,
            running: (v.last_report.0 as f64).max(f64::from(v.in_flight)),
            waiting: v.last_report.1 as f64,
            slots: SLOTS,
            backlog_tokens: v.backlog,
            ..Candidate::default()
        })
        .collect();
    if use_prefixes {
        for (rank, i) in order.into_iter().enumerate() {
            candidates[i].affinity_rank = rank;
        }
    }
    let demand = RequestNeeds {
        prompt_tokens: request.own_tokens + request.kind.shared_tokens,
        shared_tokens: request.kind.shared_tokens,
        objective_ms: request.kind.objective_ms,
    };
    select_runner(&candidates, &demand, random.next()).unwrap_or(0)
}
