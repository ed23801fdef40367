//! Bounds of the stated aim: urgent p99 at 1.5 times load within 1.2 times its value at half load,
//! patient work still served, and no baseline policy better at any lag.

use std::time::Duration;

use crate::model::{
    self,
    BaselinePolicy,
    RunResult,
    Scenario,
    TargetFault, //
};

/// Lags of the load reports, in milliseconds.
pub(crate) const LAGS_MS: [u64; 4] = [0, 500, 2_000, 5_000];
/// Compared policies: the router and the baselines.
pub(crate) const POLICIES: [Option<BaselinePolicy>; 4] = [
    None,
    Some(BaselinePolicy::Random),
    Some(BaselinePolicy::RoundRobin),
    Some(BaselinePolicy::LeastReported),
];
/// Maximum urgent p99 at 1.5 times load, relative to half load.
const MAX_OVERLOAD_RATIO: f64 = 1.2;
/// Minimum share of the patient requests that are served at 1.5 times load: the minimum share of
/// patient work (0.1 of the capacity) divided by the offered patient work (1.05 of the capacity).
const MIN_PATIENT_SERVED: f64 = 0.1 / 1.05;
/// Maximum ratio that does not count as worse: the sampling error of a p99.
const MAX_NOISE_RATIO: f64 = 1.02;

/// Runs the simulation under all conditions and returns a description of each missed bound.
pub(crate) fn missed_bounds(lags_ms: &[u64], seconds: f64, seed: u64) -> Vec<String> {
    let mut misses = Vec::new();
    for fault in [
        TargetFault::Well,
        TargetFault::Slow,
        TargetFault::Failing,
        TargetFault::Gone,
    ] {
        for lag in lags_ms.iter().copied().map(Duration::from_millis) {
            let mut half_load_p99 = f64::INFINITY;
            for load in [0.5, 1.0, 1.5] {
                let [router, baselines @ ..] = POLICIES.map(|policy| {
                    model::run(Scenario {
                        policy,
                        load,
                        lag,
                        fault,
                        seconds,
                        seed,
                    })
                });
                if load < 1.0 {
                    half_load_p99 = router.urgent().quantile(0.99);
                }
                let condition = format!("{fault:?}, load {load}, lag {lag:?}");
                if load > 1.0 {
                    check_overload(&router, half_load_p99, &condition, &mut misses);
                }
                for (baseline, policy) in baselines.iter().zip(&POLICIES[1..]) {
                    check_baseline(
                        &router,
                        baseline,
                        &format!("{condition}, {policy:?}"),
                        &mut misses,
                    );
                }
            }
        }
    }
    misses
}

/// Checks the bounds for 1.5 times load.
fn check_overload(
    router: &RunResult,
    half_load_p99: f64,
    condition: &str,
    misses: &mut Vec<String>,
) {
    let p99 = router.urgent().quantile(0.99);
    if p99 > half_load_p99 * MAX_OVERLOAD_RATIO {
        misses.push(format!(
            "{condition}: urgent p99 {p99:.3} s, at half load {half_load_p99:.3} s"
        ));
    }
    let served = router.patient().served();
    if served < MIN_PATIENT_SERVED {
        misses.push(format!(
            "{condition}: {served:.3} of the patient requests served"
        ));
    }
}

/// Checks that the router is no worse than a baseline under the same condition.
fn check_baseline(
    router: &RunResult,
    baseline: &RunResult,
    condition: &str,
    misses: &mut Vec<String>,
) {
    let (ours, theirs) = (router.urgent(), baseline.urgent());
    if ours.quantile(0.99) > theirs.quantile(0.99) * MAX_NOISE_RATIO {
        let (ours, theirs) = (ours.quantile(0.99), theirs.quantile(0.99));
        misses.push(format!(
            "{condition}: urgent p99 {ours:.3} s against {theirs:.3} s"
        ));
    }
    if ours.served() * MAX_NOISE_RATIO < theirs.served() {
        let (ours, theirs) = (ours.served(), theirs.served());
        misses.push(format!(
            "{condition}: urgent served {ours:.3} against {theirs:.3}"
        ));
    }
    let (ours, theirs) = (router.patient(), baseline.patient());
    if ours.served() * MAX_NOISE_RATIO < theirs.served() {
        let (ours, theirs) = (ours.served(), theirs.served());
        misses.push(format!(
            "{condition}: patient served {ours:.3} against {theirs:.3}"
        ));
    }
    // If the last report shows a high load, the least-reported baseline sends nothing to a target
    // that is gone. A policy that sends fewer requests there than there are daemons cannot detect a
    // recovery, so its wasted dispatches are no reference.
    let probes = baseline.sent_broken >= model::DAEMONS as u64;
    if router.wasted() > baseline.wasted() * MAX_NOISE_RATIO && probes {
        let (ours, theirs) = (router.wasted(), baseline.wasted());
        misses.push(format!("{condition}: wasted {ours:.4} against {theirs:.4}"));
    }
}
