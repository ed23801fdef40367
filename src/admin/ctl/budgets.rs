//! Commands for budgets.

use clap::ArgMatches;
use serde::Serialize;

use super::{
    Context, Ended, Exit,
    client::{
        Seen,
        Tagged, //
    },
    items::text,
    table,
};
use crate::wire::admin as wire;

type Budget = Tagged<wire::Budget>;

pub(super) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Ended {
    let (verb, matches) = matches.subcommand().expect("clap requires one");
    if verb == "list" {
        return list(context);
    }
    let path = format!("budgets/{}", text(matches, "name"));
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    let needed = |name: &str| number(name).expect("clap requires it");
    let seconds = || number("reserve").map(|it| u32::try_from(it).unwrap_or(u32::MAX));
    let fraction = || matches.get_one::<f64>("fraction").copied();
    match verb {
        "show" => {
            let budget: Budget = context.client.get(&path)?;
            show(context, &budget.body)
        }
        "create" => {
            let body = wire::NewBudget {
                customer: text(matches, "customer").into(),
                limit: needed("limit"),
                reserve: seconds(),
                fraction: fraction(),
            };
            let budget: Budget = context.client.put(&path, Seen::Absent, &body)?;
            show(context, &budget.body)
        }
        "top-up" => {
            let tokens = needed("tokens");
            post(context, &format!("{path}/topup"), &wire::TopUp { tokens })
        }
        "lower" => {
            let limit = needed("limit");
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

fn post<B: Serialize>(context: &mut Context<'_>, path: &str, body: &B) -> Ended {
    let budget: Budget = context.client.post(path, body)?;
    show(context, &budget.body)
}

fn list(context: &mut Context<'_>) -> Ended {
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
        context.json(&budgets)?;
    } else {
        summary(context, &budgets)?;
    }
    Ok(Exit::Done)
}

fn summary(context: &mut Context<'_>, budgets: &[wire::Budget]) -> std::io::Result<()> {
    let head = [
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
    table::print(context.out, &head, &rows)
}

fn show(context: &mut Context<'_>, budget: &wire::Budget) -> Ended {
    if context.json {
        context.json(budget)?;
        return Ok(Exit::Done);
    }
    summary(context, std::slice::from_ref(budget))?;
    if budget.pending > 0 {
        writeln!(
            context.out,
            "limit {} is in force once {} tokens are returned; until then up to {} can be spent",
            budget.limit, budget.pending, budget.in_force
        )?;
    }
    if !budget.shares.is_empty() {
        writeln!(context.out)?;
        shares(context, &budget.shares)?;
    }
    Ok(Exit::Done)
}

fn shares(context: &mut Context<'_>, shares: &[wire::Share]) -> std::io::Result<()> {
    let head = [
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
    table::print(context.out, &head, &rows)
}
