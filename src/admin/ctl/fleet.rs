//! Commands for the fleet: status, audit, orders.

use clap::ArgMatches;

use super::{
    Context,
    Ended,
    Exit,
    Failed,
    client::Tagged,
    items::text,
    table, //
};
use crate::wire::admin as wire;

pub(super) fn status(context: &mut Context<'_>) -> Ended {
    let status: Tagged<wire::Status> = context.client.get("status")?;
    let status = status.body;
    if context.json {
        context.json(&status)?;
        return Ok(Exit::Done);
    }
    let (daemon, mode, version) = (&status.daemon, &status.mode, status.version);
    writeln!(
        context.out,
        "{daemon}: mode {mode}, configuration {version}"
    )?;
    let row = |it: &wire::Daemon| {
        let reachable = if it.reachable { "yes" } else { "no" };
        let confirmed = if it.version >= version { "yes" } else { "no" };
        vec![
            it.daemon.clone(),
            it.dc.clone(),
            reachable.into(),
            it.version.to_string(),
            confirmed.into(),
        ]
    };
    let rows: Vec<Vec<String>> = status.daemons.iter().map(row).collect();
    let head = [
        "daemon",
        "data centre",
        "reachable",
        "configuration",
        "confirmed",
    ];
    table::print(context.out, &head, &rows)?;
    let figures = status.figures.iter();
    let rows: Vec<Vec<String>> = figures
        .map(|(name, it)| vec![name.clone(), it.to_string()])
        .collect();
    if !rows.is_empty() {
        writeln!(context.out)?;
        table::print(context.out, &["figure", "value"], &rows)?;
    }
    Ok(Exit::Done)
}

pub(super) fn audit(context: &mut Context<'_>) -> Ended {
    let audit: Tagged<wire::Audit> = context.client.get("audit")?;
    let audit = audit.body;
    if context.json {
        context.json(&audit)?;
    } else {
        let row = |it: &wire::Audited| {
            let found = match it.discrepancies.is_empty() {
                true => "none".into(),
                false => it.discrepancies.join("; "),
            };
            vec![
                it.budget.clone(),
                it.billed.to_string(),
                it.held.to_string(),
                it.orphaned.to_string(),
                it.free.to_string(),
                found,
            ]
        };
        let rows: Vec<Vec<String>> = audit.budgets.iter().map(row).collect();
        let head = [
            "budget",
            "billed",
            "held",
            "orphaned",
            "free",
            "discrepancies",
        ];
        table::print(context.out, &head, &rows)?;
    }
    match audit.clean {
        true => Ok(Exit::Done),
        false => Err(Failed::new(
            Exit::Discrepancy,
            "the audit found a discrepancy",
        )),
    }
}

pub(super) fn order(context: &mut Context<'_>, matches: &ArgMatches) -> Ended {
    let target = text(matches, "name");
    let body = wire::Ordering {
        order: text(matches, "order").parse().expect("clap checks it"),
        argument: text(matches, "argument").into(),
    };
    let path = format!("orders/{target}");
    let answer: Tagged<wire::Ordered> = context.client.post(&path, &body)?;
    let answer = answer.body;
    if context.json {
        context.json(&answer)?;
    } else {
        let (fencing, outcome) = (answer.fencing, answer.outcome);
        writeln!(
            context.out,
            "{target}: {outcome} (fencing number {fencing})"
        )?;
    }
    match answer.outcome {
        wire::OrderedOutcome::Done => Ok(Exit::Done),
        wire::OrderedOutcome::Stale => Err(failed("the target has seen a later order")),
        wire::OrderedOutcome::Refused => Err(failed("the target did not obey")),
        wire::OrderedOutcome::Uncertain => Err(failed(
            "the answer was lost; the target may have obeyed or may still obey",
        )),
    }
}

fn failed(message: &str) -> Failed {
    Failed::new(Exit::Failed, message)
}
