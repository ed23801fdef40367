//! Commands for budgets.

use clap::ArgMatches;
use serde::Serialize;

use super::{
    CommandResult, Context, Exit,
    client::{
        Precondition,
        Tagged, //
    },
    items::text_arg,
    table,
};
use crate::wire::admin as wire;

type Budget = Tagged<wire::Budget>;

/// Runs a `budget` subcommand.
pub(super) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> CommandResult {
    let (verb, matches) = matches.subcommand().expect("clap requires one");
    if verb == "list" {
        return list(context);
    }
    let path = format!("budgets/{}", text_arg(matches, "name"));
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    let required = |name: &str| number(name).expect("clap requires it");
    let seconds = || number("reserve").map(|it| u32::try_from(it).unwrap_or(u32::MAX));
    let fraction = || matches.get_one::<f64>("fraction").copied();
    match verb {
        "show" => {
            let budget: Budget = context.client.get(&path)?;
            print_budget(context, &budget.body)
        }
        "create" => {
            let body = wire::NewBudget {
                customer: text_arg(matches, "customer").into(),
                limit: required("limit"),
                reserve: seconds(),
                fraction: fraction(),
            };
            let budget: Budget = context.client.put(&path, Precondition::Absent, &body)?;
            print_budget(context, &budget.body)
        }
        "top-up" => {
            let tokens = required("tokens");
            post(context, &format!("{path}/topup"), &wire::TopUp { tokens })
        }
        "lower" => {
            let limit = required("limit");
            post(context, &format!("{path}/lower"), &wire::Lower { limit })
        }
        "size" => {
            let body = wire::Sizing {
                reserve: seconds(),
                fraction: fraction(),
            };
            post(context, &format!("{path}/sizing"), &body)
        }
        _ => {
            let body = wire::Settle {
                incarnation: matches.get_one::<String>("incarnation").cloned(),
                tokens: number("tokens").or(number("transit")),
            };
            post(context, &format!("{path}/settle"), &body)
        }
    }
}

/// Posts an action on a budget and prints the budget.
fn post<B: Serialize>(context: &mut Context<'_>, path: &str, body: &B) -> CommandResult {
    let budget: Budget = context.client.post(path, body)?;
    print_budget(context, &budget.body)
}

/// Prints all budgets, page by page.
fn list(context: &mut Context<'_>) -> CommandResult {
    let mut budgets = Vec::new();
    let mut after = String::new();
    loop {
        let path = format!("budgets?after={after}");
        let page: Tagged<wire::Budgets> = context.client.get(&path)?;
        budgets.extend(page.body.budgets);
        match page.body.next {
            Some(next) => after = next,
            None => break,
        }
    }
    if context.json {
        context.print_json(&budgets)?;
    } else {
        print_summary(context, &budgets)?;
    }
    Ok(Exit::Done)
}

/// Prints one line for each budget.
fn print_summary(context: &mut Context<'_>, budgets: &[wire::Budget]) -> std::io::Result<()> {
    let header = [
        "budget", "customer", "limit", "billed", "held", "orphaned", "free", "pending", "revision",
    ];
    let row = |it: &wire::Budget| {
        vec![
            it.id.clone(),
            it.customer.clone(),
            it.limit.to_string(),
            it.billed.to_string(),
            it.held.to_string(),
            it.orphaned.to_string(),
            it.free.to_string(),
            it.pending.to_string(),
            it.revision.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = budgets.iter().map(row).collect();
    table::print(context.out, &header, &rows)
}

/// Prints a budget, the tokens a lowered limit still waits for, and the shares.
fn print_budget(context: &mut Context<'_>, budget: &wire::Budget) -> CommandResult {
    if context.json {
        context.print_json(budget)?;
        return Ok(Exit::Done);
    }
    print_summary(context, std::slice::from_ref(budget))?;
    if budget.pending > 0 {
        writeln!(
            context.out,
            "limit {} is in force once {} tokens are returned; until then up to {} can be spent",
            budget.limit, budget.pending, budget.in_force
        )?;
    }
    if !budget.shares.is_empty() {
        writeln!(context.out)?;
        print_shares(context, &budget.shares)?;
    }
    Ok(Exit::Done)
}

/// Prints one line for each share.
fn print_shares(context: &mut Context<'_>, shares: &[wire::Share]) -> std::io::Result<()> {
    let header = [
        "incarnation",
        "state",
        "billed",
        "held",
        "orphaned",
        "drawn",
        "returned",
    ];
    let row = |it: &wire::Share| {
        let (state, held, orphaned) = match it.sealed {
            true => ("sealed", 0, it.outstanding),
            false => ("live", it.outstanding, 0),
        };
        vec![
            it.incarnation.clone(),
            state.into(),
            it.billed.to_string(),
            held.to_string(),
            orphaned.to_string(),
            it.drawn.to_string(),
            it.returned.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = shares.iter().map(row).collect();
    table::print(context.out, &header, &rows)
}
