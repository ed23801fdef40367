//! Commands for the fleet: status, audit and orders.

use clap::ArgMatches;

use super::{
    CommandError,
    CommandResult,
    Context,
    Exit,
    client::Tagged,
    items::text_arg,
    table, //
};
use crate::wire::admin as wire;

/// Prints the state of the fleet as one daemon sees it.
pub(super) fn status(context: &mut Context<'_>) -> CommandResult {
    let status: Tagged<wire::Status> = context.client.get("status")?;
    let status = status.body;
    if context.json {
        context.print_json(&status)?;
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
    let header = [
        "daemon",
        "data centre",
        "reachable",
        "configuration",
        "confirmed",
    ];
    table::print(context.out, &header, &rows)?;
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

/// Prints the audit of all budgets; fails when it found a discrepancy.
pub(super) fn audit(context: &mut Context<'_>) -> CommandResult {
    let audit: Tagged<wire::Audit> = context.client.get("audit")?;
    let audit = audit.body;
    if context.json {
        context.print_json(&audit)?;
    } else {
        let row = |it: &wire::Audited| {
            let discrepancies = match it.discrepancies.is_empty() {
                true => "none".into(),
                false => it.discrepancies.join("; "),
            };
            vec![
                it.budget.clone(),
                it.billed.to_string(),
                it.held.to_string(),
                it.orphaned.to_string(),
                it.free.to_string(),
                discrepancies,
            ]
        };
        let rows: Vec<Vec<String>> = audit.budgets.iter().map(row).collect();
        let header = [
            "budget",
            "billed",
            "held",
            "orphaned",
            "free",
            "discrepancies",
        ];
        table::print(context.out, &header, &rows)?;
    }
    match audit.clean {
        true => Ok(Exit::Done),
        false => Err(CommandError::new(
            Exit::Discrepancy,
            "the audit found a discrepancy",
        )),
    }
}

/// Sends an order to a target; fails unless the target obeyed.
pub(super) fn order(context: &mut Context<'_>, matches: &ArgMatches) -> CommandResult {
    let target = text_arg(matches, "name");
    let body = wire::Ordering {
        order: text_arg(matches, "order")
            .parse()
            .expect("clap accepts no other order"),
        argument: text_arg(matches, "argument").into(),
    };
    let path = format!("orders/{target}");
    let answer: Tagged<wire::Ordered> = context.client.post(&path, &body)?;
    let answer = answer.body;
    if context.json {
        context.print_json(&answer)?;
    } else {
        let (fencing, outcome) = (answer.fencing, answer.outcome);
        writeln!(
            context.out,
            "{target}: {outcome} (fencing number {fencing})"
        )?;
    }
    match answer.outcome {
        wire::OrderedOutcome::Done => Ok(Exit::Done),
        wire::OrderedOutcome::Stale => Err(order_error(
            "the target has already seen a higher fencing number",
        )),
        wire::OrderedOutcome::Refused => Err(order_error(
            "the target refused the order or was not reached",
        )),
        wire::OrderedOutcome::Uncertain => Err(order_error(
            "the response was lost; the target may have obeyed or may still obey",
        )),
    }
}

fn order_error(message: &str) -> CommandError {
    CommandError::new(Exit::Failed, message)
}
