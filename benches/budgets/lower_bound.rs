//! Lower bound of the false refusals of a mechanism without overspend.
//!
//! A single ledger that knows every request's consumption in advance, moves tokens without delay
//! and loses none in a crash serves every request that the balance allows. Only one cause cannot be
//! avoided: a data centre that is cut off cannot learn of a top-up, so what it spends until the
//! link is back comes from the balance at the time of the cut. How much of that balance it keeps is
//! chosen with hindsight: the best of 101 equally spaced parts.

use cuminloom::model::Tokens;

use super::trace::{
    DCS,
    HOT_DC,
    Trace, //
};

/// Number of steps between the parts of the balance that are tried.
const PART_STEPS: u64 = 100;

/// Counts the requests that were refused although the fleet as a whole had tokens for them.
pub(crate) fn min_refusals(trace: &Trace) -> u64 {
    if trace.cut.is_empty() {
        return 0;
    }
    let tries = (0..=PART_STEPS).map(|part| refusals_with_part(trace, part));
    tries.min().unwrap_or(0)
}

/// Counts the false refusals when the data centre that is cut off keeps `part` of `PART_STEPS` of
/// each balance.
fn refusals_with_part(trace: &Trace, part: u64) -> u64 {
    let mut balance: Vec<Tokens> = trace.limits.clone();
    let mut kept = vec![0; balance.len()];
    let (mut cut, mut healed) = (false, false);
    let mut topups = trace.topups.iter().peekable();
    let mut refused = 0;
    for req in &trace.reqs {
        while let Some((_, b, tokens)) = topups.next_if(|(at, ..)| *at <= req.at) {
            balance[*b] += tokens;
        }
        if !cut && req.at >= trace.cut.start {
            cut = true;
            for (kept, balance) in kept.iter_mut().zip(&mut balance) {
                *kept = *balance * part / PART_STEPS;
                *balance -= *kept;
            }
        }
        if !healed && req.at >= trace.cut.end {
            healed = true;
            for (kept, balance) in kept.iter_mut().zip(&mut balance) {
                *balance += std::mem::take(kept);
            }
        }
        let b = req.budget;
        let inside = DCS[req.daemon] == HOT_DC && trace.cut.contains(&req.at);
        let total = balance[b] + kept[b];
        let purse = if inside {
            &mut kept[b]
        } else {
            &mut balance[b]
        };
        if *purse >= req.tokens {
            *purse -= req.tokens;
        } else {
            refused += u64::from(total >= req.bound);
        }
    }
    refused
}
