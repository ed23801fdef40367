//! The aims, as bounds on the results.

use super::{
    Cell,
    Mechanism,
    ledger::Outcome,
    trace::TARGET, //
};

/// Platform writes for each 1,000 requests at the target size: several hundred writes a second for
/// 17,000 requests a second.
const WRITES: f64 = 20.0;
/// Seconds of a daemon's demand that its death may orphan while the platform is reachable.
const SECONDS: u64 = 20;

/// Adds up the cells of one scenario over all seeds, one sum for each mechanism.
pub(crate) fn sums<'a>(cells: impl Iterator<Item = &'a Cell>) -> Vec<Outcome> {
    let mut sums: Vec<Outcome> = Vec::new();
    for cell in cells {
        sums.resize(cell.outcomes.len(), Outcome::default());
        for (sum, outcome) in sums.iter_mut().zip(&cell.outcomes) {
            sum.add(outcome);
        }
    }
    sums
}

/// Aims that are missed, one line each. The first mechanism has the default settings.
pub(crate) fn missed(mechanisms: &[Mechanism], cells: &[Cell]) -> Vec<String> {
    let mut lines = Vec::new();
    let mut names: Vec<&str> = cells.iter().map(|cell| cell.scenario).collect();
    names.dedup();
    for name in names {
        let here = || cells.iter().filter(|cell| cell.scenario == name);
        lines.extend(scenario(mechanisms, name, &sums(here())));
        for cell in here() {
            lines.extend(orphans(mechanisms, cell));
        }
    }
    let hours = cells.iter().filter(|cell| !TARGET.contains(&cell.scenario));
    lines.extend(total(mechanisms, &sums(hours)));
    lines
}

fn scenario(mechanisms: &[Mechanism], name: &str, sums: &[Outcome]) -> Vec<String> {
    let mut lines = Vec::new();
    let all = mechanisms.iter().zip(sums);
    for (mechanism, sum) in all.clone().filter(|(m, _)| m.is_ours()) {
        if sum.overspend > 0 {
            lines.push(format!(
                "{name}, {}: overspend of {} tokens",
                mechanism.name(),
                sum.overspend
            ));
        }
        let writes = sum.rate(sum.writes) + target_bills(sum);
        if TARGET.contains(&name) && writes > WRITES {
            lines.push(format!(
                "{name}, {}: {writes:.1} writes for 1,000 requests",
                mechanism.name()
            ));
        }
    }
    let ours = &sums[0];
    if name.contains("calm") && ours.refused_safe > 0 {
        lines.push(format!("{name}: {} false refusals", ours.refused_safe));
    }
    for (mechanism, sum) in all.filter(|(m, s)| m.is_baseline() && s.overspend == 0) {
        if ours.share() > sum.share() {
            lines.push(format!(
                "{name}: {:.3}% false refusals, {} has {:.3}%",
                ours.share() * 100.0,
                mechanism.name(),
                sum.share() * 100.0
            ));
        }
    }
    lines
}

/// Writes of bills and ledgers for 1,000 requests in the fleet of the target size, in which a batch
/// is written every 4 s instead of every 2 s.
fn target_bills(sum: &Outcome) -> f64 {
    sum.rate(sum.others) / 2.0
}

fn orphans(mechanisms: &[Mechanism], cell: &Cell) -> Option<String> {
    let ours = mechanisms.iter().position(|m| m.is_ours())?;
    let outcome = &cell.outcomes[ours];
    let bound = match cell.scenario {
        // The dead daemon's share: all that was issued to it and not spent.
        "crash in outage" => outcome.issued_lost,
        _ => cell.demand * SECONDS * cell.crashes,
    };
    let most = outcome.orphaned_max;
    (most > bound).then(|| {
        format!(
            "{}: {most} tokens orphaned, the bound is {bound}",
            cell.scenario
        )
    })
}

fn total(mechanisms: &[Mechanism], sums: &[Outcome]) -> Option<String> {
    let safe = mechanisms.iter().zip(sums);
    let safe = safe.filter(|(m, sum)| m.is_baseline() && sum.overspend == 0);
    let best = safe.map(|(_, sum)| sum.refused_safe).min()?;
    let ours = sums[0].refused_safe;
    (ours > 0 && ours * 2 >= best).then(|| {
        format!("all scenarios: {ours} false refusals, the best single baseline has {best}")
    })
}
